//! Checks of the file format.

use super::ensure;
use crate::{decode, encode, Author, Kind, Section, SectionError, SnapshotError, Time, MAX_BYTES};

const NOW: Time = 1_800_000_000_000_000_000;

pub(super) fn author() -> Author {
    Author { name: "g1".into(), generation: 1_799_999_999_000, taken_at: NOW - 1_000_000_000 }
}

fn sections() -> Vec<Section> {
    let section = |kind, n: usize, byte| Section { kind, bytes: vec![byte; n] };
    vec![section(Kind::Bans, 40, b'b'), section(Kind::Stores, 90, b's'), section(Kind::Servers, 70, b'v')]
}

/// Returns the number of usable sections.
fn usable(read: &crate::Snapshot) -> usize {
    let is_usable = |(kind, bytes): (&Kind, &Result<Vec<u8>, SectionError>)| {
        sections().iter().any(|s| s.kind == *kind && bytes.as_ref() == Ok(&s.bytes))
    };
    read.sections.iter().filter(|s| is_usable(*s)).count()
}

pub(super) fn flipped_bits() -> Result<(), String> {
    let bytes = encode(&author(), &sections());
    let whole = decode(&bytes, "g1", NOW).map_err(|e| e.to_string())?;
    ensure(usable(&whole) == 3 && !whole.table_damaged, || format!("{whole:?}"))?;
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        match decode(&flipped, "g1", NOW) {
            Ok(read) => {
                let wrong = read.sections.values().filter(|s| s.is_ok()).count() != usable(&read);
                let lost = 3 - usable(&read) + usize::from(read.table_damaged);
                ensure(!wrong && lost <= 1, || format!("bit {bit}: {read:?}"))?;
            }
            Err(refused) => ensure(bit < 40, || format!("bit {bit}: {refused}"))?,
        }
    }
    Ok(())
}

pub(super) fn truncated_at_any_byte() -> Result<(), String> {
    let bytes = encode(&author(), &sections());
    let mut before = 0;
    for end in 0..bytes.len() {
        let read = decode(&bytes[..end], "g1", NOW);
        let now = read.as_ref().map_or(0, usable);
        ensure(now >= before && read.as_ref().map_or(true, |r| r.table_damaged), || {
            format!("truncated at {end}: {read:?}")
        })?;
        before = now;
    }
    // All sections are complete before the second table begins.
    ensure(before == 3, || format!("{before} sections"))?;
    // Some file systems leave zeros in place of the end after a crash.
    let mut zeros = bytes.clone();
    let tail = zeros.len() - 30;
    zeros[tail..].fill(0);
    ensure(decode(&zeros, "g1", NOW).is_ok_and(|r| usable(&r) == 3), || "zeros at the end".into())
}

pub(super) fn author_and_time() -> Result<(), String> {
    let bytes = encode(&author(), &sections());
    let other = decode(&bytes, "g2", NOW);
    ensure(other == Err(SnapshotError::OtherAuthor { name: "g1".into() }), || format!("{other:?}"))?;
    let early = decode(&bytes, "g1", NOW - 7_000_000_000);
    ensure(early == Err(SnapshotError::Future { ahead_ms: 6000 }), || format!("{early:?}"))?;
    // The clock was set back a little.
    let early = decode(&bytes, "g1", NOW - 3_000_000_000);
    ensure(early.is_ok(), || format!("{early:?}"))?;
    let mut newer = bytes.clone();
    newer[4] = 2;
    let newer = decode(&newer, "g1", NOW);
    ensure(newer == Err(SnapshotError::Format(2)), || format!("{newer:?}"))
}

pub(super) fn arbitrary_bytes() -> Result<(), String> {
    let (bytes, mut rng) = (encode(&author(), &sections()), fastrand::Rng::with_seed(1));
    for _ in 0..20_000 {
        let mut any = if rng.bool() { bytes.clone() } else { bytes[..9].to_vec() };
        for _ in 0..rng.usize(1..8) {
            match rng.u32(0..4) {
                0 => any.truncate(rng.usize(0..=any.len())),
                1 => any.extend((0..rng.usize(0..40)).map(|_| rng.u8(..))),
                _ => {
                    let at = rng.usize(0..any.len().max(1));
                    let byte = [0, 255, rng.u8(..)][rng.usize(0..3)];
                    if let Some(b) = any.get_mut(at) {
                        *b = byte;
                    }
                }
            }
        }
        // The sections are bounded by the file's length, whatever a table claims.
        if let Ok(read) = decode(&any, "g1", NOW) {
            let held: usize = read.sections.values().flatten().map(Vec::len).sum();
            ensure(held <= any.len() * 16, || format!("{held} bytes of {}", any.len()))?;
        }
    }
    let long = vec![0; MAX_BYTES + 1];
    ensure(decode(&long, "g1", NOW) == Err(SnapshotError::TooLong(MAX_BYTES + 1)), || "too long".into())
}

//! File format of a snapshot: magic, table, sections, a copy of the table, and the copy's offset. One damaged table leaves
//! the other one readable.
//!
//! | part | bytes |
//! | --- | --- |
//! | magic | `GTSN` and the format's version |
//! | table | length (4, little-endian), CRC-32 (4), `postcard` |
//! | sections | contiguous, with the lengths from the table |
//! | copy of the table | the same bytes |
//! | offset of the copy | 8, little-endian, and their CRC-32 (4) |

use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Maximum size of a snapshot that is written or read.
pub const MAX_BYTES: usize = 64 << 20;
const MAGIC: [u8; 5] = *b"GTSN\x01";
const MAX_SECTIONS: usize = 16;
/// Maximum size of a table. A name of 64 bytes and sixteen sections take less than a tenth of it.
const MAX_TABLE_BYTES: usize = 4096;
/// How far a snapshot's timestamp may lie ahead of the clock, which may have been set back, in nanoseconds.
const MAX_CLOCK_SKEW: Time = 5_000_000_000;
/// Version of the sections that are written, and the only one that is accepted.
const VERSION: u8 = 1;

/// The gateway that wrote a snapshot, and the snapshot's time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Name of the gateway, unchanged across restarts.
    pub name: String,
    /// Start of the process in Unix milliseconds.
    pub generation: u64,
    /// Time at which the state was captured.
    pub taken_at: Time,
}

/// Content of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    Bans,
    /// Token buckets and averages of the customers.
    Stores,
    /// Observations of the servers.
    Servers,
    /// The latest list of servers, with its revision.
    List,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Bans => "bans",
            Kind::Stores => "stores",
            Kind::Servers => "servers",
            Kind::List => "list",
        })
    }
}

/// One section of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    pub kind: Kind,
    pub bytes: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Entry {
    /// Stored as a number, so that an unknown kind makes only its own section unreadable.
    kind: u8,
    version: u8,
    length: u64,
    checksum: u32,
}

#[derive(Serialize, Deserialize)]
struct Table {
    author: Author,
    entries: Vec<Entry>,
}

/// Why a whole snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    NotASnapshot,
    Format(u8),
    TooLong(usize),
    TablesDamaged,
    OtherAuthor { name: String },
    Future { ahead_ms: u64 },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::NotASnapshot => write!(f, "not a snapshot"),
            SnapshotError::Format(v) => write!(f, "format {v} is not supported, expected {}", MAGIC[4]),
            SnapshotError::TooLong(n) => write!(f, "{n} bytes exceed the maximum of {MAX_BYTES}"),
            SnapshotError::TablesDamaged => write!(f, "both copies of its table are damaged"),
            SnapshotError::OtherAuthor { name } => write!(f, "it belongs to {name:?}"),
            SnapshotError::Future { ahead_ms } => write!(f, "its timestamp is {ahead_ms} ms from now"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// Why one section cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SectionError {
    Checksum,
    /// The file ends before the end of the section.
    Truncated,
    Version(u8),
}

impl fmt::Display for SectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SectionError::Checksum => write!(f, "its checksum does not hold"),
            SectionError::Truncated => write!(f, "the file ends before it does"),
            SectionError::Version(v) => write!(f, "version {v} is not supported, expected {VERSION}"),
        }
    }
}

/// A decoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    pub author: Author,
    pub sections: BTreeMap<Kind, Result<Vec<u8>, SectionError>>,
    /// Number of sections of an unknown kind.
    pub unknown: usize,
    /// Whether one of the two copies of the table is damaged.
    pub table_damaged: bool,
}

fn kind_number(kind: Kind) -> u8 {
    match kind {
        Kind::Bans => 1,
        Kind::Stores => 2,
        Kind::Servers => 3,
        Kind::List => 4,
    }
}

fn kind_from_number(number: u8) -> Option<Kind> {
    [Kind::Bans, Kind::Stores, Kind::Servers, Kind::List]
        .into_iter()
        .find(|k| self::kind_number(*k) == number)
}

/// Encodes a snapshot. A section that would exceed [`MAX_BYTES`] together with those before it is left out.
#[must_use]
pub fn encode(author: &Author, sections: &[Section]) -> Vec<u8> {
    let mut room = MAX_BYTES - 2 * MAX_TABLE_BYTES - 64;
    let fits_room = |s: &&Section| {
        let fits = s.bytes.len() <= room;
        room -= if fits { s.bytes.len() } else { 0 };
        fits
    };
    let sections: Vec<&Section> = sections.iter().take(MAX_SECTIONS).filter(fits_room).collect();
    let entry = |s: &&Section| Entry {
        kind: kind_number(s.kind),
        version: VERSION,
        length: s.bytes.len() as u64,
        checksum: crc32fast::hash(&s.bytes),
    };
    let table = Table { author: author.clone(), entries: sections.iter().map(entry).collect() };
    let table = postcard::to_stdvec(&table).unwrap_or_default();
    let append_table = |bytes: &mut Vec<u8>| {
        bytes.extend((table.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&table).to_le_bytes());
        bytes.extend(&table);
    };
    let mut bytes = MAGIC.to_vec();
    append_table(&mut bytes);
    sections.iter().for_each(|s| bytes.extend(&s.bytes));
    let offset = (bytes.len() as u64).to_le_bytes();
    append_table(&mut bytes);
    bytes.extend(offset);
    bytes.extend(crc32fast::hash(&offset).to_le_bytes());
    bytes
}

/// Reads a table at an offset. Returns it with the offset of its end.
fn read_table(bytes: &[u8], offset: usize) -> Option<(Table, usize)> {
    let read_u32 = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at.checked_add(4)?)?.try_into().ok()?));
    let (length, checksum) = (read_u32(offset)? as usize, read_u32(offset.checked_add(4)?)?);
    let end = offset.checked_add(8)?.checked_add(length).filter(|_| length <= MAX_TABLE_BYTES)?;
    let raw = bytes.get(offset + 8..end)?;
    let table: Table = postcard::from_bytes(raw).ok().filter(|_| crc32fast::hash(raw) == checksum)?;
    let is_valid = table.entries.len() <= MAX_SECTIONS && table.author.name.len() <= 64;
    is_valid.then_some((table, end))
}

/// Returns the offset of the second table.
fn second_table_offset(bytes: &[u8]) -> Option<usize> {
    let tail = bytes.len().checked_sub(12)?;
    let (offset, checksum) = bytes[tail..].split_at(8);
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    let offset = u64::from_le_bytes(offset.try_into().ok().filter(|_| crc32fast::hash(offset) == checksum)?);
    usize::try_from(offset).ok().filter(|offset| *offset < tail)
}

/// Decodes arbitrary bytes as a snapshot that gateway `name` may restore at `now`.
///
/// # Errors
/// Returns [`SnapshotError`] if no part of it may be used.
pub fn decode(bytes: &[u8], name: &str, now: Time) -> Result<Snapshot, SnapshotError> {
    let snapshot = inspect(bytes)?;
    if snapshot.author.name != name && !planted!(AuthorNotAsked) {
        return Err(SnapshotError::OtherAuthor { name: snapshot.author.name });
    }
    let ahead = snapshot.author.taken_at.saturating_sub(now);
    if ahead > MAX_CLOCK_SKEW && !planted!(FutureTaken) {
        return Err(SnapshotError::Future { ahead_ms: ahead / 1_000_000 });
    }
    Ok(snapshot)
}

/// Decodes arbitrary bytes as a snapshot of any author and time.
///
/// # Errors
/// Returns [`SnapshotError`] if it cannot be read.
pub fn inspect(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    if bytes.len() > MAX_BYTES {
        return Err(SnapshotError::TooLong(bytes.len()));
    }
    // A flipped bit in the magic invalidates the whole snapshot, which is acceptable: it is five bytes of millions.
    if bytes.get(..4) != Some(&MAGIC[..4]) {
        return Err(SnapshotError::NotASnapshot);
    }
    if bytes.get(4) != Some(&MAGIC[4]) {
        return Err(SnapshotError::Format(bytes.get(4).copied().unwrap_or_default()));
    }
    let first = read_table(bytes, MAGIC.len());
    let last = second_table_offset(bytes).filter(|_| !planted!(SecondTableNotRead));
    let last = last.and_then(|at| Some((read_table(bytes, at)?.0, at)));
    let table_damaged = first.is_none() || last.is_none();
    let (table, mut offset) = match (first, last) {
        (Some((table, end)), _) => (table, end),
        (None, Some((table, at))) => {
            // The sections end where the second table begins.
            let total = table.entries.iter().try_fold(0usize, |n, e| n.checked_add(e.length as usize));
            let start = total.and_then(|total| at.checked_sub(total)).ok_or(SnapshotError::TablesDamaged)?;
            (table, start)
        }
        (None, None) => return Err(SnapshotError::TablesDamaged),
    };
    let (mut sections, mut unknown) = (BTreeMap::new(), 0);
    for entry in &table.entries {
        let end = offset.saturating_add(usize::try_from(entry.length).unwrap_or(usize::MAX));
        let found = match bytes.get(offset..end) {
            _ if entry.version != VERSION => Err(SectionError::Version(entry.version)),
            None => Err(SectionError::Truncated),
            Some(raw) if crc32fast::hash(raw) == entry.checksum || planted!(ChecksumLeftOut) => {
                Ok(raw.to_vec())
            }
            Some(_) => Err(SectionError::Checksum),
        };
        match kind_from_number(entry.kind) {
            Some(kind) => drop(sections.insert(kind, found)),
            None => unknown += 1,
        }
        offset = end;
    }
    Ok(Snapshot { author: table.author, sections, unknown, table_damaged })
}

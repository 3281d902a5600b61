//! The wire between forwarders and planners: framed, versioned, limited, authenticated, numbered. No I/O: bytes
//! go in and out.
//!
//! Each side opens with a hello of 26 bytes: `GTHP`, the oldest and the latest version that it speaks, 4 bytes
//! of nothing, 16 random bytes. Then frames: length (4 bytes, of what follows), kind (1), number (8), payload,
//! tag (32). The tag is HMAC-SHA-256 (RFC 2104) under the shared key over both hellos, the direction, kind,
//! number and payload: a frame of another connection, direction or place does not verify. Numbers run from 1
//! without a gap. Integers are big-endian.

use crate::message::{Amounts, Entry, Grant, Instance, Lease, Report};
use hmac::{Hmac, Mac};
use interface::Name;
use sha2::Sha256;
use std::fmt;

/// The versions spoken here. Version 1 knows no placement.
pub const OLDEST: u8 = 1;
pub const LATEST: u8 = 2;
/// The longest frame, its length's own 4 bytes left out.
pub const MOST_BYTES: usize = 512 << 10;
/// The most entries or leases in one message.
pub const MOST_ENTRIES: usize = 4096;
/// The shortest key that will do.
pub const MIN_KEY_BYTES: usize = 16;
const MAGIC: &[u8; 4] = b"GTHP";
const HELLO: usize = 26;
const TAG: usize = 32;
const REPORT: u8 = 1;
const GRANT: u8 = 2;

/// Why a peer is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// It does not open with a hello.
    Junk,
    /// It speaks no version that is spoken here.
    Version { oldest: u8, latest: u8 },
    /// A frame of so many bytes.
    Length(usize),
    /// A tag that does not verify: another key, another connection, or bytes changed on the way.
    Tag,
    /// A number that is not the next.
    Number { got: u64, wanted: u64 },
    /// A message that can't be read.
    Malformed,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Junk => write!(f, "no hello"),
            WireError::Version { oldest, latest } => {
                write!(f, "it speaks versions {oldest} to {latest}, here {OLDEST} to {LATEST}")
            }
            WireError::Length(n) => write!(f, "a frame of {n} bytes: {MOST_BYTES} at most"),
            WireError::Tag => write!(f, "a tag that does not verify: is its key another?"),
            WireError::Number { got, wanted } => write!(f, "frame {got} where {wanted} is next"),
            WireError::Malformed => write!(f, "a message that can't be read"),
        }
    }
}

impl std::error::Error for WireError {}

/// A message between a forwarder and a planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Report(Report),
    Grant(Grant),
}

/// Which side of a connection is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Forwarder,
    Planner,
}

/// One connection as one side sees it.
pub struct Link {
    side: Side,
    key: Vec<u8>,
    mine: [u8; HELLO],
    theirs: Option<[u8; HELLO]>,
    version: u8,
    sent: u64,
    taken: u64,
    buffer: Vec<u8>,
}

impl Link {
    /// `random` tells this connection from every other; it need not be secret. `latest`: the latest version to
    /// speak, [`LATEST`] but in tests and roll-outs.
    pub fn new(side: Side, key: &[u8], random: [u8; 16], latest: u8) -> Self {
        let mut mine = [0; HELLO];
        mine[..4].copy_from_slice(MAGIC);
        (mine[4], mine[5]) = (OLDEST, latest);
        mine[10..].copy_from_slice(&random);
        Link {
            side,
            key: key.to_vec(),
            mine,
            theirs: None,
            version: 0,
            sent: 0,
            taken: 0,
            buffer: Vec::new(),
        }
    }

    /// What goes out first.
    pub fn hello(&self) -> Vec<u8> {
        self.mine.to_vec()
    }

    /// Whether frames can be sealed: the other side's hello has come.
    pub fn open(&self) -> bool {
        self.theirs.is_some()
    }

    /// Bytes that are held: never more than one frame and one read.
    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    fn tag(&self, from: Side, kind: u8, number: u64, payload: &[u8]) -> Hmac<Sha256> {
        // Any length of key will do for HMAC; which do here is the configuration's affair.
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.key).unwrap_or_else(|_| unreachable!());
        let theirs = self.theirs.unwrap_or([0; HELLO]);
        let (f, p) = if self.side == Side::Forwarder { (&self.mine, &theirs) } else { (&theirs, &self.mine) };
        mac.update(f);
        mac.update(p);
        mac.update(&[u8::from(from == Side::Planner), kind]);
        mac.update(&number.to_be_bytes());
        mac.update(payload);
        mac
    }

    /// A message as it goes out. Empty before the link is open.
    pub fn seal(&mut self, message: &Message) -> Vec<u8> {
        if !self.open() {
            return Vec::new();
        }
        let (kind, payload) = match message {
            Message::Report(r) => (REPORT, write_report(r, self.version)),
            Message::Grant(g) => (GRANT, write_grant(g, self.version)),
        };
        self.sent += 1;
        let tag = self.tag(self.side, kind, self.sent, &payload).finalize().into_bytes();
        let length = 1 + 8 + payload.len() + TAG;
        let mut frame = Vec::with_capacity(4 + length);
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        frame.push(kind);
        frame.extend_from_slice(&self.sent.to_be_bytes());
        frame.extend_from_slice(&payload);
        frame.extend_from_slice(&tag);
        frame
    }

    /// Takes bytes in; the messages that have become whole.
    ///
    /// # Errors
    /// [`WireError`]: the peer is to be dropped. Nothing behind it is looked at.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Vec<Message>, WireError> {
        self.buffer.extend_from_slice(bytes);
        let mut messages = Vec::new();
        let mut at = 0;
        if self.theirs.is_none() {
            let start = &self.buffer[..self.buffer.len().min(4)];
            if !MAGIC.starts_with(start) {
                return Err(WireError::Junk);
            }
            let Some(hello) = self.buffer.get(..HELLO) else { return Ok(messages) };
            let (oldest, latest) = (hello[4], hello[5]);
            if oldest > self.mine[5] || latest < OLDEST || oldest > latest {
                return Err(WireError::Version { oldest, latest });
            }
            self.version = latest.min(self.mine[5]);
            self.theirs = hello.try_into().ok();
            at = HELLO;
        }
        loop {
            let rest = &self.buffer[at..];
            let Some(length) = rest.first_chunk::<4>() else { break };
            let length = u32::from_be_bytes(*length) as usize;
            if !(1 + 8 + TAG..=MOST_BYTES).contains(&length) {
                return Err(WireError::Length(length));
            }
            let Some(frame) = rest.get(4..4 + length) else { break };
            let (body, tag) = frame.split_at(length - TAG);
            let mut read = Reader(body);
            let (kind, number) = (read.u8()?, read.u64()?);
            let payload = read.0;
            let from = if self.side == Side::Planner { Side::Forwarder } else { Side::Planner };
            self.tag(from, kind, number, payload).verify_slice(tag).map_err(|_| WireError::Tag)?;
            let wanted = self.taken + 1;
            if number != wanted {
                return Err(WireError::Number { got: number, wanted });
            }
            self.taken = number;
            messages.push(match (kind, from) {
                (REPORT, Side::Forwarder) => Message::Report(read_report(payload, self.version)?),
                (GRANT, Side::Planner) => Message::Grant(read_grant(payload, self.version)?),
                _ => return Err(WireError::Malformed),
            });
            at += 4 + length;
        }
        self.buffer.drain(..at);
        Ok(messages)
    }
}

// ---- Payloads ----

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn bytes<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let (first, rest) = self.0.split_first_chunk::<N>().ok_or(WireError::Malformed)?;
        self.0 = rest;
        Ok(*first)
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.bytes()?))
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.bytes()?))
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.bytes()?))
    }

    fn flag(&mut self) -> Result<bool, WireError> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(WireError::Malformed),
        }
    }

    /// A figure: finite and not below nothing.
    fn figure(&mut self) -> Result<f64, WireError> {
        let v = f64::from_bits(self.u64()?);
        if v.is_finite() && v >= 0.0 {
            Ok(v)
        } else {
            Err(WireError::Malformed)
        }
    }

    fn amounts(&mut self) -> Result<Amounts, WireError> {
        Ok([self.figure()?, self.figure()?, self.figure()?])
    }

    fn name(&mut self) -> Result<Name, WireError> {
        let length = usize::from(self.u8()?);
        let (name, rest) = self.0.split_at_checked(length).ok_or(WireError::Malformed)?;
        self.0 = rest;
        std::str::from_utf8(name).map(Name::from).map_err(|_| WireError::Malformed)
    }

    fn count(&mut self) -> Result<usize, WireError> {
        let count = usize::from(self.u16()?);
        // Before any room is made for them.
        if count <= MOST_ENTRIES && count <= self.0.len() {
            Ok(count)
        } else {
            Err(WireError::Malformed)
        }
    }

    fn end(&self) -> Result<(), WireError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(WireError::Malformed)
        }
    }
}

fn put_name(out: &mut Vec<u8>, name: &Name) {
    let bytes = &name.as_bytes()[..name.len().min(255)];
    out.push(bytes.len() as u8);
    out.extend_from_slice(bytes);
}

fn put_figures(out: &mut Vec<u8>, figures: &[f64]) {
    figures.iter().for_each(|v| out.extend_from_slice(&v.to_bits().to_be_bytes()));
}

fn put_numbers(out: &mut Vec<u8>, numbers: &[u64]) {
    numbers.iter().for_each(|v| out.extend_from_slice(&v.to_be_bytes()));
}

fn write_report(r: &Report, version: u8) -> Vec<u8> {
    let mut out = Vec::with_capacity(64 + r.entries.len() * 110);
    out.extend_from_slice(&r.seat.to_be_bytes());
    put_numbers(
        &mut out,
        &[r.incarnation, r.number, r.known_epoch, r.nonce, r.acknowledged_grant, r.loan, r.slots_free_in],
    );
    out.push(u8::from(r.is_lent));
    if version >= 2 {
        put_figures(&mut out, &[r.attempts_in_flight]);
    }
    let entries = &r.entries[..r.entries.len().min(MOST_ENTRIES)];
    out.extend_from_slice(&(entries.len() as u16).to_be_bytes());
    for e in entries {
        put_name(&mut out, &e.customer);
        out.extend_from_slice(&e.plan.to_be_bytes());
        put_numbers(&mut out, &[e.lease]);
        put_figures(&mut out, &e.spent);
        put_figures(&mut out, &e.returned);
        put_figures(&mut out, &[e.demand, e.in_use]);
    }
    out
}

fn read_report(bytes: &[u8], version: u8) -> Result<Report, WireError> {
    let mut r = Reader(bytes);
    let seat = r.u16()?;
    let (incarnation, number, seen, nonce, acked) = (r.u64()?, r.u64()?, r.u64()?, r.u64()?, r.u64()?);
    let (loan, slots_in) = (r.u64()?, r.u64()?);
    let lent = r.flag()?;
    let busy = if version >= 2 { r.figure()? } else { 0.0 };
    let count = r.count()?;
    let mut entries = Vec::with_capacity(count);
    for _ in 0..count {
        let (customer, plan, lease) = (r.name()?, r.u16()?, r.u64()?);
        let (spent, returned, demand, in_use) = (r.amounts()?, r.amounts()?, r.figure()?, r.figure()?);
        entries.push(Entry { customer, plan, lease, spent, returned, demand, in_use });
    }
    r.end()?;
    Ok(Report {
        seat,
        incarnation,
        number,
        known_epoch: seen,
        nonce,
        acknowledged_grant: acked,
        is_lent: lent,
        loan,
        slots_free_in: slots_in,
        attempts_in_flight: busy,
        entries,
    })
}

fn write_grant(g: &Grant, version: u8) -> Vec<u8> {
    let mut out = Vec::with_capacity(64 + g.leases.len() * 60);
    put_numbers(&mut out, &[g.from.nonce, g.from.epoch]);
    out.extend_from_slice(&g.seat.to_be_bytes());
    put_numbers(&mut out, &[g.incarnation, g.number, g.report, g.loan]);
    out.push(u8::from(g.is_already_lent));
    if version >= 2 {
        put_figures(&mut out, &[g.work_share]);
    }
    let leases = &g.leases[..g.leases.len().min(MOST_ENTRIES)];
    out.extend_from_slice(&(leases.len() as u16).to_be_bytes());
    for l in leases {
        put_name(&mut out, &l.customer);
        put_numbers(&mut out, &[l.lease]);
        put_figures(&mut out, &l.granted);
        out.push(u8::from(l.is_renewed));
        out.push(u8::from(l.is_pool_empty));
    }
    out
}

fn read_grant(bytes: &[u8], version: u8) -> Result<Grant, WireError> {
    let mut r = Reader(bytes);
    let from = Instance { nonce: r.u64()?, epoch: r.u64()? };
    let seat = r.u16()?;
    let (incarnation, number, report, loan) = (r.u64()?, r.u64()?, r.u64()?, r.u64()?);
    let holds = r.flag()?;
    // An older planner places nobody: 2 is no part, and is not taken for one.
    let share = if version >= 2 { r.figure()? } else { 2.0 };
    let count = r.count()?;
    let mut leases = Vec::with_capacity(count);
    for _ in 0..count {
        let (customer, lease) = (r.name()?, r.u64()?);
        let (granted, renewed, dry) = (r.amounts()?, r.flag()?, r.flag()?);
        leases.push(Lease { customer, lease, granted, is_renewed: renewed, is_pool_empty: dry });
    }
    r.end()?;
    Ok(Grant {
        from,
        seat,
        incarnation,
        number,
        report,
        is_already_lent: holds,
        loan,
        work_share: share,
        leases,
    })
}

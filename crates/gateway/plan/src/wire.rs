//! Wire protocol between forwarders and planners: frames that are versioned, size-limited, authenticated and numbered.
//! No I/O: the inputs and outputs are bytes.
//!
//! Each side starts with a hello of 26 bytes: `GTHP`, the oldest and the latest version that it supports (1 byte each),
//! 4 zero bytes, 16 random bytes. Frames follow: length of the remainder (4 bytes), kind (1), sequence number (8),
//! payload, tag (32). The tag is HMAC-SHA-256 (RFC 2104) under the shared key over both hellos, the direction, kind,
//! number and payload, so a frame from another connection, direction or position does not verify. Sequence numbers
//! start at 1 and have no gaps. Integers are big-endian.

use crate::message::{Amounts, Entry, Grant, Instance, Lease, Report};
use hmac::{Hmac, Mac};
use interface::Name;
use sha2::Sha256;
use std::fmt;

/// Supported protocol versions. Version 1 has no placement.
pub const OLDEST: u8 = 1;
pub const LATEST: u8 = 2;
/// Maximum frame size, without the 4 bytes of the length.
pub const MAX_FRAME_BYTES: usize = 512 << 10;
/// Maximum number of entries or leases in one message.
pub const MAX_ENTRIES: usize = 4096;
/// Minimum length of the shared key.
pub const MIN_KEY_BYTES: usize = 16;
const MAGIC: &[u8; 4] = b"GTHP";
const HELLO_BYTES: usize = 26;
const TAG_BYTES: usize = 32;
const REPORT_KIND: u8 = 1;
const GRANT_KIND: u8 = 2;

/// Protocol violation for which the connection to the peer is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The connection does not start with a hello.
    MissingHello,
    /// The peer supports none of the local versions.
    UnsupportedVersion { oldest: u8, latest: u8 },
    /// A frame has a length outside the limits.
    InvalidLength(usize),
    /// A tag does not verify: another key, another connection, or bytes modified in transit.
    InvalidTag,
    /// A sequence number is not the next one.
    UnexpectedNumber { got: u64, expected: u64 },
    /// A message cannot be decoded.
    Malformed,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::MissingHello => write!(f, "the connection does not start with a hello"),
            WireError::UnsupportedVersion { oldest, latest } => {
                write!(f, "it speaks versions {oldest} to {latest}, here {OLDEST} to {LATEST}")
            }
            WireError::InvalidLength(n) => {
                write!(f, "invalid frame length of {n} bytes, at most {MAX_FRAME_BYTES}")
            }
            WireError::InvalidTag => write!(f, "invalid authentication tag: do both sides use the same key?"),
            WireError::UnexpectedNumber { got, expected } => {
                write!(f, "frame {got} received, {expected} expected")
            }
            WireError::Malformed => write!(f, "malformed message"),
        }
    }
}

impl std::error::Error for WireError {}

/// Message between a forwarder and a planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Report(Report),
    Grant(Grant),
}

/// Side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Forwarder,
    Planner,
}

/// Protocol state of one connection, at one side.
pub struct Link {
    side: Side,
    key: Vec<u8>,
    local_hello: [u8; HELLO_BYTES],
    peer_hello: Option<[u8; HELLO_BYTES]>,
    version: u8,
    sent_frames: u64,
    received_frames: u64,
    buffer: Vec<u8>,
}

impl Link {
    /// Returns the state of a new connection. `random` distinguishes it from every other and need not be secret.
    /// `latest` is the latest version to offer: [`LATEST`], except in tests and during a rollout.
    pub fn new(side: Side, key: &[u8], random: [u8; 16], latest: u8) -> Self {
        let mut local_hello = [0; HELLO_BYTES];
        local_hello[..4].copy_from_slice(MAGIC);
        (local_hello[4], local_hello[5]) = (OLDEST, latest);
        local_hello[10..].copy_from_slice(&random);
        Link {
            side,
            key: key.to_vec(),
            local_hello,
            peer_hello: None,
            version: 0,
            sent_frames: 0,
            received_frames: 0,
            buffer: Vec::new(),
        }
    }

    /// Returns the bytes to send first.
    pub fn hello(&self) -> Vec<u8> {
        self.local_hello.to_vec()
    }

    /// Whether frames can be sealed, that is whether the peer's hello has arrived.
    pub fn is_open(&self) -> bool {
        self.peer_hello.is_some()
    }

    /// Returns the number of buffered bytes, at most one frame and one read.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    fn tag(&self, from: Side, kind: u8, number: u64, payload: &[u8]) -> Hmac<Sha256> {
        // HMAC takes keys of any length. The configuration enforces [`MIN_KEY_BYTES`].
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.key).unwrap_or_else(|_| unreachable!());
        let peer_hello = self.peer_hello.unwrap_or([0; HELLO_BYTES]);
        let (forwarder_hello, planner_hello) = if self.side == Side::Forwarder {
            (&self.local_hello, &peer_hello)
        } else {
            (&peer_hello, &self.local_hello)
        };
        mac.update(forwarder_hello);
        mac.update(planner_hello);
        mac.update(&[u8::from(from == Side::Planner), kind]);
        mac.update(&number.to_be_bytes());
        mac.update(payload);
        mac
    }

    /// Returns a message as a frame to send, or no bytes before the link is open.
    pub fn seal(&mut self, message: &Message) -> Vec<u8> {
        if !self.is_open() {
            return Vec::new();
        }
        let (kind, payload) = match message {
            Message::Report(r) => (REPORT_KIND, write_report(r, self.version)),
            Message::Grant(g) => (GRANT_KIND, write_grant(g, self.version)),
        };
        self.sent_frames += 1;
        let tag = self.tag(self.side, kind, self.sent_frames, &payload).finalize().into_bytes();
        let length = 1 + 8 + payload.len() + TAG_BYTES;
        let mut frame = Vec::with_capacity(4 + length);
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        frame.push(kind);
        frame.extend_from_slice(&self.sent_frames.to_be_bytes());
        frame.extend_from_slice(&payload);
        frame.extend_from_slice(&tag);
        frame
    }

    /// Decodes received bytes and returns the messages that are complete.
    ///
    /// # Errors
    /// [`WireError`] if the connection must be dropped. Bytes after the fault are ignored.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Vec<Message>, WireError> {
        self.buffer.extend_from_slice(bytes);
        let mut messages = Vec::new();
        let mut offset = 0;
        if self.peer_hello.is_none() {
            let start = &self.buffer[..self.buffer.len().min(4)];
            if !MAGIC.starts_with(start) {
                return Err(WireError::MissingHello);
            }
            let Some(hello) = self.buffer.get(..HELLO_BYTES) else { return Ok(messages) };
            let (oldest, latest) = (hello[4], hello[5]);
            if oldest > self.local_hello[5] || latest < OLDEST || oldest > latest {
                return Err(WireError::UnsupportedVersion { oldest, latest });
            }
            self.version = latest.min(self.local_hello[5]);
            self.peer_hello = hello.try_into().ok();
            offset = HELLO_BYTES;
        }
        loop {
            let rest = &self.buffer[offset..];
            let Some(length) = rest.first_chunk::<4>() else { break };
            let length = u32::from_be_bytes(*length) as usize;
            if !(1 + 8 + TAG_BYTES..=MAX_FRAME_BYTES).contains(&length) {
                return Err(WireError::InvalidLength(length));
            }
            let Some(frame) = rest.get(4..4 + length) else { break };
            let (body, tag) = frame.split_at(length - TAG_BYTES);
            let mut read = Reader(body);
            let (kind, number) = (read.u8()?, read.u64()?);
            let payload = read.0;
            let from = if self.side == Side::Planner { Side::Forwarder } else { Side::Planner };
            self.tag(from, kind, number, payload).verify_slice(tag).map_err(|_| WireError::InvalidTag)?;
            let expected = self.received_frames + 1;
            if number != expected {
                return Err(WireError::UnexpectedNumber { got: number, expected });
            }
            self.received_frames = number;
            messages.push(match (kind, from) {
                (REPORT_KIND, Side::Forwarder) => Message::Report(read_report(payload, self.version)?),
                (GRANT_KIND, Side::Planner) => Message::Grant(read_grant(payload, self.version)?),
                _ => return Err(WireError::Malformed),
            });
            offset += 4 + length;
        }
        self.buffer.drain(..offset);
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

    /// Reads a number that is finite and not negative.
    fn amount(&mut self) -> Result<f64, WireError> {
        let v = f64::from_bits(self.u64()?);
        if v.is_finite() && v >= 0.0 {
            Ok(v)
        } else {
            Err(WireError::Malformed)
        }
    }

    fn amounts(&mut self) -> Result<Amounts, WireError> {
        Ok([self.amount()?, self.amount()?, self.amount()?])
    }

    fn name(&mut self) -> Result<Name, WireError> {
        let length = usize::from(self.u8()?);
        let (name, rest) = self.0.split_at_checked(length).ok_or(WireError::Malformed)?;
        self.0 = rest;
        std::str::from_utf8(name).map(Name::from).map_err(|_| WireError::Malformed)
    }

    fn count(&mut self) -> Result<usize, WireError> {
        let count = usize::from(self.u16()?);
        // Checked before any memory is allocated.
        if count <= MAX_ENTRIES && count <= self.0.len() {
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

fn put_amounts(out: &mut Vec<u8>, amounts: &[f64]) {
    amounts.iter().for_each(|v| out.extend_from_slice(&v.to_bits().to_be_bytes()));
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
        put_amounts(&mut out, &[r.attempts_in_flight]);
    }
    let entries = &r.entries[..r.entries.len().min(MAX_ENTRIES)];
    out.extend_from_slice(&(entries.len() as u16).to_be_bytes());
    for e in entries {
        put_name(&mut out, &e.customer);
        out.extend_from_slice(&e.plan.to_be_bytes());
        put_numbers(&mut out, &[e.lease]);
        put_amounts(&mut out, &e.spent);
        put_amounts(&mut out, &e.returned);
        put_amounts(&mut out, &[e.demand, e.in_use]);
    }
    out
}

fn read_report(bytes: &[u8], version: u8) -> Result<Report, WireError> {
    let mut r = Reader(bytes);
    let seat = r.u16()?;
    let (incarnation, number, known_epoch, nonce, acknowledged_grant) =
        (r.u64()?, r.u64()?, r.u64()?, r.u64()?, r.u64()?);
    let (loan, slots_free_in) = (r.u64()?, r.u64()?);
    let is_lent = r.flag()?;
    let attempts_in_flight = if version >= 2 { r.amount()? } else { 0.0 };
    let count = r.count()?;
    let mut entries = Vec::with_capacity(count);
    for _ in 0..count {
        let (customer, plan, lease) = (r.name()?, r.u16()?, r.u64()?);
        let (spent, returned, demand, in_use) = (r.amounts()?, r.amounts()?, r.amount()?, r.amount()?);
        entries.push(Entry { customer, plan, lease, spent, returned, demand, in_use });
    }
    r.end()?;
    Ok(Report {
        seat,
        incarnation,
        number,
        known_epoch,
        nonce,
        acknowledged_grant,
        is_lent,
        loan,
        slots_free_in,
        attempts_in_flight,
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
        put_amounts(&mut out, &[g.work_share]);
    }
    let leases = &g.leases[..g.leases.len().min(MAX_ENTRIES)];
    out.extend_from_slice(&(leases.len() as u16).to_be_bytes());
    for l in leases {
        put_name(&mut out, &l.customer);
        put_numbers(&mut out, &[l.lease]);
        put_amounts(&mut out, &l.granted);
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
    let is_already_lent = r.flag()?;
    // Version 1 has no placement. A fraction of 2 is out of range, so the forwarder ignores it.
    let work_share = if version >= 2 { r.amount()? } else { 2.0 };
    let count = r.count()?;
    let mut leases = Vec::with_capacity(count);
    for _ in 0..count {
        let (customer, lease) = (r.name()?, r.u64()?);
        let (granted, is_renewed, is_pool_empty) = (r.amounts()?, r.flag()?, r.flag()?);
        leases.push(Lease { customer, lease, granted, is_renewed, is_pool_empty });
    }
    r.end()?;
    Ok(Grant { from, seat, incarnation, number, report, is_already_lent, loan, work_share, leases })
}

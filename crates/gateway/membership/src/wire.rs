//! Wire format of datagrams: versioned, of bounded size, authenticated and numbered.
//!
//! `GTFV`, the version (1 byte), then encoded by `postcard`: the sender's name, its generation, the datagram's sequence
//! number within that generation, and the message; then a tag: HMAC-SHA-256 under the shared key over all preceding
//! bytes, truncated to 16 bytes.

use crate::record::{Name, Record, MAX_NAME_BYTES};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::net::SocketAddr;

/// Version of the wire format. Fields are only added at the end.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Minimum length of a key.
pub const MIN_KEY_BYTES: usize = 16;
/// Number of buckets into which members are hashed for digests.
pub const BUCKETS: usize = 16;
const MAGIC: &[u8; 4] = b"GTFV";
const TAG_BYTES: usize = 16;

/// Payload piggybacked on pings and their answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Piggyback {
    /// Digest of the members that the sender believes to be alive.
    pub digest: u64,
    /// Local health score of the sender: 0 is best.
    pub health: u8,
    pub updates: Vec<Record>,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Answered by an `Ack` with the same probe number, if the receiver is of this generation.
    Ping {
        probe: u32,
        generation: u64,
        /// Address of the sender.
        address: SocketAddr,
        piggyback: Piggyback,
    },
    Ack {
        probe: u32,
        piggyback: Piggyback,
    },
    /// Indirect ping: requests a ping of the target and a report of the result.
    PingRequest {
        probe: u32,
        target: Name,
        piggyback: Piggyback,
    },
    /// The helper is alive, but its ping of the target went unanswered.
    Nack {
        probe: u32,
        piggyback: Piggyback,
    },
    /// Digests by bucket; requests the records of the buckets that differ.
    DigestMismatch {
        buckets: [u32; BUCKETS],
    },
    Records {
        /// Echo of the `Join` that this answers; 0 if it answers none.
        echo: u64,
        records: Vec<Record>,
    },
    /// First request of an unknown sender, padded so that the answer is no longer than the request.
    Hello {
        record: Record,
        padding: Vec<u8>,
    },
    /// Answer to an unknown sender, of which no state is kept until it returns the cookie.
    Cookie {
        cookie: [u8; 16],
        /// Address of the sender.
        address: SocketAddr,
    },
    /// Join request that returns the cookie.
    Join {
        record: Record,
        cookie: [u8; 16],
        /// Random, to tell the answer to this request from older answers.
        echo: u64,
    },
}

/// An authenticated datagram. `number` is its sequence number within the sender's generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    pub from: Name,
    pub generation: u64,
    pub number: u64,
    pub message: Message,
}

/// Reason why a datagram is dropped. The texts of `Display` are keys in `GET /status/fleet`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DatagramError {
    /// Too long, too short, or without the magic bytes.
    NotOurs,
    Version,
    /// The tag does not verify: the sender has another key, or the bytes were changed in transit.
    Authentication,
    /// Authenticated, but undecodable or inconsistent.
    Malformed,
    /// The sequence number was seen before, or is too old for the replay window.
    Replayed,
    /// From an earlier generation of its sender.
    OldGeneration,
    /// The sender exceeds its rate limit.
    RateLimited,
    /// The cookie was issued by another process, or has expired.
    Cookie,
    /// Sent by this member.
    FromSelf,
    /// The sender has not joined.
    UnknownSender,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DatagramError::NotOurs => "no datagram of ours",
            DatagramError::Version => "a version that is not spoken here",
            DatagramError::Authentication => "a tag that does not verify: is its key another?",
            DatagramError::Malformed => "a message that can't be read",
            DatagramError::Replayed => "a datagram that came before",
            DatagramError::OldGeneration => "a datagram of a life that is over",
            DatagramError::RateLimited => "more than its sender may send",
            DatagramError::Cookie => "a cookie that is not ours",
            DatagramError::FromSelf => "a datagram of our own",
            DatagramError::UnknownSender => "a datagram of somebody who is not known",
        })
    }
}

impl std::error::Error for DatagramError {}

/// The shared keys: datagrams are sealed with the first and opened with any. There are two during a key rotation.
#[derive(Clone)]
pub struct Keys(Vec<Vec<u8>>);

impl Keys {
    /// Takes one or two keys.
    ///
    /// # Errors
    /// If there are none or more than two, or one is shorter than [`MIN_KEY_BYTES`].
    pub fn new(keys: Vec<Vec<u8>>) -> Result<Self, String> {
        if !(1..=2).contains(&keys.len()) {
            return Err(format!("expected 1 or 2 keys, got {}", keys.len()));
        }
        match keys.iter().find(|k| k.len() < MIN_KEY_BYTES) {
            Some(short) => Err(format!("key has {} bytes; the minimum is {MIN_KEY_BYTES}", short.len())),
            None => Ok(Keys(keys)),
        }
    }

    fn mac(key: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
        // HMAC accepts keys of any length.
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).unwrap_or_else(|_| unreachable!());
        parts.iter().for_each(|p| mac.update(p));
        mac
    }

    /// Returns the first 16 bytes of the parts' HMAC under the first key.
    pub(crate) fn sign(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let tag = Keys::mac(&self.0[0], parts).finalize().into_bytes();
        let mut truncated = [0; TAG_BYTES];
        truncated.copy_from_slice(&tag[..TAG_BYTES]);
        truncated
    }

    fn verifies(&self, bytes: &[u8], tag: &[u8]) -> bool {
        self.0.iter().any(|key| Keys::mac(key, &[bytes]).verify_truncated_left(tag).is_ok())
    }

    /// Encodes and signs a datagram. Returns `None` if it would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn seal(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(256);
        bytes.extend_from_slice(MAGIC);
        bytes.push(VERSION);
        let body = (&datagram.from, datagram.generation, datagram.number, &datagram.message);
        bytes.extend(postcard::to_stdvec(&body).ok()?);
        let tag = self.sign(&[&bytes]);
        bytes.extend_from_slice(&tag);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    /// [`DatagramError`]: the datagram is dropped without an answer.
    pub fn open(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES
            || bytes.len() < MAGIC.len() + 1 + TAG_BYTES
            || !bytes.starts_with(MAGIC)
        {
            return Err(DatagramError::NotOurs);
        }
        let (sealed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        // Verified before the body is parsed, so that senders without the key reach no further code.
        if !self.verifies(sealed, tag) {
            return Err(DatagramError::Authentication);
        }
        if sealed[4] != VERSION {
            return Err(DatagramError::Version);
        }
        let (from, generation, number, message): (Name, u64, u64, Message) =
            postcard::from_bytes(&sealed[5..]).map_err(|_| DatagramError::Malformed)?;
        let record_is_valid = |r: &Record| r.is_valid();
        let is_valid = match &message {
            Message::Ping { piggyback, .. }
            | Message::Ack { piggyback, .. }
            | Message::PingRequest { piggyback, .. }
            | Message::Nack { piggyback, .. } => piggyback.updates.iter().all(record_is_valid),
            Message::Records { records, .. } => records.iter().all(record_is_valid),
            Message::Hello { record, .. } | Message::Join { record, .. } => {
                record.is_valid()
                    && record.name == from
                    && record.generation == generation
                    && record.state.is_alive()
            }
            Message::DigestMismatch { .. } | Message::Cookie { .. } => true,
        };
        if !is_valid || !(1..=MAX_NAME_BYTES).contains(&from.len()) {
            return Err(DatagramError::Malformed);
        }
        Ok(Datagram { from, generation, number, message })
    }
}

/// Returns the encoded size of a record in bytes.
pub(crate) fn encoded_size(record: &Record) -> usize {
    postcard::to_stdvec(record).map_or(MAX_DATAGRAM_BYTES, |b| b.len())
}

//! Datagrams: versioned, bounded, authenticated, numbered.
//!
//! `GTFV`, version (1 byte), then by `postcard`: the sender's name, life, the datagram's number in that life, the
//! message; then 16 bytes of HMAC-SHA-256 under the shared key over all before.

use crate::record::{Name, Record, MAX_NAME_BYTES};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::net::SocketAddr;

/// The wire version. Fields are only added at the end.
pub const VERSION: u8 = 1;
/// The longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The shortest permitted key.
pub const MIN_KEY_BYTES: usize = 16;
/// How many buckets members are hashed into for digests.
pub const BUCKETS: usize = 16;
const MAGIC: &[u8; 4] = b"GTFV";
const TAG_BYTES: usize = 16;

/// What is piggybacked on pings and their answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Piggyback {
    /// Digest of the members that the sender believes alive.
    pub digest: u64,
    /// The sender's own health: 0 is best.
    pub health: u8,
    pub updates: Vec<Record>,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Answered by `Ack` with the same number, if it is meant for this generation.
    Ping {
        probe: u32,
        generation: u64,
        /// The sender's address.
        address: SocketAddr,
        piggyback: Piggyback,
    },
    Ack {
        probe: u32,
        piggyback: Piggyback,
    },
    /// Asks to ping this member and to report the result.
    PingRequest {
        probe: u32,
        target: Name,
        piggyback: Piggyback,
    },
    /// The helper is alive and got no answer.
    Nack {
        probe: u32,
        piggyback: Piggyback,
    },
    /// Digests by bucket; asks for the records of the buckets that differ.
    DigestMismatch {
        buckets: [u32; BUCKETS],
    },
    Records {
        /// That of the `Join` that this answers; else 0.
        echo: u64,
        records: Vec<Record>,
    },
    /// An unknown sender asks to join. Padded, so that the answer is no longer than the request.
    Hello {
        record: Record,
        padding: Vec<u8>,
    },
    /// To an unknown sender: no state is kept until it returns the cookie.
    Cookie {
        cookie: [u8; 16],
        /// The sender's address.
        address: SocketAddr,
    },
    Join {
        record: Record,
        cookie: [u8; 16],
        /// Random, so that an old answer is not taken for the answer to this one.
        echo: u64,
    },
}

/// An authenticated datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    pub from: Name,
    pub generation: u64,
    pub number: u64,
    pub message: Message,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DatagramError {
    /// Too long, too short, or without our magic bytes.
    NotOurs,
    Version,
    /// The tag does not verify: another key, or changed bytes.
    Authentication,
    /// Authenticated, but unreadable or inconsistent.
    Malformed,
    /// Its number was seen already, or is too old to know.
    Replayed,
    /// Of an earlier generation.
    OldGeneration,
    /// Above its sender's rate limit.
    RateLimited,
    /// A cookie of another process, or an expired one.
    Cookie,
    /// Sent by this member itself.
    FromSelf,
    /// Its sender has not joined.
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

/// The shared keys: the first seals, each opens. There are two while a key is replaced.
#[derive(Clone)]
pub struct Keys(Vec<Vec<u8>>);

impl Keys {
    /// # Errors
    /// If there is none, or one is shorter than [`MIN_KEY_BYTES`].
    pub fn new(keys: Vec<Vec<u8>>) -> Result<Self, String> {
        if !(1..=2).contains(&keys.len()) {
            return Err(format!("{} keys: 1 or 2 are wanted", keys.len()));
        }
        match keys.iter().find(|k| k.len() < MIN_KEY_BYTES) {
            Some(short) => {
                Err(format!("a key of {} bytes: {MIN_KEY_BYTES} at least are wanted", short.len()))
            }
            None => Ok(Keys(keys)),
        }
    }

    fn mac(key: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
        // Any length of key will do for HMAC.
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).unwrap_or_else(|_| unreachable!());
        parts.iter().for_each(|p| mac.update(p));
        mac
    }

    /// 16 bytes that only a holder of the first key can make.
    pub(crate) fn sign(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let tag = Keys::mac(&self.0[0], parts).finalize().into_bytes();
        let mut short = [0; TAG_BYTES];
        short.copy_from_slice(&tag[..TAG_BYTES]);
        short
    }

    fn verifies(&self, bytes: &[u8], tag: &[u8]) -> bool {
        self.0.iter().any(|key| Keys::mac(key, &[bytes]).verify_truncated_left(tag).is_ok())
    }

    /// The bytes of a datagram. None if it would be too long.
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
        // Before anything else is parsed: a sender without the key gets no further.
        if !self.verifies(sealed, tag) {
            return Err(DatagramError::Authentication);
        }
        if sealed[4] != VERSION {
            return Err(DatagramError::Version);
        }
        let (from, life, number, message): (Name, u64, u64, Message) =
            postcard::from_bytes(&sealed[5..]).map_err(|_| DatagramError::Malformed)?;
        let sound = |r: &Record| r.is_sound();
        let fine = match &message {
            Message::Ping { piggyback: rider, .. }
            | Message::Ack { piggyback: rider, .. }
            | Message::PingRequest { piggyback: rider, .. }
            | Message::Nack { piggyback: rider, .. } => rider.updates.iter().all(sound),
            Message::Records { records, .. } => records.iter().all(sound),
            Message::Hello { record, .. } | Message::Join { record, .. } => {
                record.is_sound()
                    && record.name == from
                    && record.generation == life
                    && record.state.is_alive()
            }
            Message::DigestMismatch { .. } | Message::Cookie { .. } => true,
        };
        if !fine || !(1..=MAX_NAME_BYTES).contains(&from.len()) {
            return Err(DatagramError::Malformed);
        }
        Ok(Datagram { from, generation: life, number, message })
    }
}

/// How many bytes a record takes.
pub(crate) fn encoded_size(record: &Record) -> usize {
    postcard::to_stdvec(record).map_or(MAX_DATAGRAM_BYTES, |b| b.len())
}

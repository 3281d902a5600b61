//! The bytes of a snapshot: magic, the table, the sections, the table once more and where it begins.
//!
//! | part | bytes |
//! | --- | --- |
//! | magic | `GTSN`, the format's version |
//! | table | length (4, little-endian), CRC-32 (4), `postcard` |
//! | sections | as long as the table says, one behind the other |
//! | the table again | the same bytes |
//! | its place | 8, little-endian, and CRC-32 of those (4) |

use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Nothing longer is written or read.
pub const MOST_BYTES: usize = 64 << 20;
const MAGIC: [u8; 5] = *b"GTSN\x01";
const MOST_SECTIONS: usize = 16;
/// The longest table: a name of 64 bytes and sixteen sections take less than a tenth of it.
const MOST_TABLE: usize = 4096;
/// A clock may be put back by so much before what it wrote counts as of the future.
const AHEAD: Time = 5_000_000_000;
/// The version of each section that is written, and the only one that is taken.
const VERSION: u8 = 1;

/// Whose it is, and of when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// The gateway's, the same after a restart.
    pub name: String,
    /// Unix milliseconds at the process's start.
    pub generation: u64,
    /// When it was true.
    pub taken_at: Time,
}

/// What a section holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    Bans,
    /// Customers' stores and averages.
    Stores,
    /// What was learnt of servers.
    Servers,
    /// The last list of servers, with its revision.
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
    /// A number, so that one that is not known costs itself alone.
    kind: u8,
    version: u8,
    length: u64,
    sum: u32,
}

#[derive(Serialize, Deserialize)]
struct Table {
    author: Author,
    entries: Vec<Entry>,
}

/// Why a whole file is of no use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    NotOne,
    Format(u8),
    TooLong(usize),
    NoTable,
    Author { name: String },
    Future { ahead_ms: u64 },
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::NotOne => write!(f, "not a snapshot"),
            Refused::Format(v) => write!(f, "of format {v}: {} is wanted", MAGIC[4]),
            Refused::TooLong(n) => write!(f, "{n} bytes: {MOST_BYTES} are read at most"),
            Refused::NoTable => write!(f, "both its tables are damaged"),
            Refused::Author { name } => write!(f, "it is {name:?}'s"),
            Refused::Future { ahead_ms } => write!(f, "it is of {ahead_ms} ms from now"),
        }
    }
}

impl std::error::Error for Refused {}

/// Why one section is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    Sum,
    /// The file ends before it does.
    Torn,
    Version(u8),
}

impl fmt::Display for Spoilt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Spoilt::Sum => write!(f, "its checksum does not hold"),
            Spoilt::Torn => write!(f, "the file ends before it does"),
            Spoilt::Version(v) => write!(f, "of version {v}: {VERSION} is wanted"),
        }
    }
}

/// What was found in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    pub author: Author,
    pub sections: BTreeMap<Kind, Result<Vec<u8>, Spoilt>>,
    /// Sections that this program knows nothing of.
    pub unknown: usize,
    /// One of the two tables is damaged.
    pub table_damaged: bool,
}

fn number(kind: Kind) -> u8 {
    match kind {
        Kind::Bans => 1,
        Kind::Stores => 2,
        Kind::Servers => 3,
        Kind::List => 4,
    }
}

fn kind(number: u8) -> Option<Kind> {
    [Kind::Bans, Kind::Stores, Kind::Servers, Kind::List].into_iter().find(|k| self::number(*k) == number)
}

/// The bytes of a snapshot. Sections that would make it longer than [`MOST_BYTES`] are left out, the last first.
#[must_use]
pub fn encode(author: &Author, sections: &[Section]) -> Vec<u8> {
    let mut room = MOST_BYTES - 2 * MOST_TABLE - 64;
    let fit = |s: &&Section| {
        let fits = s.bytes.len() <= room;
        room -= if fits { s.bytes.len() } else { 0 };
        fits
    };
    let sections: Vec<&Section> = sections.iter().take(MOST_SECTIONS).filter(fit).collect();
    let entry = |s: &&Section| Entry {
        kind: number(s.kind),
        version: VERSION,
        length: s.bytes.len() as u64,
        sum: crc32fast::hash(&s.bytes),
    };
    let table = Table { author: author.clone(), entries: sections.iter().map(entry).collect() };
    let table = postcard::to_stdvec(&table).unwrap_or_default();
    let framed = |bytes: &mut Vec<u8>| {
        bytes.extend((table.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&table).to_le_bytes());
        bytes.extend(&table);
    };
    let mut bytes = MAGIC.to_vec();
    framed(&mut bytes);
    sections.iter().for_each(|s| bytes.extend(&s.bytes));
    let place = (bytes.len() as u64).to_le_bytes();
    framed(&mut bytes);
    bytes.extend(place);
    bytes.extend(crc32fast::hash(&place).to_le_bytes());
    bytes
}

/// A table at this place, and where it ends.
fn table(bytes: &[u8], at: usize) -> Option<(Table, usize)> {
    let figure = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at.checked_add(4)?)?.try_into().ok()?));
    let (length, sum) = (figure(at)? as usize, figure(at.checked_add(4)?)?);
    let end = at.checked_add(8)?.checked_add(length).filter(|_| length <= MOST_TABLE)?;
    let raw = bytes.get(at + 8..end)?;
    let table: Table = postcard::from_bytes(raw).ok().filter(|_| crc32fast::hash(raw) == sum)?;
    let sound = table.entries.len() <= MOST_SECTIONS && table.author.name.len() <= 64;
    sound.then_some((table, end))
}

/// Where the second table begins.
fn second(bytes: &[u8]) -> Option<usize> {
    let tail = bytes.len().checked_sub(12)?;
    let (place, sum) = bytes[tail..].split_at(8);
    let sum = u32::from_le_bytes(sum.try_into().ok()?);
    let place = u64::from_le_bytes(place.try_into().ok().filter(|_| crc32fast::hash(place) == sum)?);
    usize::try_from(place).ok().filter(|place| *place < tail)
}

/// Reads any bytes as a snapshot that `name` may go on with at `now`.
///
/// # Errors
/// [`Refused`], if nothing of it may be used.
pub fn decode(bytes: &[u8], name: &str, now: Time) -> Result<Snapshot, Refused> {
    let read = inspect(bytes)?;
    if read.author.name != name && !planted!(AuthorNotAsked) {
        return Err(Refused::Author { name: read.author.name });
    }
    let ahead = read.author.taken_at.saturating_sub(now);
    if ahead > AHEAD && !planted!(FutureTaken) {
        return Err(Refused::Future { ahead_ms: ahead / 1_000_000 });
    }
    Ok(read)
}

/// The same whoever's it is, and of whenever.
///
/// # Errors
/// [`Refused`], if it can't be read.
pub fn inspect(bytes: &[u8]) -> Result<Snapshot, Refused> {
    if bytes.len() > MOST_BYTES {
        return Err(Refused::TooLong(bytes.len()));
    }
    // A flipped bit in the magic costs it all: it is five bytes of millions.
    if bytes.get(..4) != Some(&MAGIC[..4]) {
        return Err(Refused::NotOne);
    }
    if bytes.get(4) != Some(&MAGIC[4]) {
        return Err(Refused::Format(bytes.get(4).copied().unwrap_or_default()));
    }
    let first = table(bytes, MAGIC.len());
    let last = second(bytes).filter(|_| !planted!(SecondTableNotRead));
    let last = last.and_then(|at| Some((table(bytes, at)?.0, at)));
    let table_damaged = first.is_none() || last.is_none();
    let (table, mut at) = match (first, last) {
        (Some((table, end)), _) => (table, end),
        (None, Some((table, at))) => {
            // The sections end where the second table begins.
            let all = table.entries.iter().try_fold(0usize, |n, e| n.checked_add(e.length as usize));
            let begins = all.and_then(|all| at.checked_sub(all)).ok_or(Refused::NoTable)?;
            (table, begins)
        }
        (None, None) => return Err(Refused::NoTable),
    };
    let (mut sections, mut unknown) = (BTreeMap::new(), 0);
    for entry in &table.entries {
        let end = at.saturating_add(usize::try_from(entry.length).unwrap_or(usize::MAX));
        let found = match bytes.get(at..end) {
            _ if entry.version != VERSION => Err(Spoilt::Version(entry.version)),
            None => Err(Spoilt::Torn),
            Some(raw) if crc32fast::hash(raw) == entry.sum || planted!(ChecksumLeftOut) => Ok(raw.to_vec()),
            Some(_) => Err(Spoilt::Sum),
        };
        match kind(entry.kind) {
            Some(kind) => drop(sections.insert(kind, found)),
            None => unknown += 1,
        }
        at = end;
    }
    Ok(Snapshot { author: table.author, sections, unknown, table_damaged })
}

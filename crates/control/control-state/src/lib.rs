//! What is agreed on: the configuration as it came, which backends are leaving, which gateways there are. A value that
//! every prompter folds from the same words in the same order, so that all hold the same. No I/O.
#![forbid(unsafe_code)]

mod difference;
mod order;
mod parcel;
mod taken;

pub use difference::Difference;
pub use order::{decide, Verdict, Versions};
pub use parcel::{Head, Part, Received, Receiver, Sender, Steps, PART, WINDOW};
pub use taken::{mark, Mark, MARKS};

use configuration::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use taken::Taken;

/// A place in the agreed log.
pub type Place = u64;
/// The form of what is kept and sent.
const FORM: u32 = 1;
/// So many that are leaving are remembered; ids are never used again, and the oldest have long ended.
const LEAVING: usize = 4096;
/// A configuration that is no longer stands whole in the log.
const SHORT: usize = 16 << 10;
/// The longest that a change comes to.
const LONGEST: usize = 16 << 20;
/// So many gateways are known. More are a fault of the platform's.
const GATEWAYS: usize = 4096;
/// So many trials are remembered as over; of more, those that ended last.
const OVER: usize = 4096;

/// Something to agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// On top of `base`, which must be the current one.
    Configuration {
        base: Version,
        version: Version,
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// The same as its difference to the bytes of the current one, which all hold.
    Change {
        base: Version,
        version: Version,
        /// Of the bytes that come of it.
        mark: Mark,
        #[serde(with = "serde_bytes")]
        difference: Vec<u8>,
    },
    /// This backend takes no new work for the rest of its life.
    Leaving { instance: String },
    /// This gateway is there, and has its even part of what is shared.
    Gateway { name: String },
    /// This end of a tenant's trial has passed, in Unix milliseconds.
    TrialOver { tenant: String, ends: u64 },
}

impl Word {
    /// A long configuration as a change of the book's, if that is much shorter: an entry of the log holds up the rounds behind
    /// it for as long as its bytes take.
    pub fn shortened(self, book: &Book) -> Word {
        let Word::Configuration { base, version, body } = &self else { return self };
        let current = book.configuration().filter(|c| c.version == *base && body.len() > SHORT);
        let Some(current) = current else { return self };
        let difference = Difference::between(&current.body, body).write();
        if difference.len() > body.len() / 4 {
            return self;
        }
        Word::Change { base: *base, version: *version, mark: mark(body), difference }
    }

    pub fn write(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a word can be written")
    }

    /// None, if it is none of ours.
    pub fn read(bytes: &[u8]) -> Option<Word> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// What has come of a word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Something has changed.
    Changed,
    /// It was so already.
    Same,
    /// A configuration on another base than the current one, or not later than it.
    Other,
}

/// A configuration as it was agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    pub version: Version,
    /// Where in the agreed log.
    pub place: Place,
    /// The bytes that the operator sent.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    form: u32,
    configuration: Option<Arc<Configuration>>,
    taken: Taken,
    leaving: BTreeMap<String, Place>,
    gateways: BTreeSet<String>,
    /// The latest end of each tenant's trial that has passed, and where that was agreed on. An earlier version, which knows of
    /// none, reads a book without any.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    over: BTreeMap<String, (u64, Place)>,
}

impl Book {
    pub fn new() -> Self {
        Book { form: FORM, ..Book::default() }
    }

    /// None, if it is none of ours.
    pub fn read(bytes: &[u8]) -> Option<Book> {
        if bytes.is_empty() {
            return Some(Book::new());
        }
        rmp_serde::from_slice(bytes).ok().filter(|b: &Book| b.form == FORM)
    }

    pub fn write(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a book can be written")
    }

    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// 0 before the first.
    pub fn version(&self) -> Version {
        self.configuration.as_ref().map_or(0, |c| c.version)
    }

    /// Whether exactly this configuration has been taken, now or some time ago.
    pub fn is_taken(&self, body: &[u8]) -> bool {
        self.taken.knows(&mark(body)).is_some()
    }

    /// The same, of one under this version.
    pub fn has_taken(&self, version: Version, body: &[u8]) -> bool {
        self.taken.knows(&mark(body)) == Some(version)
    }

    /// Whether one of this version may have been taken so long ago that nobody knows.
    pub fn may_have_forgotten(&self, version: Version) -> bool {
        self.taken.may_be_forgotten(version)
    }

    pub fn is_leaving(&self, instance: &str) -> bool {
        self.leaving.contains_key(instance)
    }

    pub fn leaving(&self) -> impl Iterator<Item = &String> {
        self.leaving.keys()
    }

    pub fn gateways(&self) -> &BTreeSet<String> {
        &self.gateways
    }

    /// Whether a word on this gateway would change anything.
    pub fn wants_gateway(&self, name: &str) -> bool {
        self.gateways.len() < GATEWAYS && !self.gateways.contains(name)
    }

    /// Whether this end of the tenant's trial has passed.
    pub fn is_over(&self, tenant: &str, ends: u64) -> bool {
        self.over.get(tenant).is_some_and(|(end, _)| *end == ends)
    }

    /// Where the latest word on a trial stands.
    pub fn over_at(&self) -> Place {
        self.over.values().map(|(_, at)| *at).max().unwrap_or(0)
    }

    fn configure(
        &mut self,
        place: Place,
        (base, version): (Version, Version),
        mark: Mark,
        body: impl FnOnce(Option<&Configuration>) -> Option<Vec<u8>>,
    ) -> Applied {
        if self.taken.knows(&mark) == Some(version) {
            return Applied::Same;
        }
        if base != self.version() || version <= self.version() {
            return Applied::Other;
        }
        // All hold the same current one, so that it comes to the same for all.
        let Some(body) = body(self.configuration.as_deref()) else { return Applied::Other };
        self.configuration = Some(Arc::new(Configuration { version, place, body }));
        self.taken.take(version, mark);
        Applied::Changed
    }

    /// Folds a word in.
    pub fn apply(&mut self, place: Place, word: &Word) -> Applied {
        match word {
            Word::Configuration { base, version, body } => {
                self.configure(place, (*base, *version), mark(body), |_| Some(body.clone()))
            }
            Word::Change { base, version, mark: wanted, difference } => {
                self.configure(place, (*base, *version), *wanted, |current| {
                    let body = Difference::read(difference)?.fold(&current?.body, LONGEST)?;
                    (mark(&body) == *wanted).then_some(body)
                })
            }
            Word::Leaving { instance } => {
                if self.is_leaving(instance) {
                    return Applied::Same;
                }
                self.leaving.insert(instance.clone(), place);
                if self.leaving.len() > LEAVING {
                    let oldest = self.leaving.iter().min_by_key(|(_, at)| **at);
                    if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                        self.leaving.remove(&oldest);
                    }
                }
                Applied::Changed
            }
            Word::Gateway { name } if self.wants_gateway(name) => {
                self.gateways.insert(name.clone());
                Applied::Changed
            }
            Word::Gateway { .. } => Applied::Same,
            Word::TrialOver { tenant, ends } => {
                if self.is_over(tenant, *ends) {
                    return Applied::Same;
                }
                self.over.insert(tenant.clone(), (*ends, place));
                if self.over.len() > OVER {
                    let oldest = self.over.iter().min_by_key(|(_, (_, at))| *at);
                    if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                        self.over.remove(&oldest);
                    }
                }
                Applied::Changed
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn configuration(base: Version, version: Version, body: &str) -> Word {
        Word::Configuration { base, version, body: body.as_bytes().to_vec() }
    }

    #[test]
    fn of_two_on_one_base_one_wins_and_what_was_taken_is_known_again() {
        let mut book = Book::new();
        assert_eq!(book.apply(2, &configuration(0, 3, "a")), Applied::Changed);
        assert_eq!(book.apply(3, &configuration(3, 5, "b")), Applied::Changed);
        assert_eq!(book.apply(4, &configuration(3, 6, "c")), Applied::Other, "the base is another");
        assert_eq!(book.apply(5, &configuration(5, 5, "d")), Applied::Other, "not later");
        assert_eq!(
            book.apply(6, &configuration(0, 3, "a")),
            Applied::Same,
            "once more, though a later one stands"
        );
        assert_eq!(book.apply(7, &configuration(0, 3, "b")), Applied::Other, "other bytes under its number");
        assert_eq!((book.version(), book.configuration().unwrap().place), (5, 3));
        assert_eq!(Book::read(&book.write()), Some(book));
        assert_eq!(Book::read(b"nonsense"), None);
    }

    #[test]
    fn a_trial_that_is_over_is_so_for_that_end_alone_and_a_book_without_any_is_as_it_was() {
        let mut book = Book::new();
        book.apply(1, &Word::Gateway { name: "g".into() });
        // An earlier version's: it has five fields.
        assert_eq!(book.write()[0], 0x95);
        assert_eq!(Book::read(&book.write()), Some(book.clone()));
        let word = |ends| Word::TrialOver { tenant: "t".into(), ends };
        assert_eq!((book.apply(2, &word(7)), book.apply(3, &word(7))), (Applied::Changed, Applied::Same));
        assert!(book.is_over("t", 7) && !book.is_over("t", 8) && !book.is_over("u", 7));
        assert_eq!((book.apply(4, &word(8)), book.over_at()), (Applied::Changed, 4));
        assert!(!book.is_over("t", 7));
        assert_eq!(Book::read(&book.write()), Some(book));
    }

    #[test]
    fn who_leaves_leaves_for_good_and_memory_is_bounded() {
        let mut book = Book::new();
        for n in 0..LEAVING as u64 + 10 {
            book.apply(n, &Word::Leaving { instance: format!("i-{n}") });
        }
        assert_eq!(book.leaving().count(), LEAVING);
        assert!(!book.is_leaving("i-9") && book.is_leaving("i-10"), "the oldest go");
        assert_eq!(book.apply(9999, &Word::Leaving { instance: "i-50".into() }), Applied::Same);
    }
}

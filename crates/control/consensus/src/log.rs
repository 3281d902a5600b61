//! The log as one holds it: a snapshot and the entries behind it, and the members that they tell of.

use crate::members::Voters;
use crate::words::{Entry, Place, Said, Snapshot, Term};
use std::sync::Arc;

#[derive(Clone, Debug, Hash)]
pub(crate) struct Log {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
    /// The latest that the entries tell of, and where; else the snapshot's.
    voters: (Place, Voters),
}

impl Log {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Log { snapshot: Arc::new(snapshot), entries, voters: (0, Voters::default()) };
        log.find_voters();
        log
    }

    fn find_voters(&mut self) {
        let start = self.start();
        let mut told = self.entries.iter().enumerate().rev();
        let told = told.find_map(|(n, e)| Some((start + 1 + n as Place, Voters::told(&e.said)?)));
        self.voters = told.unwrap_or_else(|| (start, Voters::of(self.snapshot.members.clone())));
    }

    pub fn voters(&self) -> &Voters {
        &self.voters.1
    }

    /// Where the voters were told.
    pub fn voters_at(&self) -> Place {
        self.voters.0
    }

    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The snapshot's place.
    pub fn start(&self) -> Place {
        self.snapshot.place
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The entries' places and sizes in bytes.
    pub fn sizes(&self) -> impl Iterator<Item = (Place, usize)> + '_ {
        (self.start() + 1..).zip(self.entries.iter().map(size))
    }

    /// The last entry's term and place.
    pub fn last(&self) -> (Term, Place) {
        let place = self.start() + self.entries.len() as Place;
        (self.entries.last().map_or(self.snapshot.term, |e| e.term), place)
    }

    pub fn get(&self, place: Place) -> Option<&Entry> {
        let at = place.checked_sub(self.start() + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// The term at a place; none before the snapshot and behind the end.
    pub fn term(&self, place: Place) -> Option<Term> {
        if place == self.start() {
            return Some(self.snapshot.term);
        }
        self.get(place).map(|e| e.term)
    }

    /// Whether it holds the entry of this term there. What the snapshot has taken in is agreed on, and so the same.
    pub fn has(&self, place: Place, term: Term) -> bool {
        place < self.start() || self.term(place) == Some(term)
    }

    /// Entries from a place on that fit into so many bytes together.
    pub fn from(&self, place: Place, most: usize) -> Vec<Entry> {
        let at = (place - self.start() - 1) as usize;
        let mut bytes = 0;
        let fits = |e: &&Entry| {
            bytes += size(e);
            bytes <= most
        };
        self.entries.get(at..).unwrap_or_default().iter().take_while(fits).cloned().collect()
    }

    /// The bytes of the entries from the first place up to before the second.
    pub fn bytes(&self, from: Place, to: Place) -> usize {
        (from.max(self.start() + 1)..to).filter_map(|place| self.get(place)).map(size).sum()
    }

    /// Takes entries behind a place that matches. What stands there and is the same stays; from the first that differs
    /// on all is replaced. What has changed, if anything has.
    pub fn take(&mut self, before: Place, entries: Vec<Entry>) -> Option<(Place, Vec<Entry>)> {
        let same = entries.iter().enumerate().take_while(|(n, e)| {
            let place = before + 1 + *n as Place;
            self.has(place, e.term)
        });
        let same = same.count();
        let new = &entries[same..];
        if new.is_empty() {
            return None;
        }
        let from = before + 1 + same as Place;
        self.entries.truncate((from - self.start() - 1) as usize);
        self.entries.extend_from_slice(new);
        self.find_voters();
        Some((from, new.to_vec()))
    }

    /// The entries up to `place` become this state, but not while the voters are changing there. Whether anything has changed.
    pub fn compact(&mut self, place: Place, state: Vec<u8>) -> bool {
        let Some(term) = self.term(place).filter(|_| place > self.start()) else { return false };
        let kept = (place - self.start()) as usize;
        let told = self.entries[..kept].iter().rev().find_map(|e| Voters::told(&e.said));
        let voters = told.unwrap_or_else(|| Voters::of(self.snapshot.members.clone()));
        if voters.are_changing() {
            return false;
        }
        self.entries.drain(..kept);
        self.snapshot = Arc::new(Snapshot { place, term, members: voters.members().clone(), state });
        self.find_voters();
        true
    }

    /// A snapshot from another. `whole`: what stands behind it here is no continuation of it.
    pub fn install(&mut self, snapshot: Snapshot, whole: bool) {
        if whole {
            self.entries.clear();
        } else {
            let kept = (snapshot.place - self.start()) as usize;
            self.entries.drain(..kept);
        }
        self.snapshot = Arc::new(snapshot);
        self.find_voters();
    }
}

/// About what it takes in a message.
pub(crate) fn size(entry: &Entry) -> usize {
    match &entry.said {
        Said::Word(word) => word.len() + 16,
        Said::Members(members) => 32 * members.len() + 16,
        Said::Joint { old, new } => 32 * (old.len() + new.len()) + 16,
        Said::Nothing => 16,
    }
}

//! The log as one holds it: a snapshot and the entries behind it, and the members that they tell of.

use crate::members::VoterConfiguration;
use crate::words::{Entry, EntryPayload, LogIndex, Snapshot, Term};
use std::sync::Arc;

#[derive(Clone, Debug, Hash)]
pub(crate) struct RaftLog {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
    /// The latest that the entries tell of, and where; else the snapshot's.
    voters: (LogIndex, VoterConfiguration),
}

impl RaftLog {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log =
            RaftLog { snapshot: Arc::new(snapshot), entries, voters: (0, VoterConfiguration::default()) };
        log.update_voters();
        log
    }

    fn update_voters(&mut self) {
        let start = self.snapshot_index();
        let mut told = self.entries.iter().enumerate().rev();
        let told = told.find_map(|(n, e)| {
            Some((start + 1 + n as LogIndex, VoterConfiguration::from_payload(&e.payload)?))
        });
        self.voters =
            told.unwrap_or_else(|| (start, VoterConfiguration::simple(self.snapshot.voters.clone())));
    }

    pub fn voters(&self) -> &VoterConfiguration {
        &self.voters.1
    }

    /// Where the voters were told.
    pub fn voters_index(&self) -> LogIndex {
        self.voters.0
    }

    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The snapshot's place.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.index
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The entries' places and sizes in bytes.
    pub fn entry_sizes(&self) -> impl Iterator<Item = (LogIndex, usize)> + '_ {
        (self.snapshot_index() + 1..).zip(self.entries.iter().map(entry_size))
    }

    /// The last entry's term and place.
    pub fn last_position(&self) -> (Term, LogIndex) {
        let place = self.snapshot_index() + self.entries.len() as LogIndex;
        (self.entries.last().map_or(self.snapshot.term, |e| e.term), place)
    }

    pub fn get(&self, place: LogIndex) -> Option<&Entry> {
        let at = place.checked_sub(self.snapshot_index() + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// The term at a place; none before the snapshot and behind the end.
    pub fn term(&self, place: LogIndex) -> Option<Term> {
        if place == self.snapshot_index() {
            return Some(self.snapshot.term);
        }
        self.get(place).map(|e| e.term)
    }

    /// Whether it holds the entry of this term there. What the snapshot has taken in is agreed on, and so the same.
    pub fn contains(&self, place: LogIndex, term: Term) -> bool {
        place < self.snapshot_index() || self.term(place) == Some(term)
    }

    /// Entries from a place on that fit into so many bytes together.
    pub fn entries_within(&self, place: LogIndex, most: usize) -> Vec<Entry> {
        let at = (place - self.snapshot_index() - 1) as usize;
        let mut bytes = 0;
        let fits = |e: &&Entry| {
            bytes += entry_size(e);
            bytes <= most
        };
        self.entries.get(at..).unwrap_or_default().iter().take_while(fits).cloned().collect()
    }

    /// The bytes of the entries from the first place up to before the second.
    pub fn bytes_between(&self, from: LogIndex, to: LogIndex) -> usize {
        (from.max(self.snapshot_index() + 1)..to).filter_map(|place| self.get(place)).map(entry_size).sum()
    }

    /// Takes entries behind a place that matches. What stands there and is the same stays; from the first that differs
    /// on all is replaced. What has changed, if anything has.
    pub fn append(&mut self, before: LogIndex, entries: Vec<Entry>) -> Option<(LogIndex, Vec<Entry>)> {
        let same = entries.iter().enumerate().take_while(|(n, e)| {
            let place = before + 1 + *n as LogIndex;
            self.contains(place, e.term)
        });
        let same = same.count();
        let new = &entries[same..];
        if new.is_empty() {
            return None;
        }
        let from = before + 1 + same as LogIndex;
        self.entries.truncate((from - self.snapshot_index() - 1) as usize);
        self.entries.extend_from_slice(new);
        self.update_voters();
        Some((from, new.to_vec()))
    }

    /// The entries up to `place` become this state, but not while the voters are changing there. Whether anything has changed.
    pub fn compact(&mut self, place: LogIndex, state: Vec<u8>) -> bool {
        let Some(term) = self.term(place).filter(|_| place > self.snapshot_index()) else { return false };
        let kept = (place - self.snapshot_index()) as usize;
        let told =
            self.entries[..kept].iter().rev().find_map(|e| VoterConfiguration::from_payload(&e.payload));
        let voters = told.unwrap_or_else(|| VoterConfiguration::simple(self.snapshot.voters.clone()));
        if voters.is_joint() {
            return false;
        }
        self.entries.drain(..kept);
        self.snapshot = Arc::new(Snapshot { index: place, term, voters: voters.target().clone(), state });
        self.update_voters();
        true
    }

    /// A snapshot from another. `whole`: what stands behind it here is no continuation of it.
    pub fn install_snapshot(&mut self, snapshot: Snapshot, whole: bool) {
        if whole {
            self.entries.clear();
        } else {
            let kept = (snapshot.index - self.snapshot_index()) as usize;
            self.entries.drain(..kept);
        }
        self.snapshot = Arc::new(snapshot);
        self.update_voters();
    }
}

/// About what it takes in a message.
pub(crate) fn entry_size(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(word) => word.len() + 16,
        EntryPayload::Configuration(members) => 32 * members.len() + 16,
        EntryPayload::JointConfiguration { old, new } => 32 * (old.len() + new.len()) + 16,
        EntryPayload::Noop => 16,
    }
}

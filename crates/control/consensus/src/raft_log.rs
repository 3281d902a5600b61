//! A node's replicated log: a snapshot, the entries behind it, and the voters that they name.

use crate::entry::{Entry, Snapshot};
use crate::types::{LogIndex, LogPosition, PreviousEntry, Term};
use crate::voter_configuration::VoterConfiguration;
use std::sync::Arc;

#[derive(Clone, Debug, Hash)]
pub(crate) struct RaftLog {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
    voters: EffectiveVoters,
}

/// The latest voters that the entries name, committed or not; else the snapshot's.
#[derive(Clone, Debug, Hash)]
struct EffectiveVoters {
    /// The entry that names them, or the snapshot's index.
    index: LogIndex,
    configuration: VoterConfiguration,
}

/// What [`RaftLog::append`] has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AppendedEntries {
    /// Index of the first entry that was not there; whatever stood from there on is gone.
    pub from: LogIndex,
    pub entries: Vec<Entry>,
}

impl RaftLog {
    /// A log of this snapshot and the entries behind it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let voters = EffectiveVoters { index: 0, configuration: VoterConfiguration::default() };
        let mut log = RaftLog { snapshot: Arc::new(snapshot), entries, voters };
        log.update_voters();
        log
    }

    fn update_voters(&mut self) {
        let first_index = self.snapshot_index() + 1;
        let mut latest_first = self.entries.iter().enumerate().rev();
        let named = latest_first.find_map(|(n, entry)| {
            let configuration = VoterConfiguration::from_payload(&entry.payload)?;
            Some(EffectiveVoters { index: first_index + n as LogIndex, configuration })
        });
        self.voters = named.unwrap_or_else(|| EffectiveVoters {
            index: self.snapshot_index(),
            configuration: VoterConfiguration::simple(self.snapshot.voters.clone()),
        });
    }

    /// The voters in effect: the latest that an entry names, committed or not.
    pub fn voters(&self) -> &VoterConfiguration {
        &self.voters.configuration
    }

    /// The index of the entry that names the voters.
    pub fn voters_index(&self) -> LogIndex {
        self.voters.index
    }

    /// What stands in place of the log's beginning.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The last index that the snapshot covers.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.index
    }

    /// How many entries stand behind the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The entries behind the snapshot.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The indexes of the entries and about how many bytes each takes in a message.
    pub fn entry_sizes(&self) -> impl Iterator<Item = (LogIndex, usize)> + '_ {
        (self.snapshot_index() + 1..).zip(self.entries.iter().map(Entry::size))
    }

    /// The term and index of the last entry.
    pub fn last_position(&self) -> LogPosition {
        let index = self.snapshot_index() + self.entries.len() as LogIndex;
        LogPosition { term: self.entries.last().map_or(self.snapshot.term, |entry| entry.term), index }
    }

    /// The index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.last_position().index
    }

    /// The entry at an index behind the snapshot.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot_index() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term of an entry; none before the snapshot and behind the end.
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot_index() {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Whether it holds this entry. What the snapshot covers is committed, and so the same everywhere.
    pub fn contains(&self, entry: PreviousEntry) -> bool {
        entry.index < self.snapshot_index() || self.term(entry.index) == Some(entry.term)
    }

    /// Entries from an index on that take at most so many bytes together.
    pub fn entries_within(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let offset = (from - self.snapshot_index() - 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.size();
            bytes <= max_bytes
        };
        self.entries.get(offset..).unwrap_or_default().iter().take_while(fits).cloned().collect()
    }

    /// The bytes of the entries from the first index up to before the second.
    pub fn bytes_between(&self, from: LogIndex, to: LogIndex) -> usize {
        let indexes = from.max(self.snapshot_index() + 1)..to;
        indexes.filter_map(|index| self.get(index)).map(Entry::size).sum()
    }

    /// Takes entries behind an index that matches. Entries that are there already stay; from the first that differs on
    /// all are replaced.
    pub fn append(&mut self, previous_index: LogIndex, entries: Vec<Entry>) -> Option<AppendedEntries> {
        let is_known = |(n, entry): &(usize, &Entry)| {
            self.contains(PreviousEntry { index: previous_index + 1 + *n as LogIndex, term: entry.term })
        };
        let known = entries.iter().enumerate().take_while(is_known).count();
        let new = &entries[known..];
        if new.is_empty() {
            return None;
        }
        let from = previous_index + 1 + known as LogIndex;
        self.entries.truncate((from - self.snapshot_index() - 1) as usize);
        self.entries.extend_from_slice(new);
        self.update_voters();
        Some(AppendedEntries { from, entries: new.to_vec() })
    }

    /// Replaces the entries up to `index` by this state, unless the voters are being changed there. Whether it did.
    pub fn compact(&mut self, index: LogIndex, state: Vec<u8>) -> bool {
        let Some(term) = self.term(index).filter(|_| index > self.snapshot_index()) else { return false };
        let covered = (index - self.snapshot_index()) as usize;
        let mut latest_first = self.entries[..covered].iter().rev();
        let named = latest_first.find_map(|entry| VoterConfiguration::from_payload(&entry.payload));
        let voters = named.unwrap_or_else(|| VoterConfiguration::simple(self.snapshot.voters.clone()));
        if voters.is_joint() {
            return false;
        }
        self.entries.drain(..covered);
        self.snapshot = Arc::new(Snapshot { index, term, voters: voters.target().clone(), state });
        self.update_voters();
        true
    }

    /// Takes the leader's snapshot. `replaces_log`: the entries behind it here do not continue it.
    pub fn install_snapshot(&mut self, snapshot: Snapshot, replaces_log: bool) {
        if replaces_log {
            self.entries.clear();
        } else {
            let covered = (snapshot.index - self.snapshot_index()) as usize;
            self.entries.drain(..covered);
        }
        self.snapshot = Arc::new(snapshot);
        self.update_voters();
    }
}

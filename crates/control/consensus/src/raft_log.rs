//! The replicated log of a node: a snapshot, the entries after it, and the voter configuration in effect.

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

/// The voter configuration of the latest entry that has one, committed or not; otherwise the snapshot's.
#[derive(Clone, Debug, Hash)]
struct EffectiveVoters {
    /// Index of the entry with the configuration, or of the snapshot.
    index: LogIndex,
    configuration: VoterConfiguration,
}

/// The change made by [`RaftLog::append`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AppendedEntries {
    /// Index of the first new entry. Conflicting entries from there on were removed.
    pub from: LogIndex,
    pub entries: Vec<Entry>,
}

impl RaftLog {
    /// Creates a log from a snapshot and the entries after it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let voters = EffectiveVoters { index: 0, configuration: VoterConfiguration::default() };
        let mut log = RaftLog { snapshot: Arc::new(snapshot), entries, voters };
        log.update_voters();
        log
    }

    fn update_voters(&mut self) {
        let first_index = self.snapshot_index() + 1;
        let mut latest_first = self.entries.iter().enumerate().rev();
        let latest = latest_first.find_map(|(n, entry)| {
            let configuration = VoterConfiguration::from_payload(&entry.payload)?;
            Some(EffectiveVoters { index: first_index + n as LogIndex, configuration })
        });
        self.voters = latest.unwrap_or_else(|| EffectiveVoters {
            index: self.snapshot_index(),
            configuration: VoterConfiguration::simple(self.snapshot.voters.clone()),
        });
    }

    /// Returns the voter configuration in effect: the latest in the log, committed or not.
    pub fn voters(&self) -> &VoterConfiguration {
        &self.voters.configuration
    }

    /// Returns the index of the entry with the configuration in effect, or of the snapshot.
    pub fn voters_index(&self) -> LogIndex {
        self.voters.index
    }

    /// Returns the snapshot, which replaces the compacted prefix of the log.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the index of the last entry that the snapshot includes.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.index
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entries after the snapshot.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the index of each entry and its approximate size in a message, in bytes.
    pub fn entry_sizes(&self) -> impl Iterator<Item = (LogIndex, usize)> + '_ {
        (self.snapshot_index() + 1..).zip(self.entries.iter().map(Entry::size))
    }

    /// Returns the term and index of the last entry.
    pub fn last_position(&self) -> LogPosition {
        let index = self.snapshot_index() + self.entries.len() as LogIndex;
        LogPosition { term: self.entries.last().map_or(self.snapshot.term, |entry| entry.term), index }
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.last_position().index
    }

    /// Returns the entry at an index after the snapshot.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot_index() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term of the entry at an index; `None` before the snapshot and after the last entry.
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot_index() {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns whether the log contains this entry. Entries included in the snapshot are committed and thus
    /// the same on every node.
    pub fn contains(&self, entry: PreviousEntry) -> bool {
        entry.index < self.snapshot_index() || self.term(entry.index) == Some(entry.term)
    }

    /// Returns the entries from an index on whose total size is at most `max_bytes`.
    pub fn entries_within(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let offset = (from - self.snapshot_index() - 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.size();
            bytes <= max_bytes
        };
        self.entries.get(offset..).unwrap_or_default().iter().take_while(fits).cloned().collect()
    }

    /// Returns the total size of the entries in `from..to`, in bytes.
    pub fn bytes_between(&self, from: LogIndex, to: LogIndex) -> usize {
        let indexes = from.max(self.snapshot_index() + 1)..to;
        indexes.filter_map(|index| self.get(index)).map(Entry::size).sum()
    }

    /// Appends the leader's entries after an index that matches. Entries that are already in the log stay;
    /// from the first conflicting entry on, the log is replaced.
    pub fn append(&mut self, previous_index: LogIndex, entries: Vec<Entry>) -> Option<AppendedEntries> {
        let is_known = |(n, entry): &(usize, &Entry)| {
            self.contains(PreviousEntry { index: previous_index + 1 + *n as LogIndex, term: entry.term })
        };
        let known_count = entries.iter().enumerate().take_while(is_known).count();
        let new = &entries[known_count..];
        if new.is_empty() {
            return None;
        }
        let from = previous_index + 1 + known_count as LogIndex;
        self.entries.truncate((from - self.snapshot_index() - 1) as usize);
        self.entries.extend_from_slice(new);
        self.update_voters();
        Some(AppendedEntries { from, entries: new.to_vec() })
    }

    /// Replaces the entries up to `index` by this state, unless joint consensus is in effect at that index. Returns
    /// whether the log was compacted.
    pub fn compact(&mut self, index: LogIndex, state: Vec<u8>) -> bool {
        let Some(term) = self.term(index).filter(|_| index > self.snapshot_index()) else { return false };
        let covered_count = (index - self.snapshot_index()) as usize;
        let mut latest_first = self.entries[..covered_count].iter().rev();
        let latest = latest_first.find_map(|entry| VoterConfiguration::from_payload(&entry.payload));
        let voters = latest.unwrap_or_else(|| VoterConfiguration::simple(self.snapshot.voters.clone()));
        if voters.is_joint() {
            return false;
        }
        self.entries.drain(..covered_count);
        self.snapshot = Arc::new(Snapshot { index, term, voters: voters.target().clone(), state });
        self.update_voters();
        true
    }

    /// Installs the leader's snapshot. With `replaces_log`, the entries after it are discarded because they do not
    /// continue it.
    pub fn install_snapshot(&mut self, snapshot: Snapshot, replaces_log: bool) {
        if replaces_log {
            self.entries.clear();
        } else {
            let covered_count = (snapshot.index - self.snapshot_index()) as usize;
            self.entries.drain(..covered_count);
        }
        self.snapshot = Arc::new(snapshot);
        self.update_voters();
    }
}

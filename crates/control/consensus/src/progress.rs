//! What a leader knows of one other node, and what it sends to it.
//!
//! Entries go as far as they fit into a message, and what does not fit goes in chunks. Unanswered bytes are bounded by a
//! window, so that a heartbeat behind them still arrives in time.

use crate::message::{MessageBody, TransferContent};
use crate::raft_log::RaftLog;
use crate::transfer::{OutgoingTransfer, CHUNK_BYTES};
use crate::types::{LogIndex, PreviousEntry, Time};
use crate::{Entry, HEARTBEAT_INTERVAL};

/// Unanswered bytes to one node, at first.
const INITIAL_WINDOW_BYTES: usize = 4 * CHUNK_BYTES;
/// Unanswered bytes to one node, at most.
const MAX_WINDOW_BYTES: usize = 64 * CHUNK_BYTES;

/// Where the leader is with one other node.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Its log is known to match the leader's up to there.
    pub match_index: LogIndex,
    /// What is sent next.
    pub next_index: LogIndex,
    /// Entries sent before this one do not count as in flight: they were given up.
    in_flight_from: LogIndex,
    /// The start of the latest heartbeat round that it answered.
    pub contact: Time,
    window_bytes: usize,
    transfer: Option<OutgoingTransfer>,
}

impl Progress {
    /// A node of which nothing is known: entries are sent from there on.
    pub fn new(next_index: LogIndex) -> Self {
        Progress {
            match_index: 0,
            next_index,
            in_flight_from: next_index,
            contact: 0,
            window_bytes: INITIAL_WINDOW_BYTES,
            transfer: None,
        }
    }

    /// The index that a transfer in progress leads to, and how many of its bytes have arrived.
    #[cfg(feature = "defects")]
    pub fn transfer_state(&self) -> Option<(LogIndex, u64)> {
        self.transfer.as_ref().map(|transfer| (transfer.index(), transfer.acknowledged()))
    }

    /// What to send now. With `is_heartbeat` there is at least one message.
    pub fn messages_to_send(
        &mut self,
        now: Time,
        log: &RaftLog,
        commit_index: LogIndex,
        round: u64,
        is_heartbeat: bool,
    ) -> Vec<MessageBody> {
        let mut messages = Vec::new();
        self.review_transfer(now, log);
        loop {
            if let Some(transfer) = &mut self.transfer {
                transfer.send_chunks(now, log, round, self.window_bytes, &mut messages);
                break;
            }
            let Some(previous) = self.previous_entry(log) else {
                self.transfer = Some(OutgoingTransfer::of_snapshot(now, log.snapshot().clone()));
                continue;
            };
            let entries = self.entries_to_send(log);
            if entries.is_empty() {
                if let Some(content) = self.long_entry(log, previous) {
                    self.transfer = Some(OutgoingTransfer::of_entry(now, content));
                    continue;
                }
                if is_heartbeat && messages.is_empty() {
                    messages.push(MessageBody::AppendEntries { previous, entries, commit_index, round });
                }
                break;
            }
            self.next_index += entries.len() as LogIndex;
            messages.push(MessageBody::AppendEntries { previous, entries, commit_index, round });
        }
        if is_heartbeat && messages.is_empty() {
            messages.push(contact_only(round));
        }
        messages
    }

    /// The entry before the next one, unless the log does not hold it any more.
    fn previous_entry(&self, log: &RaftLog) -> Option<PreviousEntry> {
        let index = self.next_index - 1;
        let term = log.term(index).filter(|_| self.next_index > log.snapshot_index())?;
        Some(PreviousEntry { index, term })
    }

    /// The next entries that fit into a message and into the window.
    fn entries_to_send(&self, log: &RaftLog) -> Vec<Entry> {
        let in_flight = log.bytes_between(self.in_flight_from.max(self.match_index + 1), self.next_index);
        let room = CHUNK_BYTES.min(self.window_bytes.saturating_sub(in_flight));
        let mut entries = log.entries_within(self.next_index, room);
        if entries.is_empty() && in_flight == 0 {
            // What is no command is not sent in chunks, however long it is.
            entries.extend(log.get(self.next_index).filter(|entry| !entry.is_command()).cloned());
        }
        entries
    }

    /// The next entry, if it does not fit into a message and all before it has arrived.
    fn long_entry(&self, log: &RaftLog, previous: PreviousEntry) -> Option<TransferContent> {
        let all_before_arrived = self.match_index + 1 == self.next_index;
        let is_long = |entry: &&Entry| entry.size() > CHUNK_BYTES && entry.is_command();
        let entry = log.get(self.next_index).filter(is_long).filter(|_| all_before_arrived)?;
        Some(TransferContent::Entry { previous, term: entry.term })
    }

    /// Its log matches the leader's up to there.
    pub fn on_accepted(&mut self, match_index: LogIndex, last_index: LogIndex) {
        self.match_index = self.match_index.max(match_index.min(last_index));
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Its log does not match where the leader took it to, or is not on its disk; it may match up to `hint`.
    pub fn on_rejected(&mut self, hint: LogIndex, last_index: LogIndex) {
        if self.transfer.as_ref().is_some_and(|t| t.is_snapshot() && hint < t.index()) {
            return;
        }
        self.transfer = None;
        self.next_index = (hint + 1).clamp(self.match_index + 1, last_index + 1);
        self.in_flight_from = self.next_index;
    }

    /// Whether there is more to send than a heartbeat.
    pub fn has_pending(&self, last_index: LogIndex) -> bool {
        self.transfer.is_some() || self.next_index <= last_index
    }

    /// Gives a transfer up that is not needed any more, and goes back to what has arrived if an answer is overdue.
    fn review_transfer(&mut self, now: Time, log: &RaftLog) {
        let Some(transfer) = &mut self.transfer else { return };
        let is_compacted = !transfer.is_snapshot() && transfer.index() <= log.snapshot_index();
        if self.match_index >= transfer.index() || is_compacted {
            self.next_index = self.match_index + 1;
            self.transfer = None;
        } else if transfer.restart_if_overdue(now) {
            self.shrink_window();
        }
    }

    /// So many bytes of the transfer to `index` have arrived, as of this round.
    pub fn on_chunk_received(&mut self, now: Time, index: LogIndex, received: u64, round: u64) {
        let Some(transfer) = self.transfer.as_mut().filter(|t| t.index() == index) else { return };
        let Some(took) = transfer.on_received(now, received, round) else { return };
        if took < HEARTBEAT_INTERVAL {
            self.window_bytes = (self.window_bytes + CHUNK_BYTES).min(MAX_WINDOW_BYTES);
        } else if took > 2 * HEARTBEAT_INTERVAL && transfer.may_shrink_window(received) {
            self.shrink_window();
        }
    }

    fn shrink_window(&mut self) {
        self.window_bytes = (self.window_bytes / 2).max(CHUNK_BYTES);
    }
}

/// A message that proves contact and says nothing of the log.
fn contact_only(round: u64) -> MessageBody {
    let previous = PreviousEntry::default();
    MessageBody::AppendEntries { previous, entries: Vec::new(), commit_index: 0, round }
}

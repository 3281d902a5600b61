//! A leader's replication progress for one other node.
//!
//! Entries are batched up to the message size limit; a snapshot, or a command over the limit, is transferred
//! in chunks. A window bounds the unacknowledged bytes, so that a heartbeat queued after them still arrives
//! in time.

use crate::message::{MessageBody, TransferContent};
use crate::raft_log::RaftLog;
use crate::transfer::{OutgoingTransfer, CHUNK_BYTES};
use crate::types::{LogIndex, PreviousEntry, Time};
use crate::{Entry, HEARTBEAT_INTERVAL};

/// Initial window: limit of unacknowledged bytes to one node.
const INITIAL_WINDOW_BYTES: usize = 4 * CHUNK_BYTES;
/// Maximum window: limit of unacknowledged bytes to one node.
const MAX_WINDOW_BYTES: usize = 64 * CHUNK_BYTES;

/// Replication progress of one other node, as known by the leader.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index up to which the node's log is known to match the leader's.
    pub match_index: LogIndex,
    /// Index of the next entry to send.
    pub next_index: LogIndex,
    /// Entries before this index do not count as in flight: they were given up after a rejection.
    in_flight_from: LogIndex,
    /// Start of the latest heartbeat round that the node responded to; 0 before its first response.
    pub last_contact: Time,
    window_bytes: usize,
    transfer: Option<OutgoingTransfer>,
}

impl Progress {
    /// Creates the progress of a node of which nothing is known. Entries are sent from `next_index` on.
    pub fn new(next_index: LogIndex) -> Self {
        Progress {
            match_index: 0,
            next_index,
            in_flight_from: next_index,
            last_contact: 0,
            window_bytes: INITIAL_WINDOW_BYTES,
            transfer: None,
        }
    }

    /// Returns the index of the transfer in progress and its acknowledged bytes.
    #[cfg(feature = "defects")]
    pub fn transfer_state(&self) -> Option<(LogIndex, u64)> {
        self.transfer.as_ref().map(|transfer| (transfer.index(), transfer.acknowledged_bytes()))
    }

    /// Returns the messages to send now; at least one if `is_heartbeat`.
    pub fn messages_to_send(
        &mut self,
        now: Time,
        log: &RaftLog,
        commit_index: LogIndex,
        round: u64,
        is_heartbeat: bool,
    ) -> Vec<MessageBody> {
        let mut messages = Vec::new();
        self.finish_or_rewind_transfer(now, log);
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
                if let Some(content) = self.large_entry(log, previous) {
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
            messages.push(contact_only_heartbeat(round));
        }
        messages
    }

    /// Returns the entry before the next one to send, unless the leader has already compacted it.
    fn previous_entry(&self, log: &RaftLog) -> Option<PreviousEntry> {
        let index = self.next_index - 1;
        let term = log.term(index).filter(|_| self.next_index > log.snapshot_index())?;
        Some(PreviousEntry { index, term })
    }

    /// Returns the next entries that fit into a message and the window.
    fn entries_to_send(&self, log: &RaftLog) -> Vec<Entry> {
        let in_flight_bytes =
            log.bytes_between(self.in_flight_from.max(self.match_index + 1), self.next_index);
        let available_bytes = CHUNK_BYTES.min(self.window_bytes.saturating_sub(in_flight_bytes));
        let mut entries = log.entries_within(self.next_index, available_bytes);
        if entries.is_empty() && in_flight_bytes == 0 {
            // Only commands are sent in chunks: any other entry is sent whole, whatever its size.
            entries.extend(log.get(self.next_index).filter(|entry| !entry.is_command()).cloned());
        }
        entries
    }

    /// Returns the next entry as a transfer, if it is a command that does not fit into a message and the node has all
    /// entries before it.
    fn large_entry(&self, log: &RaftLog, previous: PreviousEntry) -> Option<TransferContent> {
        let all_before_matched = self.match_index + 1 == self.next_index;
        let is_large = |entry: &&Entry| entry.size() > CHUNK_BYTES && entry.is_command();
        let entry = log.get(self.next_index).filter(is_large).filter(|_| all_before_matched)?;
        Some(TransferContent::Entry { previous, term: entry.term })
    }

    /// Handles an acknowledgment: the node's log matches the leader's up to `match_index`.
    pub fn on_accepted(&mut self, match_index: LogIndex, last_index: LogIndex) {
        self.match_index = self.match_index.max(match_index.min(last_index));
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Handles a rejection: the node's log does not match at the previous entry, or the node could not
    /// persist its log. It may match up to `hint`.
    pub fn on_rejected(&mut self, hint: LogIndex, last_index: LogIndex) {
        if self.transfer.as_ref().is_some_and(|t| t.is_snapshot() && hint < t.index()) {
            return;
        }
        self.transfer = None;
        self.next_index = (hint + 1).clamp(self.match_index + 1, last_index + 1);
        self.in_flight_from = self.next_index;
    }

    /// Returns whether there is more to send than a heartbeat.
    pub fn has_pending(&self, last_index: LogIndex) -> bool {
        self.transfer.is_some() || self.next_index <= last_index
    }

    /// Ends a transfer that is no longer needed, or rewinds it to the acknowledged bytes if a response is overdue.
    fn finish_or_rewind_transfer(&mut self, now: Time, log: &RaftLog) {
        let Some(transfer) = &mut self.transfer else { return };
        let is_compacted = !transfer.is_snapshot() && transfer.index() <= log.snapshot_index();
        if self.match_index >= transfer.index() || is_compacted {
            self.next_index = self.match_index + 1;
            self.transfer = None;
        } else if transfer.rewind_if_overdue(now) {
            self.shrink_window();
        }
    }

    /// Handles an acknowledgment of `received` bytes of the transfer to `index`, and adapts the window to the
    /// latency.
    pub fn on_chunk_received(&mut self, now: Time, index: LogIndex, received: u64, round: u64) {
        let Some(transfer) = self.transfer.as_mut().filter(|t| t.index() == index) else { return };
        let Some(chunk_latency) = transfer.on_received(now, received, round) else { return };
        if chunk_latency < HEARTBEAT_INTERVAL {
            self.window_bytes = (self.window_bytes + CHUNK_BYTES).min(MAX_WINDOW_BYTES);
        } else if chunk_latency > 2 * HEARTBEAT_INTERVAL && transfer.may_shrink_window(received) {
            self.shrink_window();
        }
    }

    fn shrink_window(&mut self) {
        self.window_bytes = (self.window_bytes / 2).max(CHUNK_BYTES);
    }
}

/// Returns a heartbeat that only checks contact and makes no statement about the log.
fn contact_only_heartbeat(round: u64) -> MessageBody {
    let previous = PreviousEntry::default();
    MessageBody::AppendEntries { previous, entries: Vec::new(), commit_index: 0, round }
}

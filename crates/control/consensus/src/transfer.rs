//! Chunked transfers of a snapshot or a large command, sent by the leader and reassembled by the follower.

use crate::entry::{EntryPayload, Snapshot};
use crate::message::{MessageBody, TransferContent};
use crate::raft_log::RaftLog;
use crate::types::{LogIndex, Term, Time, MS};
use crate::{HEARTBEAT_INTERVAL, MIN_ELECTION_TIMEOUT};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum bytes of entries or of a snapshot in one message: 66 ms on a link of 2 Mbit/s.
pub(crate) const CHUNK_BYTES: usize = 16 << 10;
/// Assumed minimum throughput of a link, by which a response is judged to be overdue.
const MIN_LINK_BYTES_PER_SECOND: u64 = 64 << 10;
/// Maximum size of a snapshot or command that a follower accepts.
const MAX_TRANSFER_BYTES: u64 = 24 << 20;

/// The leader's side of a transfer to one node.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingTransfer {
    content: TransferContent,
    /// The snapshot, unless an entry is sent. It is kept until the transfer ends, since the log may be compacted
    /// meanwhile.
    snapshot: Option<Arc<Snapshot>>,
    sent_bytes: u64,
    acknowledged_bytes: u64,
    /// Latest heartbeat round whose response acknowledged additional bytes.
    last_progress_round: u64,
    /// When the latest such response arrived, or the transfer started or was rewound.
    last_progress_at: Time,
    in_flight: VecDeque<ChunkInFlight>,
    /// Offset up to which bytes were sent when the window was last shrunk. It is not shrunk again for these bytes.
    window_shrunk_offset: u64,
}

#[derive(Clone, Copy, Debug)]
struct ChunkInFlight {
    /// Byte offset of the end of the chunk within the transfer.
    end_offset: u64,
    sent_at: Time,
}

impl OutgoingTransfer {
    /// Starts a transfer of the snapshot, in place of entries that the log no longer contains.
    pub fn of_snapshot(now: Time, snapshot: Arc<Snapshot>) -> Self {
        let content = TransferContent::Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            voters: snapshot.voters.clone(),
        };
        OutgoingTransfer::new(now, content, Some(snapshot))
    }

    /// Starts a transfer of a large entry.
    pub fn of_entry(now: Time, content: TransferContent) -> Self {
        OutgoingTransfer::new(now, content, None)
    }

    fn new(now: Time, content: TransferContent, snapshot: Option<Arc<Snapshot>>) -> Self {
        OutgoingTransfer {
            content,
            snapshot,
            sent_bytes: 0,
            acknowledged_bytes: 0,
            last_progress_round: 0,
            last_progress_at: now,
            in_flight: VecDeque::new(),
            window_shrunk_offset: 0,
        }
    }

    /// Returns the log index that the node reaches when the transfer completes.
    pub fn index(&self) -> LogIndex {
        self.content.index()
    }

    /// Returns whether a snapshot is transferred, rather than an entry.
    pub fn is_snapshot(&self) -> bool {
        self.snapshot.is_some()
    }

    /// Returns the number of acknowledged bytes.
    #[cfg(feature = "defects")]
    pub fn acknowledged_bytes(&self) -> u64 {
        self.acknowledged_bytes
    }

    /// Sends chunks as far as the window allows.
    pub fn send_chunks(
        &mut self,
        now: Time,
        log: &RaftLog,
        round: u64,
        window_bytes: usize,
        messages: &mut Vec<MessageBody>,
    ) {
        let data: &[u8] = match (&self.snapshot, log.get(self.index()).map(|entry| &entry.payload)) {
            (Some(snapshot), _) => &snapshot.state,
            (None, Some(EntryPayload::Command(command))) => command,
            (None, _) => return,
        };
        let size = data.len() as u64;
        // An empty snapshot is sent as one empty chunk.
        while self.sent_bytes < size || (size == 0 && self.in_flight.is_empty()) {
            if (self.sent_bytes - self.acknowledged_bytes) as usize + CHUNK_BYTES > window_bytes {
                break;
            }
            let offset = self.sent_bytes;
            let bytes = data[offset as usize..(offset as usize + CHUNK_BYTES).min(data.len())].to_vec();
            self.sent_bytes += bytes.len() as u64;
            self.in_flight.push_back(ChunkInFlight { end_offset: self.sent_bytes, sent_at: now });
            let content = self.content.clone();
            messages.push(MessageBody::Chunk { content, size, offset, bytes, round });
        }
    }

    /// Rewinds to the acknowledged bytes if a response is overdue. Returns whether it did.
    pub fn rewind_if_overdue(&mut self, now: Time) -> bool {
        let unacknowledged_bytes = self.sent_bytes - self.acknowledged_bytes;
        let max_wait = MIN_ELECTION_TIMEOUT + unacknowledged_bytes * 1000 * MS / MIN_LINK_BYTES_PER_SECOND;
        if self.in_flight.is_empty() || now.saturating_sub(self.last_progress_at) <= max_wait {
            return false;
        }
        (self.sent_bytes, self.last_progress_at) = (self.acknowledged_bytes, now);
        self.in_flight.clear();
        true
    }

    /// Handles an acknowledgment of `received` bytes in a heartbeat round. If it acknowledges additional
    /// bytes, returns the latency of the last acknowledged chunk, or [`HEARTBEAT_INTERVAL`] if that is
    /// unknown.
    pub fn on_received(&mut self, now: Time, received: u64, round: u64) -> Option<Time> {
        if received < self.acknowledged_bytes && round > self.last_progress_round {
            self.restart_from(now, received, round);
            return None;
        }
        if received <= self.acknowledged_bytes {
            return None;
        }
        self.acknowledged_bytes = received;
        self.last_progress_round = self.last_progress_round.max(round);
        self.last_progress_at = now;
        self.sent_bytes = self.sent_bytes.max(received);
        let mut sent_at = None;
        while let Some(chunk) = self.in_flight.front().copied().filter(|chunk| chunk.end_offset <= received) {
            sent_at = (chunk.end_offset == received).then_some(chunk.sent_at);
            self.in_flight.pop_front();
        }
        Some(sent_at.map_or(HEARTBEAT_INTERVAL, |at| now.saturating_sub(at)))
    }

    /// Continues the transfer after the node restarted and lost the bytes it had received.
    fn restart_from(&mut self, now: Time, received: u64, round: u64) {
        self.sent_bytes = received;
        self.acknowledged_bytes = received;
        self.last_progress_round = round;
        self.last_progress_at = now;
        self.window_shrunk_offset = 0;
        self.in_flight.clear();
    }

    /// Returns whether a slow response may shrink the window: once for the bytes that were in flight together.
    pub fn may_shrink_window(&mut self, received: u64) -> bool {
        let may_shrink = received > self.window_shrunk_offset;
        if may_shrink {
            self.window_shrunk_offset = self.sent_bytes;
        }
        may_shrink
    }
}

/// A chunk that the follower received: `bytes` at `offset` of the content, which has `size` bytes in all.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedChunk {
    pub content: TransferContent,
    pub size: u64,
    pub offset: u64,
    pub bytes: Vec<u8>,
}

/// The follower's side of a transfer.
#[derive(Clone, Debug)]
pub(crate) struct IncomingTransfer {
    /// Term of the leader: another leader may have encoded the same state differently.
    term: Term,
    content: TransferContent,
    size: u64,
    bytes: Vec<u8>,
}

/// Result of accepting a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// The transfer is incomplete; holds the number of contiguous bytes received.
    Partial(u64),
    /// The transfer is complete.
    Complete(TransferContent, Vec<u8>),
    /// The chunk is inconsistent, or the transfer is too large.
    Invalid,
}

impl IncomingTransfer {
    /// Accepts a chunk. Bytes received of any other transfer are discarded.
    pub fn accept(current: &mut Option<IncomingTransfer>, term: Term, chunk: ReceivedChunk) -> ChunkOutcome {
        let ReceivedChunk { content, size, offset, bytes } = chunk;
        if size > MAX_TRANSFER_BYTES || offset.saturating_add(bytes.len() as u64) > size {
            return ChunkOutcome::Invalid;
        }
        let is_same = |t: &IncomingTransfer| t.term == term && t.content == content && t.size == size;
        if !current.as_ref().is_some_and(is_same) {
            *current = Some(IncomingTransfer { term, content: content.clone(), size, bytes: Vec::new() });
        }
        let Some(transfer) = current else { return ChunkOutcome::Invalid };
        if offset == transfer.bytes.len() as u64 {
            transfer.bytes.extend_from_slice(&bytes);
        }
        let received = transfer.bytes.len() as u64;
        if received < size {
            return ChunkOutcome::Partial(received);
        }
        let bytes = current.take().map(|transfer| transfer.bytes).unwrap_or_default();
        ChunkOutcome::Complete(content, bytes)
    }
}

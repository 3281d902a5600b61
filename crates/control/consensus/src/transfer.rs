//! Transfers in chunks: a snapshot or a long command, sent by the leader and put together by the follower.

use crate::entry::{EntryPayload, Snapshot};
use crate::message::{MessageBody, TransferContent};
use crate::raft_log::RaftLog;
use crate::types::{LogIndex, Term, Time, MS};
use crate::{HEARTBEAT_INTERVAL, MIN_ELECTION_TIMEOUT};
use std::collections::VecDeque;
use std::sync::Arc;

/// The most bytes of entries or of a state in one message: 66 ms on a link of 2 Mbit/s.
pub(crate) const CHUNK_BYTES: usize = 16 << 10;
/// A link is taken to carry at least so many bytes a second, when it is judged whether an answer is overdue.
const MIN_LINK_BYTES_PER_SECOND: u64 = 64 << 10;
/// The most bytes of a state or a command that a follower takes in.
const MAX_TRANSFER_BYTES: u64 = 24 << 20;

/// The leader's side of a transfer to one node.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingTransfer {
    content: TransferContent,
    /// The state, if that is sent: it is kept until it has arrived, since the log may be compacted meanwhile.
    snapshot: Option<Arc<Snapshot>>,
    sent: u64,
    acknowledged: u64,
    /// The latest round that was answered with more bytes than before.
    last_progress_round: u64,
    /// When the latest such answer came, or the transfer began.
    last_progress_at: Time,
    in_flight: VecDeque<ChunkInFlight>,
    /// The window was shrunk for what was sent up to here, and is not shrunk again for it.
    window_shrunk_at: u64,
}

#[derive(Clone, Copy, Debug)]
struct ChunkInFlight {
    /// Where in the whole it ends.
    end: u64,
    sent_at: Time,
}

impl OutgoingTransfer {
    /// The snapshot, in place of entries that the log does not hold any more.
    pub fn of_snapshot(now: Time, snapshot: Arc<Snapshot>) -> Self {
        let content = TransferContent::Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            voters: snapshot.voters.clone(),
        };
        OutgoingTransfer::new(now, content, Some(snapshot))
    }

    /// A long entry.
    pub fn of_entry(now: Time, content: TransferContent) -> Self {
        OutgoingTransfer::new(now, content, None)
    }

    fn new(now: Time, content: TransferContent, snapshot: Option<Arc<Snapshot>>) -> Self {
        OutgoingTransfer {
            content,
            snapshot,
            sent: 0,
            acknowledged: 0,
            last_progress_round: 0,
            last_progress_at: now,
            in_flight: VecDeque::new(),
            window_shrunk_at: 0,
        }
    }

    /// The index that the node's log reaches with it.
    pub fn index(&self) -> LogIndex {
        self.content.index()
    }

    /// Whether a snapshot is sent, and no entry.
    pub fn is_snapshot(&self) -> bool {
        self.snapshot.is_some()
    }

    /// Bytes that have arrived.
    #[cfg(feature = "defects")]
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
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
        let whole: &[u8] = match (&self.snapshot, log.get(self.index()).map(|entry| &entry.payload)) {
            (Some(snapshot), _) => &snapshot.state,
            (None, Some(EntryPayload::Command(command))) => command,
            (None, _) => return,
        };
        let size = whole.len() as u64;
        // An empty state is sent as one empty chunk.
        while self.sent < size || (size == 0 && self.in_flight.is_empty()) {
            if (self.sent - self.acknowledged) as usize + CHUNK_BYTES > window_bytes {
                break;
            }
            let offset = self.sent;
            let bytes = whole[offset as usize..(offset as usize + CHUNK_BYTES).min(whole.len())].to_vec();
            self.sent += bytes.len() as u64;
            self.in_flight.push_back(ChunkInFlight { end: self.sent, sent_at: now });
            let content = self.content.clone();
            messages.push(MessageBody::Chunk { content, size, offset, bytes, round });
        }
    }

    /// Goes back to what has arrived if no answer came for too long. Whether it did.
    pub fn restart_if_overdue(&mut self, now: Time) -> bool {
        let unanswered = self.sent - self.acknowledged;
        let longest = MIN_ELECTION_TIMEOUT + unanswered * 1000 * MS / MIN_LINK_BYTES_PER_SECOND;
        if self.in_flight.is_empty() || now.saturating_sub(self.last_progress_at) <= longest {
            return false;
        }
        (self.sent, self.last_progress_at) = (self.acknowledged, now);
        self.in_flight.clear();
        true
    }

    /// So many bytes have arrived, as of this round. How long the last chunk took, if that is news.
    pub fn on_received(&mut self, now: Time, received: u64, round: u64) -> Option<Time> {
        if received < self.acknowledged && round > self.last_progress_round {
            self.restart_from(now, received, round);
            return None;
        }
        if received <= self.acknowledged {
            return None;
        }
        self.acknowledged = received;
        self.last_progress_round = self.last_progress_round.max(round);
        self.last_progress_at = now;
        self.sent = self.sent.max(received);
        let mut sent_at = None;
        while let Some(chunk) = self.in_flight.front().copied().filter(|chunk| chunk.end <= received) {
            sent_at = (chunk.end == received).then_some(chunk.sent_at);
            self.in_flight.pop_front();
        }
        Some(sent_at.map_or(HEARTBEAT_INTERVAL, |at| now.saturating_sub(at)))
    }

    /// The node has restarted: what it had received before is gone.
    fn restart_from(&mut self, now: Time, received: u64, round: u64) {
        self.sent = received;
        self.acknowledged = received;
        self.last_progress_round = round;
        self.last_progress_at = now;
        self.window_shrunk_at = 0;
        self.in_flight.clear();
    }

    /// Whether a slow answer may shrink the window: once for what was in flight at a time.
    pub fn may_shrink_window(&mut self, received: u64) -> bool {
        let may = received > self.window_shrunk_at;
        if may {
            self.window_shrunk_at = self.sent;
        }
        may
    }
}

/// One chunk as it arrives.
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
    /// The leader's term: another leader may have encoded the same state otherwise.
    term: Term,
    content: TransferContent,
    size: u64,
    bytes: Vec<u8>,
}

/// What has come of a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// So many bytes from the start on are here.
    Partial(u64),
    /// All bytes are here.
    Complete(TransferContent, Vec<u8>),
    /// The chunk contradicts itself, or the whole is too long.
    Invalid,
}

impl IncomingTransfer {
    /// Takes a chunk; what has arrived of another transfer is dropped.
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

//! What a holder sends to another: entries as far as they go into a message, what does not in parts, and never more
//! unanswered than the other takes in a fifth of a second, so that a pulse behind it still comes in time.

use crate::log::{entry_size, RaftLog};
use crate::words::{EntryPayload, LogIndex, MessageBody, Snapshot, Time, TransferContent};
use crate::{HEARTBEAT_INTERVAL, MIN_ELECTION_TIMEOUT, MS};
use std::collections::VecDeque;
use std::sync::Arc;

/// The most bytes of entries or of a state in one message: 66 ms on a link of 2 Mbit/s.
pub(crate) const CHUNK_BYTES: usize = 16 << 10;
/// Unanswered bytes to one other: at first, and at most.
const INITIAL_WINDOW_BYTES: usize = 4 * CHUNK_BYTES;
const MAX_WINDOW_BYTES: usize = 64 * CHUNK_BYTES;
/// A link is taken to carry at least so many bytes a second, when it is judged whether an answer is overdue.
const MIN_LINK_BYTES_PER_SECOND: u64 = 64 << 10;
/// The most bytes of a state or a word that is taken in.
const MAX_TRANSFER_BYTES: u64 = 24 << 20;

/// What a holder knows of another.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Its log is known to be ours up to there.
    pub match_index: LogIndex,
    /// What is sent next.
    pub next_index: LogIndex,
    /// What went before here is not counted as under way.
    in_flight_from: LogIndex,
    /// The start of the latest round that it answered.
    pub contact: Time,
    window: usize,
    transfer: Option<Transfer>,
}

/// Something that is sent in parts.
#[derive(Clone, Debug)]
struct Transfer {
    content: TransferContent,
    /// What is sent, if it is a state: kept until it is there, for the log may go on meanwhile.
    snapshot: Option<Arc<Snapshot>>,
    sent: u64,
    acknowledged: u64,
    /// The latest round that was answered with more than before.
    last_progress_round: u64,
    /// The latest answer, or the start.
    last_progress_at: Time,
    /// Where each part that is under way ends, and when it went.
    in_flight: VecDeque<(u64, Time)>,
    /// The window was made smaller for what went before here.
    window_reduced_at: u64,
}

impl Progress {
    pub fn new(next_index: LogIndex) -> Self {
        Progress {
            match_index: 0,
            next_index,
            in_flight_from: next_index,
            contact: 0,
            window: INITIAL_WINDOW_BYTES,
            transfer: None,
        }
    }

    /// What is on its way to it in parts, if anything: the place, and how many bytes it has.
    #[cfg(feature = "defects")]
    pub fn transfer(&self) -> Option<(LogIndex, u64)> {
        self.transfer.as_ref().map(|t| (t.content.index(), t.acknowledged))
    }

    /// What it is to be sent now; with `pulse` something in any case.
    pub fn messages_to_send(
        &mut self,
        now: Time,
        log: &RaftLog,
        agreed: LogIndex,
        round: u64,
        pulse: bool,
    ) -> Vec<MessageBody> {
        let mut bodies = Vec::new();
        self.review_transfer(now, log);
        loop {
            if self.transfer.is_some() {
                self.send_chunks(now, log, round, &mut bodies);
                break;
            }
            let Some(before) =
                log.term(self.next_index - 1).filter(|_| self.next_index > log.snapshot_index())
            else {
                self.start_transfer(now, log, None);
                continue;
            };
            let under_way = log.bytes_between(self.in_flight_from.max(self.match_index + 1), self.next_index);
            let room = CHUNK_BYTES.min(self.window.saturating_sub(under_way));
            let mut entries = log.entries_within(self.next_index, room);
            if entries.is_empty() && under_way == 0 {
                // Only words go in parts.
                let other =
                    log.get(self.next_index).filter(|e| !matches!(e.payload, EntryPayload::Command(_)));
                entries.extend(other.cloned());
            }
            let before = (self.next_index - 1, before);
            if entries.is_empty() {
                // One that does not go into a message, once all before it is there.
                let large = log.get(self.next_index).filter(|e| {
                    entry_size(e) > CHUNK_BYTES
                        && matches!(e.payload, EntryPayload::Command(_))
                        && self.match_index + 1 == self.next_index
                });
                if let Some(entry) = large {
                    self.start_transfer(
                        now,
                        log,
                        Some(TransferContent::Entry { previous: before, term: entry.term }),
                    );
                    continue;
                }
                if pulse && bodies.is_empty() {
                    bodies.push(MessageBody::AppendEntries {
                        previous: before,
                        entries,
                        commit_index: agreed,
                        round,
                    });
                }
                break;
            }
            self.next_index += entries.len() as LogIndex;
            bodies.push(MessageBody::AppendEntries {
                previous: before,
                entries,
                commit_index: agreed,
                round,
            });
        }
        if pulse && bodies.is_empty() {
            // It takes this as a sign of life and as nothing else.
            bodies.push(MessageBody::AppendEntries {
                previous: (0, 0),
                entries: Vec::new(),
                commit_index: 0,
                round,
            });
        }
        bodies
    }

    /// Its log is ours up to there.
    pub fn on_accepted(&mut self, up_to: LogIndex, last: LogIndex) {
        self.match_index = self.match_index.max(up_to.min(last));
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Its log is not ours where we took it to be, or not on its disk; it may be up to there.
    pub fn on_rejected(&mut self, hint: LogIndex, last: LogIndex) {
        if self.transfer.as_ref().is_some_and(|t| t.snapshot.is_some() && hint < t.content.index()) {
            return;
        }
        self.transfer = None;
        self.next_index = (hint + 1).clamp(self.match_index + 1, last + 1);
        self.in_flight_from = self.next_index;
    }

    /// Whether there is more for it than a pulse brings.
    pub fn has_pending(&self, last: LogIndex) -> bool {
        self.transfer.is_some() || self.next_index <= last
    }

    fn start_transfer(&mut self, now: Time, log: &RaftLog, word: Option<TransferContent>) {
        let (whole, snapshot) = match word {
            Some(whole) => (whole, None),
            None => {
                let s = log.snapshot().clone();
                let (place, term, members) = (s.index, s.term, s.voters.clone());
                (TransferContent::Snapshot { index: place, term, voters: members }, Some(s))
            }
        };
        let under_way = VecDeque::new();
        let transfer = Transfer {
            content: whole,
            snapshot,
            sent: 0,
            acknowledged: 0,
            last_progress_round: 0,
            last_progress_at: now,
            in_flight: under_way,
            window_reduced_at: 0,
        };
        self.transfer = Some(transfer);
    }

    /// Gives up what is not wanted any more, and goes back to where the other is if it has not answered for long.
    fn review_transfer(&mut self, now: Time, log: &RaftLog) {
        let Some(t) = &mut self.transfer else { return };
        let place = t.content.index();
        let gone = t.snapshot.is_none() && place <= log.snapshot_index();
        if self.match_index >= place || gone {
            self.next_index = self.match_index + 1;
            self.transfer = None;
            return;
        }
        let most = MIN_ELECTION_TIMEOUT + (t.sent - t.acknowledged) * 1000 * MS / MIN_LINK_BYTES_PER_SECOND;
        if !t.in_flight.is_empty() && now.saturating_sub(t.last_progress_at) > most {
            (t.sent, t.last_progress_at) = (t.acknowledged, now);
            t.in_flight.clear();
            self.window = (self.window / 2).max(CHUNK_BYTES);
        }
    }

    fn send_chunks(&mut self, now: Time, log: &RaftLog, round: u64, bodies: &mut Vec<MessageBody>) {
        let Some(t) = &mut self.transfer else { return };
        let all: &[u8] = match (&t.snapshot, log.get(t.content.index()).map(|e| &e.payload)) {
            (Some(snapshot), _) => &snapshot.state,
            (None, Some(EntryPayload::Command(word))) => word,
            (None, _) => return,
        };
        let size = all.len() as u64;
        // An empty state goes in one part, too.
        while t.sent < size || (size == 0 && t.in_flight.is_empty()) {
            if (t.sent - t.acknowledged) as usize + CHUNK_BYTES > self.window {
                break;
            }
            let at = t.sent;
            let bytes = all[at as usize..(at as usize + CHUNK_BYTES).min(all.len())].to_vec();
            t.sent += bytes.len() as u64;
            t.in_flight.push_back((t.sent, now));
            bodies.push(MessageBody::Chunk { content: t.content.clone(), size, offset: at, bytes, round });
        }
    }

    /// It has so many bytes of what is sent in parts, as of this round.
    pub fn on_chunk_received(&mut self, now: Time, place: LogIndex, up_to: u64, round: u64) {
        let Some(t) = self.transfer.as_mut().filter(|t| t.content.index() == place) else { return };
        if up_to < t.acknowledged && round > t.last_progress_round {
            // It has begun anew meanwhile: what it had is gone.
            (t.sent, t.acknowledged, t.last_progress_round, t.last_progress_at, t.window_reduced_at) =
                (up_to, up_to, round, now, 0);
            t.in_flight.clear();
            return;
        }
        if up_to <= t.acknowledged {
            return;
        }
        (t.acknowledged, t.last_progress_round, t.last_progress_at) =
            (up_to, t.last_progress_round.max(round), now);
        t.sent = t.sent.max(up_to);
        let mut sent_at = None;
        while let Some((end, at)) = t.in_flight.front().copied().filter(|(end, _)| *end <= up_to) {
            sent_at = (end == up_to).then_some(at);
            t.in_flight.pop_front();
        }
        let took = sent_at.map_or(HEARTBEAT_INTERVAL, |at| now.saturating_sub(at));
        if took < HEARTBEAT_INTERVAL {
            self.window = (self.window + CHUNK_BYTES).min(MAX_WINDOW_BYTES);
        } else if took > 2 * HEARTBEAT_INTERVAL && up_to > t.window_reduced_at {
            self.window = (self.window / 2).max(CHUNK_BYTES);
            t.window_reduced_at = t.sent;
        }
    }
}

/// What comes in parts.
#[derive(Clone, Debug)]
pub(crate) struct IncomingTransfer {
    /// The holder's term: another may have written the same state otherwise.
    term: u64,
    content: TransferContent,
    size: u64,
    bytes: Vec<u8>,
}

/// What has come of a part.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// So many bytes from the start on are here.
    Partial(u64),
    Complete(TransferContent, Vec<u8>),
    /// It is nothing that could be taken in.
    Invalid,
}

impl IncomingTransfer {
    /// Takes a part; what was there of something else goes.
    pub fn accept(
        held: &mut Option<IncomingTransfer>,
        term: u64,
        whole: TransferContent,
        size: u64,
        at: u64,
        part: &[u8],
    ) -> ChunkOutcome {
        if size > MAX_TRANSFER_BYTES || at.saturating_add(part.len() as u64) > size {
            return ChunkOutcome::Invalid;
        }
        let same = |i: &IncomingTransfer| i.term == term && i.content == whole && i.size == size;
        if !held.as_ref().is_some_and(same) {
            *held = Some(IncomingTransfer { term, content: whole.clone(), size, bytes: Vec::new() });
        }
        let Some(incoming) = held else { return ChunkOutcome::Invalid };
        if at == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(part);
        }
        let have = incoming.bytes.len() as u64;
        if have < size {
            return ChunkOutcome::Partial(have);
        }
        let bytes = held.take().map(|i| i.bytes).unwrap_or_default();
        ChunkOutcome::Complete(whole, bytes)
    }
}

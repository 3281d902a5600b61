//! The follower's side of log replication (3.5).

use super::RaftNode;
use crate::entry::{Entry, EntryPayload, Snapshot};
use crate::event::{Output, Persist};
use crate::message::{MessageBody, TransferContent};
use crate::transfer::{ChunkOutcome, IncomingTransfer, ReceivedChunk};
use crate::types::{LogIndex, NodeId, PreviousEntry};

impl RaftNode {
    pub(super) fn on_append_entries(
        &mut self,
        leader: NodeId,
        previous: PreviousEntry,
        entries: Vec<Entry>,
        commit_index: LogIndex,
        round: u64,
        outputs: &mut Vec<Output>,
    ) {
        if !self.log.contains(previous) {
            let before_previous = previous.index.saturating_sub(1);
            let hint = self.log.last_index().min(before_previous).max(self.commit_index);
            return self.send(leader, self.term, MessageBody::AppendRejected { round, hint }, outputs);
        }
        let match_index = previous.index + entries.len() as LogIndex;
        if let Some(appended) = self.log.append(previous.index, entries) {
            let crate::raft_log::AppendedEntries { from, entries } = appended;
            outputs.push(Output::Persist(Persist::Entries { from, entries }));
        }
        self.respond_to_append(leader, round, match_index, outputs);
        self.request_leave(outputs);
        self.commit_up_to(commit_index.min(match_index), outputs);
    }

    pub(super) fn on_chunk(
        &mut self,
        leader: NodeId,
        chunk: ReceivedChunk,
        round: u64,
        outputs: &mut Vec<Output>,
    ) {
        let index = chunk.content.index();
        if self.already_has(&chunk.content) {
            return self.respond_to_append(leader, round, self.commit_index.max(index), outputs);
        }
        if let TransferContent::Entry { previous, .. } = &chunk.content {
            if !self.log.contains(*previous) {
                // The rejection tells the leader up to which index the logs may match.
                return self.on_append_entries(leader, *previous, Vec::new(), 0, round, outputs);
            }
        }
        match IncomingTransfer::accept(&mut self.incoming_transfer, self.term, chunk) {
            ChunkOutcome::Invalid => {}
            ChunkOutcome::Partial(received) => {
                self.send(leader, self.term, MessageBody::ChunkReceived { index, received, round }, outputs);
            }
            ChunkOutcome::Complete(TransferContent::Snapshot { index, term, voters }, state) => {
                self.install_snapshot(leader, Snapshot { index, term, voters, state }, round, outputs);
            }
            ChunkOutcome::Complete(TransferContent::Entry { previous, term }, command) => {
                let entries = vec![Entry { term, payload: EntryPayload::Command(command) }];
                self.on_append_entries(leader, previous, entries, 0, round, outputs);
            }
        }
    }

    /// Returns whether the log already contains the content of a transfer.
    fn already_has(&self, content: &TransferContent) -> bool {
        let index = content.index();
        match content {
            TransferContent::Snapshot { .. } => self.commit_index >= index,
            TransferContent::Entry { term, .. } => self.log.contains(PreviousEntry { index, term: *term }),
        }
    }

    /// Acknowledges the log up to `match_index` if storage is healthy. Otherwise rejects with that index as
    /// the hint, so that the leader continues after it without counting the entries as replicated.
    fn respond_to_append(
        &self,
        leader: NodeId,
        round: u64,
        match_index: LogIndex,
        outputs: &mut Vec<Output>,
    ) {
        // A heartbeat that only checks contact makes no statement about the log, and is always accepted.
        let body = if self.storage_healthy || match_index == 0 {
            MessageBody::AppendAccepted { round, match_index }
        } else {
            MessageBody::AppendRejected { round, hint: match_index }
        };
        self.send(leader, self.term, body, outputs);
    }

    fn install_snapshot(
        &mut self,
        leader: NodeId,
        snapshot: Snapshot,
        round: u64,
        outputs: &mut Vec<Output>,
    ) {
        let index = snapshot.index;
        if index > self.commit_index {
            let last_included = PreviousEntry { index, term: snapshot.term };
            let replaces_log = !self.log.contains(last_included);
            let state = snapshot.state.clone();
            outputs.push(Output::Persist(Persist::Snapshot { snapshot: snapshot.clone(), replaces_log }));
            self.log.install_snapshot(snapshot, replaces_log);
            self.commit_index = index;
            outputs.push(Output::InstallSnapshot { index, state });
        }
        self.respond_to_append(leader, round, self.commit_index.max(index), outputs);
    }

    /// Advances the commit index to `index`, and emits the commands to apply.
    pub(super) fn commit_up_to(&mut self, index: LogIndex, outputs: &mut Vec<Output>) {
        while self.commit_index < index {
            self.commit_index += 1;
            let Some(entry) = self.log.get(self.commit_index) else {
                unreachable!("entry {} is committed and not in the log", self.commit_index)
            };
            if let EntryPayload::Command(command) = &entry.payload {
                let (index, term, command) = (self.commit_index, entry.term, command.clone());
                outputs.push(Output::Apply { index, term, command });
            }
        }
    }
}

//! The leader's side of log replication, and linearizable reads (3.5, 3.6, 6.4).

use super::leader_state::{LeaderState, PendingRead};
use super::{RaftNode, Role};
use crate::entry::{Entry, EntryPayload};
use crate::event::{Output, Persist};
use crate::message::Message;
use crate::progress::Progress;
use crate::types::{LogIndex, NodeId, Time};
use crate::{HEARTBEAT_INTERVAL, MIN_ELECTION_TIMEOUT};

impl RaftNode {
    pub(super) fn tick_as_leader(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else { return };
        let last_quorum_contact = self.quorum_contact(leader).max(leader.elected_at);
        if now.saturating_sub(last_quorum_contact) > MIN_ELECTION_TIMEOUT {
            return self.become_follower(now, outputs);
        }
        if now >= leader.next_heartbeat {
            if self.shutting_down && !leader.transfer_started {
                self.transfer_leadership(self.log.last_index(), outputs);
            }
            self.broadcast_append(now, outputs);
        }
    }

    pub(super) fn propose(&mut self, now: Time, tag: u64, command: Vec<u8>, outputs: &mut Vec<Output>) {
        if !matches!(&self.role, Role::Leader(leader) if !leader.transfer_started) {
            return outputs.push(Output::NotLeader { tag });
        }
        let index = self.append(EntryPayload::Command(command), outputs);
        outputs.push(Output::Proposed { tag, index, term: self.term });
        self.broadcast_append(now, outputs);
    }

    pub(super) fn read_index(&mut self, now: Time, tag: u64, outputs: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else { return outputs.push(Output::NotLeader { tag }) };
        leader.pending_reads.push(PendingRead { tag, requested_at: now });
        self.broadcast_append(now, outputs);
    }

    /// Appends an entry of the current term, and returns its index.
    pub(super) fn append(&mut self, payload: EntryPayload, outputs: &mut Vec<Output>) -> LogIndex {
        let from = self.log.last_index() + 1;
        let entries = vec![Entry { term: self.term, payload }];
        self.log.append(from - 1, entries.clone());
        outputs.push(Output::Persist(Persist::Entries { from, entries }));
        from
    }

    /// Starts a heartbeat round: sends each node the entries it lacks, as far as known, and at least one message.
    pub(super) fn broadcast_append(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.next_heartbeat = now + HEARTBEAT_INTERVAL;
        leader.start_round(now);
        let round = leader.round;
        for (to, progress) in &mut leader.progress {
            for body in progress.messages_to_send(now, &self.log, self.commit_index, round, true) {
                let (from, to) = (self.id.clone(), to.clone());
                outputs.push(Output::Send(Message { from, to, term: self.term, body }));
            }
        }
    }

    /// Handles a response to a heartbeat round: applies `update_progress`, and sends further entries if there
    /// are any.
    pub(super) fn on_append_response(
        &mut self,
        now: Time,
        from: &NodeId,
        round: u64,
        update_progress: impl FnOnce(&mut Progress),
        outputs: &mut Vec<Output>,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        let round_start = leader.round_start(round);
        let Some(progress) = leader.progress.get_mut(from) else { return };
        // Contact dates from the start of the round: the response proves no later contact (6.4).
        progress.last_contact = progress.last_contact.max(round_start);
        update_progress(progress);
        if !progress.has_pending(self.log.last_index()) {
            return;
        }
        for body in progress.messages_to_send(now, &self.log, self.commit_index, leader.round, false) {
            let message = Message { from: self.id.clone(), to: from.clone(), term: self.term, body };
            outputs.push(Output::Send(message));
        }
    }

    /// Returns the start of the latest heartbeat round that a majority has responded to; 0 before the first, and
    /// `Time::MAX` if this node is the only voter.
    pub(super) fn quorum_contact(&self, leader: &LeaderState) -> Time {
        self.log.voters().quorum_value(|id| self.last_contact_with(leader, id)).unwrap_or(0)
    }

    /// Returns the start of the latest round that a voter has responded to; the maximum for this node itself.
    pub(super) fn last_contact_with(&self, leader: &LeaderState, id: &NodeId) -> Time {
        if *id == self.id {
            return Time::MAX;
        }
        leader.progress.get(id).map_or(0, |progress| progress.last_contact)
    }

    /// Commits the entries that a majority has, completes pending reads, and advances the reconfiguration of voters.
    pub(super) fn advance_commit_index(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else { return };
        let match_index = |id: &NodeId| match leader.progress.get(id) {
            _ if *id == self.id => self.log.last_index(),
            progress => progress.map_or(0, |progress| progress.match_index),
        };
        let majority_index = self.log.voters().quorum_value(match_index).unwrap_or(0);
        // An entry of an earlier term is committed only together with a later entry of the current term (3.6.2).
        if majority_index > self.commit_index && self.log.term(majority_index) == Some(self.term) {
            self.commit_up_to(majority_index, outputs);
            // Tells followers the new commit index immediately.
            self.broadcast_append(now, outputs);
        }
        let Role::Leader(leader) = &self.role else { return };
        let has_committed_in_term = self.commit_index >= leader.first_index;
        if has_committed_in_term {
            self.complete_pending_reads(outputs);
            self.reconfigure(now, outputs);
        }
    }

    /// Completes the reads requested no later than the start of a round that a majority has responded to.
    fn complete_pending_reads(&mut self, outputs: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else { return };
        let quorum_contact = self.quorum_contact(leader);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.pending_reads.retain(|read| {
            let is_ready = quorum_contact >= read.requested_at && read.requested_at > 0;
            if is_ready {
                outputs.push(Output::ReadReady { tag: read.tag });
            }
            !is_ready
        });
    }
}

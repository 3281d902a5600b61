//! A leader's side of replication, and reads that see all that is committed (Ongaro's thesis, 3.5, 3.6, 6.4).

use super::leader_state::{LeaderState, PendingRead};
use super::{RaftNode, Role};
use crate::entry::{Entry, EntryPayload};
use crate::event::{Output, Persist};
use crate::message::Message;
use crate::progress::Progress;
use crate::types::{LogIndex, NodeId, Time};
use crate::{HEARTBEAT_INTERVAL, MIN_ELECTION_TIMEOUT};

impl RaftNode {
    pub(super) fn tick_as_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else { return };
        let last_contact = self.quorum_contact(leader).max(leader.elected_at);
        if now.saturating_sub(last_contact) > MIN_ELECTION_TIMEOUT {
            return self.become_follower(now, out);
        }
        if now >= leader.next_heartbeat {
            if self.shutting_down && !leader.transfer_started {
                self.transfer_leadership(self.log.last_index(), out);
            }
            self.broadcast_append(now, out);
        }
    }

    pub(super) fn propose(&mut self, now: Time, tag: u64, command: Vec<u8>, out: &mut Vec<Output>) {
        if !matches!(&self.role, Role::Leader(leader) if !leader.transfer_started) {
            return out.push(Output::NotLeader { tag });
        }
        let index = self.append(EntryPayload::Command(command), out);
        out.push(Output::Proposed { tag, index, term: self.term });
        self.broadcast_append(now, out);
    }

    pub(super) fn read_index(&mut self, now: Time, tag: u64, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else { return out.push(Output::NotLeader { tag }) };
        leader.pending_reads.push(PendingRead { tag, requested_at: now });
        self.broadcast_append(now, out);
    }

    /// Appends an entry of the current term. Its index.
    pub(super) fn append(&mut self, payload: EntryPayload, out: &mut Vec<Output>) -> LogIndex {
        let from = self.log.last_index() + 1;
        let entries = vec![Entry { term: self.term, payload }];
        self.log.append(from - 1, entries.clone());
        out.push(Output::Persist(Persist::Entries { from, entries }));
        from
    }

    /// Starts a heartbeat round: each node gets what it lacks, as far as is known, and a message in any case.
    pub(super) fn broadcast_append(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.next_heartbeat = now + HEARTBEAT_INTERVAL;
        leader.start_round(now);
        let round = leader.round;
        for (to, progress) in &mut leader.progress {
            for body in progress.messages_to_send(now, &self.log, self.commit_index, round, true) {
                let (from, to) = (self.id.clone(), to.clone());
                out.push(Output::Send(Message { from, to, term: self.term, body }));
            }
        }
    }

    /// A node has answered a round; `note` records what it said. It may be sent more.
    pub(super) fn on_append_response(
        &mut self,
        now: Time,
        from: &NodeId,
        round: u64,
        note: impl FnOnce(&mut Progress),
        out: &mut Vec<Output>,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        let round_start = leader.round_start(round);
        let Some(progress) = leader.progress.get_mut(from) else { return };
        // Contact dates from the round's start: the answer proves no more than that (6.4).
        progress.contact = progress.contact.max(round_start);
        note(progress);
        if !progress.has_pending(self.log.last_index()) {
            return;
        }
        for body in progress.messages_to_send(now, &self.log, self.commit_index, leader.round, false) {
            let message = Message { from: self.id.clone(), to: from.clone(), term: self.term, body };
            out.push(Output::Send(message));
        }
    }

    /// The latest start of a heartbeat round that a majority has answered; 0 before the first.
    pub(super) fn quorum_contact(&self, leader: &LeaderState) -> Time {
        self.log.voters().quorum_value(|id| self.contact_with(leader, id)).unwrap_or(0)
    }

    /// The start of the latest round that a voter has answered.
    pub(super) fn contact_with(&self, leader: &LeaderState, id: &NodeId) -> Time {
        if *id == self.id {
            return Time::MAX;
        }
        leader.progress.get(id).map_or(0, |progress| progress.contact)
    }

    /// Commits what a majority holds, answers reads that waited for that, and takes the next step of a change of voters.
    pub(super) fn advance_commit_index(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else { return };
        let match_index = |id: &NodeId| match leader.progress.get(id) {
            _ if *id == self.id => self.log.last_index(),
            progress => progress.map_or(0, |progress| progress.match_index),
        };
        let majority_index = self.log.voters().quorum_value(match_index).unwrap_or(0);
        // An entry of an earlier term is committed only with one of the current term behind it (3.6.2).
        if majority_index > self.commit_index && self.log.term(majority_index) == Some(self.term) {
            self.commit_up_to(majority_index, out);
            // Followers hear of it at once.
            self.broadcast_append(now, out);
        }
        let Role::Leader(leader) = &self.role else { return };
        let knows_all_committed = self.commit_index >= leader.first_index;
        if knows_all_committed {
            self.answer_reads(out);
            self.reconfigure(now, out);
        }
    }

    /// Answers the reads that were asked for before a round that a majority has answered.
    fn answer_reads(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else { return };
        let quorum_contact = self.quorum_contact(leader);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.pending_reads.retain(|read| {
            let is_ready = quorum_contact >= read.requested_at && read.requested_at > 0;
            if is_ready {
                out.push(Output::ReadReady { tag: read.tag });
            }
            !is_ready
        });
    }
}

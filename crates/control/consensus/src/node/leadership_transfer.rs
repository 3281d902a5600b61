//! Leadership transfer (3.10) at shutdown and when storage fails, and leave requests of voters that shut down.

use super::{RaftNode, Role};
use crate::event::Output;
use crate::message::MessageBody;
use crate::types::{LogIndex, NodeId, Time};

impl RaftNode {
    /// Prepares for the exit of this process: a leader transfers leadership, any other voter requests to be
    /// replaced by a waiting node.
    pub(super) fn shut_down(&mut self, outputs: &mut Vec<Output>) {
        self.shutting_down = true;
        match &self.role {
            Role::Leader(leader) if !leader.transfer_started => {
                self.transfer_leadership(self.log.last_index(), outputs);
            }
            Role::Leader(_) => {}
            _ => self.request_leave(outputs),
        }
    }

    /// Sends the leader a leave request if this node is a voter that is shutting down.
    pub(super) fn request_leave(&self, outputs: &mut Vec<Output>) {
        let leader = self.leader.clone().filter(|_| self.shutting_down && self.is_voter_in_log());
        if let Some(leader) = leader {
            self.send(leader, self.term, MessageBody::LeaveRequest, outputs);
        }
    }

    pub(super) fn on_leave_request(&mut self, now: Time, from: NodeId) {
        let is_voter = self.log.voters().contains(&from);
        if let Role::Leader(leader) = &mut self.role {
            leader.leaving.extend(is_voter.then_some((from, now)));
        }
    }

    /// Asks a voter that has the log up to `min_index` to campaign; the one with the highest match index if
    /// there are several.
    pub(super) fn transfer_leadership(&mut self, min_index: LogIndex, outputs: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else { return };
        let voters = self.log.voters();
        let ready =
            leader.progress.iter().filter(|(id, p)| p.match_index >= min_index && voters.contains(id));
        let Some((successor, _)) = ready.max_by_key(|(_, p)| (p.match_index, p.last_contact)) else { return };
        let successor = successor.clone();
        leader.transfer_started = true;
        self.send(successor, self.term, MessageBody::TimeoutNow, outputs);
    }

    /// Updates the storage health. When storage fails, a leader transfers leadership to a voter that has all
    /// committed entries; a leader or candidate becomes a follower.
    pub(super) fn set_storage_health(&mut self, now: Time, healthy: bool, outputs: &mut Vec<Output>) {
        if std::mem::replace(&mut self.storage_healthy, healthy) == healthy {
            return;
        }
        if healthy {
            return self.reset_election_timer(now);
        }
        self.transfer_leadership(self.commit_index, outputs);
        if !matches!(self.role, Role::Follower) {
            self.become_follower(now, outputs);
        }
    }
}

//! Giving up leadership and a voter's place: at shutdown, and when storage does not save (Ongaro's thesis, 3.10).

use super::{RaftNode, Role};
use crate::event::Output;
use crate::message::MessageBody;
use crate::types::{LogIndex, NodeId, Time};

impl RaftNode {
    /// This process ends: another leads at once, and its voter's place goes to a node that waits, if one does.
    pub(super) fn shut_down(&mut self, out: &mut Vec<Output>) {
        self.shutting_down = true;
        match &self.role {
            Role::Leader(leader) if !leader.transfer_started => {
                self.transfer_leadership(self.log.last_index(), out);
            }
            Role::Leader(_) => {}
            _ => self.request_leave(out),
        }
    }

    /// Tells the leader that this voter shuts down, if it does.
    pub(super) fn request_leave(&self, out: &mut Vec<Output>) {
        let leader = self.leader.clone().filter(|_| self.shutting_down && self.is_voter_in_log());
        if let Some(leader) = leader {
            self.send(leader, self.term, MessageBody::LeaveRequest, out);
        }
    }

    pub(super) fn on_leave_request(&mut self, now: Time, from: NodeId) {
        let is_voter = self.log.voters().contains(&from);
        if let Role::Leader(leader) = &mut self.role {
            leader.leaving.extend(is_voter.then_some((from, now)));
        }
    }

    /// Asks the voter whose log is longest to campaign, of those that have the log up to `min_index`.
    pub(super) fn transfer_leadership(&mut self, min_index: LogIndex, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else { return };
        let voters = self.log.voters();
        let ready =
            leader.progress.iter().filter(|(id, p)| p.match_index >= min_index && voters.contains(id));
        let Some((successor, _)) = ready.max_by_key(|(_, p)| (p.match_index, p.contact)) else { return };
        let successor = successor.clone();
        leader.transfer_started = true;
        self.send(successor, self.term, MessageBody::TimeoutNow, out);
    }

    /// A leader whose storage does not save gives up leadership to a voter that has all that is committed.
    pub(super) fn set_storage_health(&mut self, now: Time, healthy: bool, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.storage_healthy, healthy) == healthy {
            return;
        }
        if healthy {
            return self.reset_election_timer(now);
        }
        self.transfer_leadership(self.commit_index, out);
        if !matches!(self.role, Role::Follower) {
            self.become_follower(now, out);
        }
    }
}

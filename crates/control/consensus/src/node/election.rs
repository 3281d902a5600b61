//! Elections: campaigns with pre-votes, votes, and changes of role (Ongaro's thesis, 3.4 and 9.6).

use super::leader_state::LeaderState;
use super::{RaftNode, Role};
use crate::defect::Defect;
use crate::entry::EntryPayload;
use crate::event::Output;
use crate::message::{Message, MessageBody};
use crate::types::{LogPosition, NodeId, Term, Time};
use crate::voter_configuration::VoterConfiguration;
use crate::{HEARTBEAT_INTERVAL, MIN_ELECTION_TIMEOUT};
use std::collections::BTreeSet;

/// Why and how a node campaigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CampaignKind {
    /// It asks whether it would be elected, so that a node that was isolated does not depose a leader that works.
    PreVote,
    /// A majority would vote for it.
    Election,
    /// The leader asked it to: voters need not have lost the leader.
    Transfer,
}

impl RaftNode {
    pub(super) fn reset_election_timer(&mut self, now: Time) {
        self.election_deadline = now + MIN_ELECTION_TIMEOUT + self.rng.u64(..MIN_ELECTION_TIMEOUT);
    }

    pub(super) fn campaign(&mut self, now: Time, kind: CampaignKind, out: &mut Vec<Output>) {
        self.reset_election_timer(now);
        let term = self.term + 1;
        let pre_vote = kind == CampaignKind::PreVote;
        if !pre_vote {
            self.term = term;
            self.vote = Some(self.id.clone());
            self.persist_hard_state(out);
            self.leader = None;
        }
        self.role = Role::Candidate { pre_vote, granted: BTreeSet::from([self.id.clone()]) };
        let last_entry = self.log.last_position();
        let leadership_transfer = kind == CampaignKind::Transfer;
        for to in self.other_voters() {
            self.send(to, term, MessageBody::RequestVote { pre_vote, leadership_transfer, last_entry }, out);
        }
        self.pre_vote_resend_at = now + HEARTBEAT_INTERVAL;
        self.count_votes(now, out);
    }

    /// Asks the voters for pre-votes again that have not granted theirs. After a restart of all the first one up asks those
    /// that may not vote yet; another election time-out would be lost. A pre-vote binds nobody, so it may be asked for often.
    pub(super) fn resend_pre_vote(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Candidate { pre_vote: true, granted } = &self.role else { return };
        if now < self.pre_vote_resend_at || !self.storage_healthy {
            return;
        }
        let missing: Vec<NodeId> =
            self.other_voters().into_iter().filter(|voter| !granted.contains(voter)).collect();
        let body = MessageBody::RequestVote {
            pre_vote: true,
            leadership_transfer: false,
            last_entry: self.log.last_position(),
        };
        let term = self.term + 1;
        missing.into_iter().for_each(|to| self.send(to, term, body.clone(), out));
        self.pre_vote_resend_at = now + HEARTBEAT_INTERVAL;
    }

    fn count_votes(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Candidate { pre_vote, granted } = &self.role else { return };
        let mut voters = self.log.voters();
        let new_voters_alone;
        if self.has_defect(Defect::NewMajorityElectsAlone) {
            new_voters_alone = VoterConfiguration::simple(voters.target().clone());
            voters = &new_voters_alone;
        }
        if !voters.has_quorum(granted) {
            return;
        }
        if *pre_vote {
            self.campaign(now, CampaignKind::Election, out);
        } else {
            self.become_leader(now, out);
        }
    }

    fn become_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        let first_index = self.log.last_index() + 1;
        self.role = Role::Leader(Box::new(LeaderState::new(now, first_index, self.other_voters())));
        self.leader = Some(self.id.clone());
        // Entries of earlier terms are committed with the first of this one (3.6.2).
        self.append(EntryPayload::Noop, out);
        self.broadcast_append(now, out);
    }

    pub(super) fn become_follower(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) {
            out.extend(leader.pending_reads.iter().map(|read| Output::NotLeader { tag: read.tag }));
            self.leader = None;
        }
        self.reset_election_timer(now);
    }

    pub(super) fn adopt_term(&mut self, now: Time, term: Term, out: &mut Vec<Output>) {
        self.term = term;
        self.vote = None;
        self.persist_hard_state(out);
        self.become_follower(now, out);
        self.leader = None;
    }

    pub(super) fn follow_leader(&mut self, now: Time, leader: &NodeId) {
        self.role = Role::Follower;
        self.leader = Some(leader.clone());
        self.leader_heard_at = Some(now);
        self.reset_election_timer(now);
    }

    /// Whether a candidate is not even answered: a node that hears its leader, or may have heard one just before it was
    /// restarted, takes part in no election but one that the leader wants. It does not adopt the candidate's term
    /// either.
    pub(super) fn ignores_vote_request(&self, now: Time, message: &Message) -> bool {
        let MessageBody::RequestVote { leadership_transfer, .. } = message.body else { return false };
        let heard_leader =
            self.leader_heard_at.is_some_and(|at| now.saturating_sub(at) < MIN_ELECTION_TIMEOUT);
        let has_leader = self.is_leader() || heard_leader || now < self.vote_grant_blocked_until;
        has_leader && !leadership_transfer && message.term > self.term
    }

    pub(super) fn on_request_vote(
        &mut self,
        now: Time,
        candidate: NodeId,
        term: Term,
        pre_vote: bool,
        last_entry: LogPosition,
        out: &mut Vec<Output>,
    ) {
        if !self.storage_healthy {
            return;
        }
        let may_vote = if pre_vote {
            term > self.term
        } else {
            let has_no_other_vote = self.vote.as_ref().is_none_or(|vote| *vote == candidate);
            term == self.term && has_no_other_vote && !self.is_leader()
        };
        let granted = may_vote && last_entry >= self.log.last_position();
        if granted && !pre_vote {
            if self.vote.is_none() {
                self.vote = Some(candidate.clone());
                self.persist_hard_state(out);
            }
            self.reset_election_timer(now);
        }
        let answer_term = if pre_vote && granted { term } else { self.term };
        self.send(candidate, answer_term, MessageBody::VoteResponse { pre_vote, granted }, out);
    }

    pub(super) fn on_vote_response(
        &mut self,
        now: Time,
        voter: NodeId,
        term: Term,
        pre_vote: bool,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        let campaign_term = if pre_vote { self.term + 1 } else { self.term };
        if !granted || term != campaign_term || !self.log.voters().contains(&voter) {
            return;
        }
        let Role::Candidate { pre_vote: in_pre_vote, granted: votes } = &mut self.role else { return };
        if *in_pre_vote == pre_vote {
            votes.insert(voter);
            self.count_votes(now, out);
        }
    }
}

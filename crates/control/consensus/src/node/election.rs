//! Elections: campaigns with pre-vote, votes, and role transitions (3.4 and 9.6).

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

/// Kind of a campaign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CampaignKind {
    /// Pre-vote: asks whether the node would be elected, so that a previously isolated node does not depose a working
    /// leader.
    PreVote,
    /// An election after a majority granted its pre-votes.
    Election,
    /// An election requested by the leader: voters that are in contact with the leader may vote too.
    Transfer,
}

impl RaftNode {
    pub(super) fn reset_election_timer(&mut self, now: Time) {
        self.election_deadline = now + MIN_ELECTION_TIMEOUT + self.rng.u64(..MIN_ELECTION_TIMEOUT);
    }

    pub(super) fn campaign(&mut self, now: Time, kind: CampaignKind, outputs: &mut Vec<Output>) {
        self.reset_election_timer(now);
        let term = self.term + 1;
        let pre_vote = kind == CampaignKind::PreVote;
        if !pre_vote {
            self.term = term;
            self.vote = Some(self.id.clone());
            self.persist_hard_state(outputs);
            self.leader = None;
        }
        self.role = Role::Candidate { pre_vote, granted: BTreeSet::from([self.id.clone()]) };
        let last_entry = self.log.last_position();
        let leadership_transfer = kind == CampaignKind::Transfer;
        for to in self.other_voters() {
            self.send(
                to,
                term,
                MessageBody::RequestVote { pre_vote, leadership_transfer, last_entry },
                outputs,
            );
        }
        self.pre_vote_resend_at = now + HEARTBEAT_INTERVAL;
        self.count_votes(now, outputs);
    }

    /// Requests pre-votes again from the voters that have not granted theirs. After a restart of all nodes,
    /// the first one up asks voters that may not vote yet; without the retry it would wait for another
    /// election timeout. A pre-vote is not binding, so it may be requested often.
    pub(super) fn resend_pre_vote(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let Role::Candidate { pre_vote: true, granted } = &self.role else { return };
        if now < self.pre_vote_resend_at || !self.storage_healthy {
            return;
        }
        let pending_voters: Vec<NodeId> =
            self.other_voters().into_iter().filter(|voter| !granted.contains(voter)).collect();
        let body = MessageBody::RequestVote {
            pre_vote: true,
            leadership_transfer: false,
            last_entry: self.log.last_position(),
        };
        let term = self.term + 1;
        pending_voters.into_iter().for_each(|to| self.send(to, term, body.clone(), outputs));
        self.pre_vote_resend_at = now + HEARTBEAT_INTERVAL;
    }

    fn count_votes(&mut self, now: Time, outputs: &mut Vec<Output>) {
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
            self.campaign(now, CampaignKind::Election, outputs);
        } else {
            self.become_leader(now, outputs);
        }
    }

    fn become_leader(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let first_index = self.log.last_index() + 1;
        self.role = Role::Leader(Box::new(LeaderState::new(now, first_index, self.other_voters())));
        self.leader = Some(self.id.clone());
        // Entries of earlier terms are committed together with the first entry of this term (3.6.2).
        self.append(EntryPayload::Noop, outputs);
        self.broadcast_append(now, outputs);
    }

    pub(super) fn become_follower(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) {
            outputs.extend(leader.pending_reads.iter().map(|read| Output::NotLeader { tag: read.tag }));
            self.leader = None;
        }
        self.reset_election_timer(now);
    }

    pub(super) fn adopt_term(&mut self, now: Time, term: Term, outputs: &mut Vec<Output>) {
        self.term = term;
        self.vote = None;
        self.persist_hard_state(outputs);
        self.become_follower(now, outputs);
        self.leader = None;
    }

    pub(super) fn follow_leader(&mut self, now: Time, leader: &NodeId) {
        self.role = Role::Follower;
        self.leader = Some(leader.clone());
        self.last_leader_contact = Some(now);
        self.reset_election_timer(now);
    }

    /// Returns whether to ignore a vote request without a response and without adopting its term. A node that
    /// is in contact with its leader, or may have been just before a restart, takes part only in elections
    /// that the leader requested.
    pub(super) fn ignores_vote_request(&self, now: Time, message: &Message) -> bool {
        let MessageBody::RequestVote { leadership_transfer, .. } = message.body else { return false };
        let in_contact_with_leader =
            self.last_leader_contact.is_some_and(|at| now.saturating_sub(at) < MIN_ELECTION_TIMEOUT);
        let has_leader = self.is_leader() || in_contact_with_leader || now < self.vote_grant_blocked_until;
        has_leader && !leadership_transfer && message.term > self.term
    }

    pub(super) fn on_request_vote(
        &mut self,
        now: Time,
        candidate: NodeId,
        term: Term,
        pre_vote: bool,
        last_entry: LogPosition,
        outputs: &mut Vec<Output>,
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
                self.persist_hard_state(outputs);
            }
            self.reset_election_timer(now);
        }
        let response_term = if pre_vote && granted { term } else { self.term };
        self.send(candidate, response_term, MessageBody::VoteResponse { pre_vote, granted }, outputs);
    }

    pub(super) fn on_vote_response(
        &mut self,
        now: Time,
        voter: NodeId,
        term: Term,
        pre_vote: bool,
        granted: bool,
        outputs: &mut Vec<Output>,
    ) {
        let campaign_term = if pre_vote { self.term + 1 } else { self.term };
        if !granted || term != campaign_term || !self.log.voters().contains(&voter) {
            return;
        }
        let Role::Candidate { pre_vote: in_pre_vote, granted: votes } = &mut self.role else { return };
        if *in_pre_vote == pre_vote {
            votes.insert(voter);
            self.count_votes(now, outputs);
        }
    }
}

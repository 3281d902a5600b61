//! Who leads, as consensus said last.

use crate::effect::Effect;
use crate::leader_history::LeaderHistory;
use crate::{ControlNode, Time, MS};
use consensus::{NodeId, Term, VoterSet};

/// A node that shuts down asks to leave this often.
pub(crate) const LEAVE_INTERVAL: Time = 100 * MS;

/// Who leads.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    /// Whom this node believes to lead.
    pub leader: Option<NodeId>,
    /// It is this node.
    pub is_leader: bool,
    /// The current term.
    pub term: Term,
    /// Until when no other node can have been elected, if this one leads.
    pub lease_until: Option<Time>,
    /// When a majority answered this node, if it leads; when it heard the leader, if not, which proves nothing.
    pub(crate) quorum_contact: Option<Time>,
    /// The voters, as this node knows them.
    pub voters: VoterSet,
    pub(crate) history: LeaderHistory,
}

impl ControlNode {
    /// Takes over what consensus says now.
    pub(crate) fn update_leadership(&mut self) {
        self.update_voters();
        let (raft, leadership) = (&self.raft, &mut self.leadership);
        let before = (leadership.is_leader, leadership.leader.as_ref());
        let has_changed = before != (raft.is_leader(), raft.leader());
        leadership.quorum_contact = raft.last_quorum_contact();
        leadership.is_leader = raft.is_leader();
        leadership.term = raft.term();
        leadership.lease_until = raft.lease_until();
        if raft.leader().is_some() {
            leadership.history.record(self.now, raft.term());
        }
        if has_changed {
            leadership.leader = raft.leader().cloned();
            let leader = leadership.leader.as_ref().map_or("none".into(), NodeId::to_string);
            log::info!("leadership: term {}, leader {leader}", leadership.term);
            self.effects.push(Effect::NotifySubscribers);
        }
        self.abandon_lost_proposals();
    }

    /// Voters are control nodes: a node that restarts may have been told of seeds alone that are gone by now.
    fn update_voters(&mut self) {
        if self.leadership.voters == *self.raft.voters() {
            return;
        }
        self.leadership.voters = self.raft.voters().clone();
        let voters = self.leadership.voters.iter();
        let ids = voters.map(|(name, disk_id)| NodeId { name: name.clone(), disk_id: *disk_id }.to_string());
        log::info!("voters: {}", ids.collect::<Vec<_>>().join(" "));
        let names: Vec<String> = self.leadership.voters.keys().cloned().collect();
        names.iter().for_each(|name| self.learn_node(name, ""));
    }
}

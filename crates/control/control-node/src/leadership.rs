//! The node's view of the Raft leadership, as last copied from consensus.

use crate::effect::Effect;
use crate::leader_history::LeaderHistory;
use crate::{ControlNode, Time, MS};
use consensus::{NodeId, Term, VoterSet};

/// Interval at which a node that is shutting down repeats its request to leave.
pub(crate) const LEAVE_INTERVAL: Time = 100 * MS;

/// Leadership as of the latest update from consensus.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    /// The leader known to this node.
    pub leader: Option<NodeId>,
    /// Whether this node is the leader.
    pub is_leader: bool,
    /// The current term.
    pub term: Term,
    /// End of the leader lease, until which no other node can have been elected, if this node leads.
    pub lease_until: Option<Time>,
    /// On the leader: start of the latest heartbeat round that a majority answered. On other nodes: when the leader
    /// was last heard, which does not prove quorum contact.
    pub(crate) quorum_contact: Option<Time>,
    /// The voters, as this node knows them.
    pub voters: VoterSet,
    pub(crate) history: LeaderHistory,
}

impl ControlNode {
    /// Updates voters and leadership from consensus; logs and announces a change of leader.
    pub(crate) fn update_leadership(&mut self) {
        self.update_voters();
        let (raft, leadership) = (&self.raft, &mut self.leadership);
        let previous = (leadership.is_leader, leadership.leader.as_ref());
        let has_changed = previous != (raft.is_leader(), raft.leader());
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

    /// Updates the voters and adds them to the known control nodes: after a restart the configured seeds may all be
    /// gone.
    fn update_voters(&mut self) {
        if self.leadership.voters == *self.raft.voters() {
            return;
        }
        self.leadership.voters = self.raft.voters().clone();
        let voters = self.leadership.voters.iter();
        let voter_ids =
            voters.map(|(name, disk_id)| NodeId { name: name.clone(), disk_id: *disk_id }.to_string());
        log::info!("voters: {}", voter_ids.collect::<Vec<_>>().join(" "));
        self.known_nodes.set_voters(self.now, self.leadership.voters.keys());
    }
}

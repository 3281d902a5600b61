//! Who leads, as the agreement told last.

use crate::{ControlNode, Effect, Time, MS};
use consensus::{NodeId, Term, VoterSet};

/// Whoever is told to end says so again so often.
pub(crate) const LEAVE_INTERVAL: Time = 100 * MS;

#[derive(Clone, Debug, Default)]
pub struct Leadership {
    pub leader: Option<NodeId>,
    pub is_leader: bool,
    pub term: Term,
    /// Until when its word alone counts.
    pub lease_until: Option<Time>,
    /// When a majority answered it, if it leads; when it heard the leader, if not, which proves nothing.
    pub(crate) quorum_contact: Option<Time>,
    pub voters: VoterSet,
}

impl ControlNode {
    /// What the core says of the duty now.
    pub(crate) fn update_leadership(&mut self) {
        self.update_voters();
        let (core, duty) = (&self.raft, &mut self.leadership);
        let changed = (duty.is_leader, duty.leader.as_ref()) != (core.is_leader(), core.leader());
        duty.quorum_contact = core.last_quorum_contact();
        duty.is_leader = core.is_leader();
        duty.term = core.term();
        duty.lease_until = core.lease_until();
        if changed {
            duty.leader = core.leader().cloned();
            let leader = duty.leader.as_ref().map_or("nobody".into(), NodeId::to_string);
            log::info!("duty: term {}, held by {leader}", duty.term);
            self.effects.push(Effect::NotifySubscribers);
        }
        self.abandon_lost_proposals();
    }

    /// Who votes is known as a prompter: one that begins again may have been told of seeds alone that are gone by now.
    fn update_voters(&mut self) {
        if self.leadership.voters == *self.raft.voters() {
            return;
        }
        self.leadership.voters = self.raft.voters().clone();
        let all = self.leadership.voters.iter().map(|(n, disk)| format!("{n}/{:08x}", *disk as u32));
        log::info!("voters: {}", all.collect::<Vec<_>>().join(" "));
        let names: Vec<String> = self.leadership.voters.keys().cloned().collect();
        names.iter().for_each(|name| self.learn_node(name, ""));
    }
}

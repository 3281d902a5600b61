//! Who leads, as the agreement told last.

use crate::{Effect, Prompter, Time, MS};
use consensus::{Id, Members, Term};

/// Whoever is told to end says so again so often.
pub(crate) const LEAVE: Time = 100 * MS;

#[derive(Clone, Debug, Default)]
pub struct Duty {
    pub leader: Option<Id>,
    pub is_leader: bool,
    pub term: Term,
    /// Until when its word alone counts.
    pub lease: Option<Time>,
    /// When a majority answered it, if it leads; when it heard the leader, if not, which proves nothing.
    pub(crate) touch: Option<Time>,
    pub members: Members,
}

impl Prompter {
    /// What the core says of the duty now.
    pub(crate) fn tell_duty(&mut self) {
        self.know_voters();
        let (core, duty) = (&self.core, &mut self.duty);
        let changed = (duty.is_leader, duty.leader.as_ref()) != (core.is_holder(), core.holder());
        duty.touch = core.in_touch();
        duty.is_leader = core.is_holder();
        duty.term = core.term();
        duty.lease = core.lease();
        if changed {
            duty.leader = core.holder().cloned();
            let leader = duty.leader.as_ref().map_or("nobody".into(), Id::to_string);
            log::info!("duty: term {}, held by {leader}", duty.term);
            self.effects.push(Effect::News);
        }
        self.end_lost_orders();
    }

    /// Who votes is known as a prompter: one that begins again may have been told of seeds alone that are gone by now.
    fn know_voters(&mut self) {
        if self.duty.members == *self.core.members() {
            return;
        }
        self.duty.members = self.core.members().clone();
        let all = self.duty.members.iter().map(|(n, disk)| format!("{n}/{:08x}", *disk as u32));
        log::info!("voters: {}", all.collect::<Vec<_>>().join(" "));
        let names: Vec<String> = self.duty.members.keys().cloned().collect();
        names.iter().for_each(|name| self.knows(name, ""));
    }
}

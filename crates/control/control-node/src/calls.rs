//! Calls of backends. Operators' are in `orders`.

use crate::{ControlNode, Effect, Reply, Time};
use registry::Heartbeat;

impl ControlNode {
    /// A backend's beat, which is at times the word that it leaves.
    pub fn heartbeat(&mut self, now: Time, call: u64, mut fact: Heartbeat) {
        self.now = now;
        let (id, drains) = (fact.instance.clone(), fact.draining);
        fact.draining |= self.state.is_draining(&id);
        self.record_heartbeat(fact, true);
        // Who is cut off from the majority would keep this life from all others.
        if !self.has_quorum_contact() {
            self.effects.push(Effect::Reply { call, reply: Reply::Unavailable });
        } else if drains {
            self.start_drain(call, &id, false);
        } else {
            self.effects.push(Effect::Reply { call, reply: Reply::Acknowledged });
        }
    }
}

//! Calls of backends. Operators' are in `orders`.

use crate::{Effect, Prompter, Reply, Time};
use registry::Fact;

impl Prompter {
    /// A backend's beat, which is at times the word that it leaves.
    pub fn heartbeat(&mut self, now: Time, call: u64, mut fact: Fact) {
        self.now = now;
        let (id, drains) = (fact.id.clone(), fact.draining);
        fact.draining |= self.book.is_leaving(&id);
        self.beat(fact, true);
        // Who is cut off from the majority would keep this life from all others.
        if !self.in_touch() {
            self.effects.push(Effect::Answer { call, reply: Reply::Later });
        } else if drains {
            self.agree_to_drain(call, &id, false);
        } else {
            self.effects.push(Effect::Answer { call, reply: Reply::Acknowledged });
        }
    }
}

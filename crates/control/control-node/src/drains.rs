//! Backends that leave: told to one prompter, agreed on by a majority before it is acknowledged.

use crate::orders::{ANSWERED, WAITING};
use crate::{Defect, Effect, Prompter, Reply, Time, MS};
use consensus::Input;
use control_state::Word;
use messages::message::Peer;

/// Something that was passed on to the leader is passed on again after so long.
const AGAIN: Time = 150 * MS;

/// A call that waits until it is agreed on that its backend leaves.
#[derive(Debug)]
pub(crate) struct Drain {
    call: u64,
    instance: String,
    /// Its life is over with it.
    ends: bool,
    until: Time,
    again: Time,
}

impl Prompter {
    /// A backend says that its life is over.
    pub fn deregister(&mut self, now: Time, call: u64, instance: &str) {
        self.now = now;
        self.agree_to_drain(call, instance, true);
    }

    /// Has it agreed on that this backend leaves, and answers then, or in time that nobody can say.
    pub(crate) fn agree_to_drain(&mut self, call: u64, instance: &str, ends: bool) {
        let again = self.now;
        let drain = Drain { call, instance: instance.into(), ends, until: self.now + ANSWERED, again };
        if self.book.is_leaving(instance) || self.has(Defect::DrainForgotten) {
            return self.drained(drain);
        }
        // Who is cut off has nobody to agree with: the next gateway is called at once.
        if !self.in_touch() || self.drains.len() >= WAITING {
            return self.effects.push(Effect::Answer { call, reply: Reply::Later });
        }
        self.drains.push(drain);
        self.look_at_drains();
    }

    fn drained(&mut self, drain: Drain) {
        if drain.ends {
            self.over(&drain.instance);
            self.effects.push(Effect::TellAll { peer: Peer::Over { instance: drain.instance } });
        }
        self.effects.push(Effect::Answer { call: drain.call, reply: Reply::Acknowledged });
    }

    pub(crate) fn drains_due(&self) -> Time {
        self.drains.iter().map(|d| d.until.min(d.again)).min().unwrap_or(Time::MAX)
    }

    /// Passes them on, again and again; ends those that have waited for long enough.
    pub(crate) fn look_at_drains(&mut self) {
        let now = self.now;
        let (late, mut drains): (Vec<Drain>, Vec<Drain>) =
            std::mem::take(&mut self.drains).into_iter().partition(|d| d.until <= now);
        for drain in late {
            self.effects.push(Effect::Answer { call: drain.call, reply: Reply::Later });
        }
        for drain in drains.iter_mut().filter(|d| d.again <= now) {
            drain.again = now + AGAIN;
            self.pass_on(Word::Leaving { instance: drain.instance.clone() }.write());
        }
        self.drains = drains;
    }

    /// What was waited for may have been agreed on.
    pub(crate) fn settle_drains(&mut self) {
        let book = &self.book;
        let (done, drains): (Vec<Drain>, Vec<Drain>) =
            std::mem::take(&mut self.drains).into_iter().partition(|d| book.is_leaving(&d.instance));
        self.drains = drains;
        done.into_iter().for_each(|drain| self.drained(drain));
    }

    /// Has the leader propose something. It may be lost.
    pub(crate) fn pass_on(&mut self, word: Vec<u8>) {
        if self.duty.is_leader {
            self.put(Input::Propose { tag: 0, word });
        } else if let Some(leader) = self.duty.leader.as_ref().map(|l| l.name.clone()) {
            self.tell(&leader, Peer::Propose { word });
        }
    }
}

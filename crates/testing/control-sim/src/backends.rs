//! Backends: they beat at whichever prompter answers, leave, and must be known for as long as they live.

use crate::machine::BEAT;
use crate::{Time, MS};
use fastrand::Rng;
use registry::Heartbeat;

/// A life.
#[derive(Clone, Debug)]
pub struct Backend {
    pub id: String,
    address: String,
    sequence: u64,
    /// It wants to leave: it says so with each beat, from then on.
    pub drains: bool,
    /// Its leaving was acknowledged, and when.
    pub drained: Option<Time>,
    /// It has ended.
    pub over: bool,
    /// Since when all of its beats were acknowledged, each in time.
    pub heard_since: Option<Time>,
    /// When the latest was.
    pub heard: Time,
    /// The call that is under way, and how often this beat was tried.
    pub call: u64,
    pub tries: u32,
}

impl Backend {
    /// The `number`th life at address `b`.
    pub fn new(b: usize, number: u64) -> Self {
        Backend {
            id: format!("i{b}-{number}"),
            address: format!("10.8.0.{}:80", b + 1),
            sequence: 0,
            drains: false,
            drained: None,
            over: false,
            heard_since: None,
            heard: 0,
            call: 0,
            tries: 0,
        }
    }

    /// What it says now.
    pub fn fact(&mut self) -> Heartbeat {
        self.sequence += 1;
        let (id, address) = (self.id.clone(), self.address.clone());
        Heartbeat {
            instance: id,
            address,
            sequence: self.sequence,
            draining: self.drains,
            slots: 3,
            ..Heartbeat::default()
        }
    }

    /// A beat was acknowledged.
    pub fn acknowledged(&mut self, now: Time) {
        if now > self.heard + 2 * BEAT {
            self.heard_since = None;
        }
        self.heard_since.get_or_insert(now);
        self.heard = now;
        self.tries = 0;
    }

    /// When it beats next.
    pub fn pause(rng: &mut Rng) -> Time {
        BEAT - rng.u64(..50) * MS
    }

    /// Since when it has been heard all the time, if it lives on.
    pub fn lives_since(&self, now: Time) -> Option<Time> {
        self.heard_since.filter(|_| !self.over && !self.drains && now <= self.heard + 2 * BEAT)
    }
}

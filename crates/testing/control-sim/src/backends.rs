//! Backends: they send heartbeats to any control node that answers, drain, and must be known as long as they are
//! alive.

use crate::machine::HEARTBEAT_INTERVAL;
use crate::{Time, MS};
use fastrand::Rng;
use registry::Heartbeat;

/// One instance of a backend.
#[derive(Clone, Debug)]
pub struct Backend {
    pub id: String,
    address: String,
    sequence: u64,
    /// Whether it wants to leave: each heartbeat from then on says so.
    pub is_draining: bool,
    /// When its drain was acknowledged.
    pub drained_at: Option<Time>,
    /// Whether it has ended.
    pub has_ended: bool,
    /// Since when all of its heartbeats were acknowledged, each in time.
    pub acknowledged_since: Option<Time>,
    /// When the latest heartbeat was acknowledged.
    pub last_acknowledged_at: Time,
    /// The call in progress, and how often this heartbeat was tried.
    pub call: u64,
    pub attempts: u32,
}

impl Backend {
    /// Creates instance `number` at address `b`.
    pub fn new(b: usize, number: u64) -> Self {
        Backend {
            id: format!("i{b}-{number}"),
            address: format!("10.8.0.{}:80", b + 1),
            sequence: 0,
            is_draining: false,
            drained_at: None,
            has_ended: false,
            acknowledged_since: None,
            last_acknowledged_at: 0,
            call: 0,
            attempts: 0,
        }
    }

    /// Returns its next heartbeat.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let (id, address) = (self.id.clone(), self.address.clone());
        Heartbeat {
            instance: id,
            address,
            sequence: self.sequence,
            draining: self.is_draining,
            slots: 3,
            ..Heartbeat::default()
        }
    }

    /// Records that a heartbeat was acknowledged.
    pub fn acknowledged(&mut self, now: Time) {
        if now > self.last_acknowledged_at + 2 * HEARTBEAT_INTERVAL {
            self.acknowledged_since = None;
        }
        self.acknowledged_since.get_or_insert(now);
        self.last_acknowledged_at = now;
        self.attempts = 0;
    }

    /// Returns the pause until its next heartbeat.
    pub fn heartbeat_pause(rng: &mut Rng) -> Time {
        HEARTBEAT_INTERVAL - rng.u64(..50) * MS
    }

    /// Returns since when its heartbeats have been acknowledged without a gap, if it is still alive.
    pub fn alive_since(&self, now: Time) -> Option<Time> {
        self.acknowledged_since.filter(|_| {
            !self.has_ended && !self.is_draining && now <= self.last_acknowledged_at + 2 * HEARTBEAT_INTERVAL
        })
    }
}

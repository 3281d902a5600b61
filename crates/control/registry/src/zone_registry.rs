//! The known backends, and when the last heartbeat of each was received.

use crate::heartbeat::Heartbeat;
use std::collections::BTreeMap;

/// Nanoseconds on the caller's monotonic clock.
pub type Time = u64;

/// Maximum number of backends. More than any fleet has; a higher number is a fault or an attack.
const MAX_INSTANCES: usize = 8192;

/// Effect of a heartbeat on the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The backend was unknown and has been added.
    New,
    /// The backend's state has changed.
    Changed,
    /// Only the time of the last heartbeat has changed.
    Unchanged,
    /// The heartbeat is older than the last known one.
    Stale,
    /// The backend is unknown and the registry is full.
    Full,
}

/// A known backend, with its latest heartbeat and the state of its expiry.
#[derive(Clone, Debug)]
struct Instance {
    heartbeat: Heartbeat,
    /// Start of the expiry timeout.
    timer_started_at: Time,
    /// Latest time at which the backend is known for certain to have sent a heartbeat.
    last_heartbeat_at: Option<Time>,
    /// Whether [`ZoneRegistry::take_suspects`] has returned the backend since its timer was started.
    is_suspect: bool,
}

/// The backends of a zone.
#[derive(Clone, Debug)]
pub struct ZoneRegistry {
    instances: BTreeMap<String, Instance>,
    /// A backend expires after this time without a heartbeat.
    expiry_timeout: Time,
    /// Time since which heartbeats have been received without interruption.
    listening_since: Time,
}

impl ZoneRegistry {
    /// Creates an empty registry that can receive heartbeats from `now` on. `heartbeat_interval` is that of the backends.
    pub fn new(heartbeat_interval: Time, now: Time) -> Self {
        ZoneRegistry {
            instances: BTreeMap::new(),
            expiry_timeout: 3 * heartbeat_interval + heartbeat_interval / 2,
            listening_since: now,
        }
    }

    /// Whether heartbeats have been received for long enough that all running backends are known.
    pub fn is_complete(&self, now: Time) -> bool {
        now.saturating_sub(self.listening_since) >= self.expiry_timeout
    }

    /// Returns the latest heartbeat of each backend.
    pub fn heartbeats(&self) -> impl Iterator<Item = &Heartbeat> {
        self.instances.values().map(|instance| &instance.heartbeat)
    }

    /// Returns the latest heartbeat of a backend.
    pub fn get(&self, id: &str) -> Option<&Heartbeat> {
        self.instances.get(id).map(|instance| &instance.heartbeat)
    }

    /// Handles a heartbeat, from the backend itself or forwarded in full. A draining backend stays draining.
    pub fn on_heartbeat(&mut self, now: Time, mut heartbeat: Heartbeat) -> HeartbeatOutcome {
        let Some(instance) = self.instances.get_mut(&heartbeat.instance) else {
            return self.add(now, heartbeat);
        };
        if heartbeat.sequence < instance.heartbeat.sequence {
            return HeartbeatOutcome::Stale;
        }
        (instance.timer_started_at, instance.is_suspect) = (now, false);
        heartbeat.draining |= instance.heartbeat.draining;
        let outcome = if instance.heartbeat.reports_same_state(&heartbeat) {
            HeartbeatOutcome::Unchanged
        } else {
            HeartbeatOutcome::Changed
        };
        instance.heartbeat = heartbeat;
        outcome
    }

    fn add(&mut self, now: Time, heartbeat: Heartbeat) -> HeartbeatOutcome {
        if self.instances.len() >= MAX_INSTANCES {
            return HeartbeatOutcome::Full;
        }
        // An address is used by one backend at a time: a previous one at this address has ended.
        self.instances.retain(|_, other| other.heartbeat.address != heartbeat.address);
        let id = heartbeat.instance.clone();
        self.instances.insert(
            id,
            Instance { heartbeat, timer_started_at: now, last_heartbeat_at: None, is_suspect: false },
        );
        HeartbeatOutcome::New
    }

    /// Records that the backend's heartbeat was received from the backend itself: it is alive now.
    pub fn record_direct_heartbeat(&mut self, now: Time, id: &str) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.last_heartbeat_at = Some(now);
        }
    }

    /// Returns the backends that have sent a heartbeat recently. Only these are reported to other nodes: the address of any
    /// other may already be used by a new backend.
    pub fn recently_alive(&self, now: Time) -> impl Iterator<Item = &Heartbeat> {
        let max_age = self.expiry_timeout / 2;
        let is_recent = move |instance: &&Instance| {
            instance.last_heartbeat_at.is_some_and(|sent_at| now.saturating_sub(sent_at) <= max_age)
        };
        self.instances.values().filter(is_recent).map(|instance| &instance.heartbeat)
    }

    /// Handles a heartbeat without new information that another node forwards. Returns whether the backend is known here.
    pub fn on_forwarded_heartbeat(&mut self, now: Time, id: &str, sequence: u64) -> bool {
        let Some(instance) = self.instances.get_mut(id) else { return false };
        if sequence >= instance.heartbeat.sequence {
            instance.heartbeat.sequence = sequence;
            (instance.timer_started_at, instance.is_suspect) = (now, false);
            instance.last_heartbeat_at = Some(now);
        }
        true
    }

    /// Removes a backend that has ended. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.instances.remove(id).is_some()
    }

    /// Restarts the expiry timers of all backends because no heartbeats could arrive until now: their absence proves
    /// nothing, and not all running backends are known.
    pub fn restart_expiry_timers(&mut self, now: Time) {
        self.listening_since = now;
        for instance in self.instances.values_mut() {
            (instance.timer_started_at, instance.is_suspect) = (now, false);
        }
    }

    /// Returns the backends that expire after another two sevenths of the timeout, one heartbeat interval, unless a
    /// heartbeat arrives; each is returned once. Other nodes may still receive their heartbeats.
    pub fn take_suspects(&mut self, now: Time) -> Vec<String> {
        let suspicion_timeout = self.expiry_timeout / 7 * 5;
        let is_new_suspect = |instance: &Instance| {
            !instance.is_suspect && now.saturating_sub(instance.timer_started_at) >= suspicion_timeout
        };
        let suspects = self.instances.iter_mut().filter(|(_, instance)| is_new_suspect(instance));
        let ids = suspects.map(|(id, instance)| {
            instance.is_suspect = true;
            id.clone()
        });
        ids.collect()
    }

    /// Removes the backends whose timeout has passed without a heartbeat, and returns their ids.
    pub fn expire_stale(&mut self, now: Time) -> Vec<String> {
        let is_stale =
            |instance: &Instance| now.saturating_sub(instance.timer_started_at) >= self.expiry_timeout;
        let stale = self.instances.iter().filter(|(_, instance)| is_stale(instance));
        let stale: Vec<String> = stale.map(|(id, _)| id.clone()).collect();
        for id in &stale {
            self.instances.remove(id);
        }
        stale
    }
}

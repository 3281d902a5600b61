//! The backends that are known, and when each was last heard.

use crate::heartbeat::Heartbeat;
use std::collections::BTreeMap;

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;

/// More backends than any fleet has are a fault, or an attack.
const MAX_INSTANCES: usize = 8192;

/// What a heartbeat has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The backend was not known.
    New,
    /// Its state, or what it says of itself.
    Changed,
    /// Nothing but when it was last heard.
    Unchanged,
    /// Older than what is known.
    Stale,
    /// There is no room for it.
    Full,
}

#[derive(Clone, Debug)]
struct Instance {
    heartbeat: Heartbeat,
    /// It expires so long after this.
    last_heard: Time,
    /// When it last sent a heartbeat, as far as that is known for certain.
    last_heartbeat: Option<Time>,
    /// It was named by [`ZoneRegistry::take_suspects`] since it was last heard.
    is_suspect: bool,
}

/// A zone's backends.
#[derive(Clone, Debug)]
pub struct ZoneRegistry {
    instances: BTreeMap<String, Instance>,
    /// A backend that is silent for so long has expired.
    expiry_timeout: Time,
    listening_since: Time,
}

impl ZoneRegistry {
    /// `heartbeat_interval`: of backends; `now`: since when heartbeats can arrive.
    pub fn new(heartbeat_interval: Time, now: Time) -> Self {
        ZoneRegistry {
            instances: BTreeMap::new(),
            expiry_timeout: 3 * heartbeat_interval + heartbeat_interval / 2,
            listening_since: now,
        }
    }

    /// Whether it has listened for long enough to know all backends that live.
    pub fn is_complete(&self, now: Time) -> bool {
        now.saturating_sub(self.listening_since) >= self.expiry_timeout
    }

    /// The latest heartbeat of each backend.
    pub fn heartbeats(&self) -> impl Iterator<Item = &Heartbeat> {
        self.instances.values().map(|instance| &instance.heartbeat)
    }

    /// A backend's latest heartbeat.
    pub fn get(&self, id: &str) -> Option<&Heartbeat> {
        self.instances.get(id).map(|instance| &instance.heartbeat)
    }

    /// A heartbeat, from the backend itself or forwarded whole. A backend that drains goes on draining.
    pub fn on_heartbeat(&mut self, now: Time, mut heartbeat: Heartbeat) -> HeartbeatOutcome {
        let Some(instance) = self.instances.get_mut(&heartbeat.instance) else {
            return self.add(now, heartbeat);
        };
        if heartbeat.sequence < instance.heartbeat.sequence {
            return HeartbeatOutcome::Stale;
        }
        (instance.last_heard, instance.is_suspect) = (now, false);
        heartbeat.draining |= instance.heartbeat.draining;
        let outcome = if instance.heartbeat.says_the_same(&heartbeat) {
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
        // Ids of one address follow one another: whoever was there has ended.
        self.instances.retain(|_, other| other.heartbeat.address != heartbeat.address);
        let id = heartbeat.instance.clone();
        self.instances
            .insert(id, Instance { heartbeat, last_heard: now, last_heartbeat: None, is_suspect: false });
        HeartbeatOutcome::New
    }

    /// The backend's heartbeat arrived here first-hand: it lives now.
    pub fn record_direct_heartbeat(&mut self, now: Time, id: &str) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.last_heartbeat = Some(now);
        }
    }

    /// Backends that have sent a heartbeat lately. Other nodes are told of these alone: at the address of any other a new
    /// backend may stand by now.
    pub fn recently_alive(&self, now: Time) -> impl Iterator<Item = &Heartbeat> {
        let max_age = self.expiry_timeout / 2;
        let is_recent = move |instance: &&Instance| {
            instance.last_heartbeat.is_some_and(|at| now.saturating_sub(at) <= max_age)
        };
        self.instances.values().filter(is_recent).map(|instance| &instance.heartbeat)
    }

    /// Another node forwards that a backend sent a heartbeat and says nothing new. Whether the backend is known here.
    pub fn on_forwarded_heartbeat(&mut self, now: Time, id: &str, sequence: u64) -> bool {
        let Some(instance) = self.instances.get_mut(id) else { return false };
        if sequence >= instance.heartbeat.sequence {
            instance.heartbeat.sequence = sequence;
            (instance.last_heard, instance.is_suspect) = (now, false);
            instance.last_heartbeat = Some(now);
        }
        true
    }

    /// The backend has ended. Whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.instances.remove(id).is_some()
    }

    /// No heartbeat could arrive until now: silence so far proves nothing, and not all backends that live are known.
    pub fn restart_expiry_timers(&mut self, now: Time) {
        self.listening_since = now;
        for instance in self.instances.values_mut() {
            (instance.last_heard, instance.is_suspect) = (now, false);
        }
    }

    /// Backends that will have expired in two sevenths of the time, a heartbeat interval, unless they are heard: each is named
    /// once. Other nodes may hear them.
    pub fn take_suspects(&mut self, now: Time) -> Vec<String> {
        let suspicion_timeout = self.expiry_timeout / 7 * 5;
        let is_new_suspect = |instance: &Instance| {
            !instance.is_suspect && now.saturating_sub(instance.last_heard) >= suspicion_timeout
        };
        let suspects = self.instances.iter_mut().filter(|(_, instance)| is_new_suspect(instance));
        let named = suspects.map(|(id, instance)| {
            instance.is_suspect = true;
            id.clone()
        });
        named.collect()
    }

    /// Removes the backends that have been silent for too long: their ids.
    pub fn expire_stale(&mut self, now: Time) -> Vec<String> {
        let is_stale = |instance: &Instance| now.saturating_sub(instance.last_heard) >= self.expiry_timeout;
        let stale = self.instances.iter().filter(|(_, instance)| is_stale(instance));
        let stale: Vec<String> = stale.map(|(id, _)| id.clone()).collect();
        for id in &stale {
            self.instances.remove(id);
        }
        stale
    }
}

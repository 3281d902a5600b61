//! Which backends there are, by their beats: a life each, told apart by its id. Soft state: a prompter that starts anew
//! has it again within a beat's time. Who is leaving is not for this room to remember; it is agreed on elsewhere. No I/O.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;

/// What a backend says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// One life's.
    #[serde(rename = "id")]
    pub instance: String,
    pub service: String,
    /// Where it takes requests.
    pub address: String,
    pub zone: String,
    /// Of its software.
    pub version: String,
    pub slots: u32,
    /// It wants no new work.
    pub draining: bool,
    /// How much longer it is slow from its start, in ms.
    #[serde(rename = "cold_ms")]
    pub warmup_left_ms: u32,
    /// Grows with each call.
    pub sequence: u64,
}

/// What a beat has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// A life that was not known.
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
    /// Since when it has been silent.
    last_heard: Time,
    /// When it last beat, as far as that is known for certain.
    last_heartbeat: Option<Time>,
}

/// A cell.
#[derive(Clone, Debug)]
pub struct ZoneRegistry {
    instances: BTreeMap<String, Instance>,
    /// After so long without a beat a life is over.
    expiry_timeout: Time,
    listening_since: Time,
}

/// More lives than any fleet has are a fault, or an attack.
const MAX_INSTANCES: usize = 8192;

impl ZoneRegistry {
    /// `beat`: how often backends are heard; `now`: since when beats can come.
    pub fn new(beat: Time, now: Time) -> Self {
        ZoneRegistry { instances: BTreeMap::new(), expiry_timeout: 3 * beat + beat / 2, listening_since: now }
    }

    /// Whether it has listened for long enough to know all that live.
    pub fn is_complete(&self, now: Time) -> bool {
        now.saturating_sub(self.listening_since) >= self.expiry_timeout
    }

    pub fn heartbeats(&self) -> impl Iterator<Item = &Heartbeat> {
        self.instances.values().map(|l| &l.heartbeat)
    }

    pub fn get(&self, id: &str) -> Option<&Heartbeat> {
        self.instances.get(id).map(|l| &l.heartbeat)
    }

    /// A beat, first-hand or from another cell's prompter. A state never goes back: who drains drains.
    pub fn on_heartbeat(&mut self, now: Time, mut fact: Heartbeat) -> HeartbeatOutcome {
        let Some(life) = self.instances.get_mut(&fact.instance) else {
            if self.instances.len() >= MAX_INSTANCES {
                return HeartbeatOutcome::Full;
            }
            // Whoever stood at its address is over: ids of one address follow one another.
            self.instances.retain(|_, l| l.heartbeat.address != fact.address);
            self.instances.insert(
                fact.instance.clone(),
                Instance { heartbeat: fact, last_heard: now, last_heartbeat: None },
            );
            return HeartbeatOutcome::New;
        };
        if fact.sequence < life.heartbeat.sequence {
            return HeartbeatOutcome::Stale;
        }
        life.last_heard = now;
        fact.draining |= life.heartbeat.draining;
        let same = Heartbeat {
            sequence: fact.sequence,
            warmup_left_ms: fact.warmup_left_ms,
            ..life.heartbeat.clone()
        } == fact;
        life.heartbeat = fact;
        if same {
            HeartbeatOutcome::Unchanged
        } else {
            HeartbeatOutcome::Changed
        }
    }

    /// Its beat was its own, and no older word of another's on it.
    pub fn confirm_alive(&mut self, now: Time, id: &str) {
        if let Some(life) = self.instances.get_mut(id) {
            life.last_heartbeat = Some(now);
        }
    }

    /// Those that have beat of late. Of others nobody is to be told as if they lived: another may stand at their address by now.
    pub fn recently_alive(&self, now: Time) -> impl Iterator<Item = &Heartbeat> {
        let of_late = self.expiry_timeout / 2;
        let lives = move |l: &&Instance| l.last_heartbeat.is_some_and(|at| now.saturating_sub(at) <= of_late);
        self.instances.values().filter(lives).map(|l| &l.heartbeat)
    }

    /// Another cell's prompter has heard it since. Whether it is known here.
    pub fn on_forwarded_heartbeat(&mut self, now: Time, id: &str, sequence: u64) -> bool {
        let Some(life) = self.instances.get_mut(id) else { return false };
        if sequence >= life.heartbeat.sequence {
            (life.heartbeat.sequence, life.last_heard, life.last_heartbeat) = (sequence, now, Some(now));
        }
        true
    }

    /// Its life is over. Whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.instances.remove(id).is_some()
    }

    /// Nobody could be heard until now: what was silent so far says nothing, and who lives is not known whole.
    pub fn restart_expiry_timers(&mut self, now: Time) {
        self.listening_since = now;
        self.instances.values_mut().for_each(|l| l.last_heard = now);
    }

    /// Those who have not been heard for too long: their lives are over.
    pub fn expire_stale(&mut self, now: Time) -> Vec<String> {
        let late =
            self.instances.iter().filter(|(_, l)| now.saturating_sub(l.last_heard) >= self.expiry_timeout);
        let late: Vec<String> = late.map(|(id, _)| id.clone()).collect();
        late.iter().for_each(|id| drop(self.instances.remove(id)));
        late
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    fn fact(id: &str, address: &str, sequence: u64) -> Heartbeat {
        Heartbeat { instance: id.into(), address: address.into(), sequence, ..Heartbeat::default() }
    }

    #[test]
    fn a_late_beat_changes_nothing_and_who_drains_drains() {
        let mut cell = ZoneRegistry::new(S, 0);
        assert_eq!(cell.on_heartbeat(0, fact("a", "x", 1)), HeartbeatOutcome::New);
        let draining = Heartbeat { draining: true, ..fact("a", "x", 4) };
        assert_eq!(cell.on_heartbeat(S, draining), HeartbeatOutcome::Changed);
        assert_eq!(cell.on_heartbeat(S, fact("a", "x", 3)), HeartbeatOutcome::Stale);
        assert_eq!(cell.on_heartbeat(S, fact("a", "x", 5)), HeartbeatOutcome::Unchanged);
        assert!(cell.get("a").unwrap().draining);
    }

    #[test]
    fn whoever_stood_at_an_address_is_over_when_another_comes_there() {
        let mut cell = ZoneRegistry::new(S, 0);
        cell.on_heartbeat(0, fact("a", "x", 9));
        assert_eq!(cell.on_heartbeat(S, fact("b", "x", 1)), HeartbeatOutcome::New);
        assert_eq!(cell.heartbeats().map(|f| f.instance.as_str()).collect::<Vec<_>>(), ["b"]);
    }

    /// `rehearsal`, seed 4119: a prompter told another of a life that it had not heard for long, and the one that stood at that address
    /// by then was taken for over.
    #[test]
    fn nobody_is_told_of_who_has_not_beat_of_late() {
        let mut cell = ZoneRegistry::new(S, 0);
        cell.on_heartbeat(0, fact("a", "x", 1));
        cell.on_heartbeat(0, fact("b", "y", 1));
        cell.confirm_alive(0, "a");
        let living =
            |cell: &ZoneRegistry, at| cell.recently_alive(at).map(|f| f.instance.clone()).collect::<Vec<_>>();
        assert_eq!(living(&cell, S), ["a"], "of the other there was only another's word");
        cell.restart_expiry_timers(2 * S);
        assert!(living(&cell, 2 * S).is_empty(), "its time begins anew, and yet it may have ended");
        cell.on_forwarded_heartbeat(2 * S, "b", 2);
        assert_eq!(living(&cell, 2 * S), ["b"]);
    }

    #[test]
    fn who_is_silent_is_over_and_a_young_cell_says_that_it_is() {
        let mut cell = ZoneRegistry::new(S, 10 * S);
        cell.on_heartbeat(10 * S, fact("a", "x", 1));
        cell.on_heartbeat(10 * S, fact("b", "y", 1));
        assert!(!cell.is_complete(12 * S) && cell.is_complete(14 * S));
        assert!(cell.on_forwarded_heartbeat(13 * S, "b", 2) && !cell.on_forwarded_heartbeat(13 * S, "c", 2));
        assert_eq!(cell.expire_stale(14 * S), ["a"]);
        assert_eq!(cell.heartbeats().count(), 1);
    }

    #[test]
    fn who_was_silent_while_nobody_could_be_heard_is_not_over() {
        let mut cell = ZoneRegistry::new(S, 0);
        cell.on_heartbeat(0, fact("a", "x", 1));
        // Cut off, or standing still, for twenty seconds.
        cell.restart_expiry_timers(20 * S);
        assert_eq!(cell.expire_stale(20 * S), Vec::<String>::new());
        assert!(!cell.is_complete(20 * S), "what others heard meanwhile is not known here");
        assert_eq!(cell.expire_stale(23 * S), Vec::<String>::new());
        assert_eq!(cell.expire_stale(24 * S), ["a"], "its time begins anew");
        assert!(cell.is_complete(24 * S));
    }
}

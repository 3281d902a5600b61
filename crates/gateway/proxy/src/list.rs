//! Discovery's list of backends, with the names of its JSON. The configuration holds one, and the watch brings more.

use interface::{Health, Node, Scope};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The list of backends, or what changed in it.
#[derive(Clone, Serialize, Deserialize)]
pub struct List {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

/// One backend of the list.
#[derive(Clone, Serialize, Deserialize)]
pub struct Target {
    pub uid: String,
    /// Not parsed yet: an entry that is `Gone` counts, whatever its address.
    #[serde(default)]
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    #[serde(default)]
    pub model: String,
    #[serde(default)]
    pub pod_group: u32,
    pub state: State,
    #[serde(default = "one")]
    pub capacity_hint: f64,
    #[serde(default)]
    pub boot_ms: u64,
}

/// Whether a backend takes new work.
#[derive(Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub enum State {
    Ready,
    Terminating,
    Gone,
}

fn one() -> f64 {
    1.0
}

impl Target {
    /// The entry for the module. A zone's number is its index in the settings.
    pub fn node(self, zones: &[String], pools: u32) -> Node {
        let t = self;
        let zone = zones.iter().position(|z| *z == t.az).unwrap_or(zones.len());
        Node {
            pools,
            name: t.uid.into(),
            zone: zone as u32,
            cell: t.pod_group,
            health: match t.state {
                State::Ready => Health::Up,
                State::Terminating => Health::Draining,
                State::Gone => Health::Removed,
            },
            rating: t.capacity_hint,
            since: t.boot_ms.saturating_mul(1_000_000),
        }
    }
}

/// The list after all changes, for a next process.
#[derive(Default)]
pub struct ListSnapshot {
    /// None before any list.
    rev: Option<u64>,
    targets: BTreeMap<String, Target>,
}

impl ListSnapshot {
    /// Applies a list, or the changes to it.
    pub fn apply(&mut self, scope: Scope, list: &List) {
        if scope != Scope::Changes {
            self.targets.clear();
        }
        for target in &list.targets {
            if target.state == State::Gone {
                self.targets.remove(&target.uid);
            } else {
                self.targets.insert(target.uid.clone(), target.clone());
            }
        }
        self.rev = Some(list.rev);
    }

    /// The list as JSON. None before any list.
    pub fn to_json(&self) -> Option<String> {
        let whole = List { rev: self.rev?, all: true, targets: self.targets.values().cloned().collect() };
        serde_json::to_string(&whole).ok()
    }
}

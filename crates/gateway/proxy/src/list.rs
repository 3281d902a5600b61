//! List of backends in discovery's JSON format. The configuration contains one, and the discovery watch delivers others.

use interface::{Health, Node, Scope};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// List of backends, or changes to it.
#[derive(Clone, Serialize, Deserialize)]
pub struct List {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

/// Backend in the list.
#[derive(Clone, Serialize, Deserialize)]
pub struct Target {
    pub uid: String,
    /// Not parsed, so that a `Gone` entry applies even if its address is invalid.
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

/// State of a backend in the list. Only `Ready` backends accept new work.
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
    /// Converts the entry for the decision module. A zone's number is its index in the settings.
    pub fn node(self, zones: &[String], pools: u32) -> Node {
        let target = self;
        let zone = zones.iter().position(|z| *z == target.az).unwrap_or(zones.len());
        Node {
            pools,
            name: target.uid.into(),
            zone: zone as u32,
            cell: target.pod_group,
            health: match target.state {
                State::Ready => Health::Up,
                State::Terminating => Health::Draining,
                State::Gone => Health::Removed,
            },
            rating: target.capacity_hint,
            since: target.boot_ms.saturating_mul(1_000_000),
        }
    }
}

/// List after all changes, for the next process.
#[derive(Default)]
pub struct ListSnapshot {
    /// None before the first list.
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

    /// Returns the list as JSON, or None before the first list.
    pub fn to_json(&self) -> Option<String> {
        let list = List { rev: self.rev?, all: true, targets: self.targets.values().cloned().collect() };
        serde_json::to_string(&list).ok()
    }
}

//! The list of backends as discovery words it. Plain values: the configuration holds one, the watch brings more.

use serde::Deserialize;

/// The list of backends, or what changed in it.
#[derive(Deserialize)]
pub struct List {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

#[derive(Deserialize)]
pub struct Target {
    pub uid: String,
    /// Not an address yet: an entry that says `Gone` counts, whatever stands here.
    #[serde(default)]
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    #[serde(default)]
    pub pod_group: u32,
    pub state: State,
    #[serde(default = "one")]
    pub capacity_hint: f64,
    #[serde(default)]
    pub boot_ms: u64,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
pub enum State {
    Ready,
    Terminating,
    Gone,
}

fn one() -> f64 {
    1.0
}

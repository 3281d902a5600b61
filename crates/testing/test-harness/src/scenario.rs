//! Scenarios, their options and their results: a seed determines the random choices, the figures are counts and
//! shares, and a run fails if a figure is out of its bounds.

use clap::Args;
use serde_json::{Map, Value};
use std::time::Duration;

/// Options of one run.
#[derive(Clone, Debug)]
pub struct Play {
    pub seed: u64,
    pub time: Duration,
    /// Name of the defect that is planted in the scripted peers or in the program.
    pub defect: Option<String>,
    /// Faults to inject in place of those drawn from the seed, as printed by an earlier run.
    pub schedule: Option<String>,
    pub size: Size,
}

/// Size of a scenario that can be run at several sizes. The scenario has a default for each field.
#[derive(Args, Clone, Debug, Default)]
pub struct Size {
    /// Hollow gateways
    #[arg(long)]
    pub gateways: Option<usize>,
    /// Hollow backends
    #[arg(long)]
    pub backends: Option<usize>,
    /// Routes of the configuration
    #[arg(long)]
    pub routes: Option<usize>,
    /// Tenants of the configuration
    #[arg(long)]
    pub tenants: Option<usize>,
    /// Machines with a real control node and a real gateway each
    #[arg(long)]
    pub control_nodes: Option<usize>,
    /// Services, a backend each
    #[arg(long)]
    pub services: Option<usize>,
    /// Configuration changes, one after the other
    #[arg(long)]
    pub changes: Option<usize>,
    /// Open a new connection for each heartbeat
    #[arg(long)]
    pub fresh: bool,
}

impl Play {
    /// Whether this defect is planted.
    pub fn has(&self, defect: &str) -> bool {
        self.defect.as_deref() == Some(defect)
    }
}

/// Figures of a run, and a message for each one that is out of its bounds.
#[derive(Default)]
pub struct Figures {
    pub values: Map<String, Value>,
    pub violations: Vec<String>,
}

impl Figures {
    /// Records a figure.
    pub fn set(&mut self, name: &str, value: impl Into<Value>) {
        self.values.insert(name.into(), value.into());
    }

    /// Records a figure that must be between `min` and `max`, both included.
    pub fn bound(&mut self, name: &str, value: f64, min: f64, max: f64) {
        self.set(name, value);
        if !(min..=max).contains(&value) {
            self.violations.push(format!("{name} is {value}, expected {min} to {max}"));
        }
    }

    /// Records a count that must be zero.
    pub fn expect_zero(&mut self, name: &str, count: usize) {
        self.set(name, count);
        if count > 0 {
            self.violations.push(format!("{name} is {count}, expected 0"));
        }
    }
}

/// A scenario of the test harness.
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    /// Default duration of a run, in seconds.
    pub seconds: u64,
    /// Duration of a run in the tests, in seconds.
    pub test_seconds: u64,
    /// Defects of the scripted peers and clients: name and description.
    pub defects: &'static [(&'static str, &'static str)],
    /// Defects of the program itself: name, and a schedule of faults that exposes it. They need a separate build.
    pub program_defects: &'static [(&'static str, &'static str)],
    pub run: fn(&Play) -> Result<Figures, String>,
}

/// All scenarios, in the order in which `list` prints them.
pub const ALL: &[Scenario] = &[
    crate::request_lifecycle::SCENARIO,
    crate::upgrade::SCENARIO,
    crate::crowd::SCENARIO,
    crate::planners::SCENARIO,
    crate::planning_cost::SCENARIO,
    crate::view::SCENARIO,
    crate::comeback::SCENARIO,
    crate::local_cluster::SCENARIO,
    crate::trial::SCENARIO,
    crate::scale::SCENARIO,
    crate::services::SCENARIO,
    crate::renamed_services::SCENARIO,
];

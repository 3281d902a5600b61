//! What a scenario is: a seed settles its random choices, its figures are counts and shares, and bounds on
//! them hold or do not.

use clap::Args;
use serde_json::{Map, Value};
use std::time::Duration;

/// How to play one.
#[derive(Clone, Debug)]
pub struct Play {
    pub seed: u64,
    pub time: Duration,
    /// What the rig's own peers do wrong on purpose.
    pub defect: Option<String>,
    /// Faults to play instead of those that the seed draws, as an earlier run printed them.
    pub schedule: Option<String>,
    pub size: Size,
}

/// How large a scenario is that can be played at several sizes; what is not said is the scenario's.
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
    /// Changes of the configuration, one after the other
    #[arg(long)]
    pub changes: Option<usize>,
    /// Each heartbeat comes on a connection of its own
    #[arg(long)]
    pub fresh: bool,
}

impl Play {
    pub fn has(&self, defect: &str) -> bool {
        self.defect.as_deref() == Some(defect)
    }
}

/// The figures of a run, and the bounds that did not hold.
#[derive(Default)]
pub struct Figures {
    pub figures: Map<String, Value>,
    pub broken: Vec<String>,
}

impl Figures {
    pub fn set(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.into(), value.into());
    }

    /// A figure that must be `least` to `most`.
    pub fn bound(&mut self, name: &str, value: f64, least: f64, most: f64) {
        self.set(name, value);
        if !(least..=most).contains(&value) {
            self.broken.push(format!("{name} is {value}: {least} to {most} is wanted"));
        }
    }

    /// A count that must be nothing.
    pub fn none(&mut self, name: &str, count: usize) {
        self.set(name, count);
        if count > 0 {
            self.broken.push(format!("{name} is {count}: none is wanted"));
        }
    }
}

/// A scenario of the rig.
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    /// How long it plays if nothing else is said, in seconds.
    pub seconds: u64,
    /// The same in the tests.
    pub test_seconds: u64,
    /// Names of defects, and what is wrong then.
    pub defects: &'static [(&'static str, &'static str)],
    /// Names of defects of the program itself, and the schedule that shows each. They take a build of their own.
    pub planted: &'static [(&'static str, &'static str)],
    pub run: fn(&Play) -> Result<Figures, String>,
}

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
];

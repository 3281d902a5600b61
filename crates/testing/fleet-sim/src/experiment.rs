//! Experiments: a base world, parameter sweeps, and arms to compare, over many seeds. Each run yields one
//! row.
//!
//! Example of an experiment file:
//!
//! ```toml
//! name = "lease-length"
//! world = "leases"
//! seeds = [0, 40]            # first seed, and the end (exclusive)
//! [base]                     # overrides of the world in all runs
//! seconds = 20
//! [sweep]                    # every combination is run
//! lease_ms = [100, 500, 2000]
//! [[arm]]                    # each arm runs all combinations over the same seeds
//! name = "calm"
//! [[arm]]
//! name = "a planner is lost"
//! planner_down_ms = [8000, 12000]
//! ```

use crate::module::Choice;
use crate::record::{Second, QUANTILES};
use crate::spec::MS;
use crate::{play, Outcome, Spec};
use interface::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Maximum number of runs of one experiment.
pub const MAX_RUNS: usize = 1_000_000;

/// Overrides of a named world's parameters. Absent fields keep the world's value.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// 1 to 4096.
    pub gateways: Option<usize>,
    /// 1 to 10,000.
    pub servers: Option<usize>,
    /// 0 to 16; with 0, gateways estimate usage from the meter.
    pub planners: Option<usize>,
    /// 1 to 10 million.
    pub customers: Option<usize>,
    /// Requests per second, above 0 to 1 million.
    pub rate: Option<f64>,
    /// 1 to 3600.
    pub seconds: Option<u64>,
    /// Mean time between faults; 0 disables them.
    pub fault_every_ms: Option<u64>,
    /// Fraction of all requests that arrive at the first gateway, 0 to 1.
    pub skew: Option<f64>,
    pub placement: Option<bool>,
    /// "module", "random", "two" or "least".
    pub choice: Option<Choice>,
    /// Quota of the partner plan: units per second and bucket depth in units; above 0.
    pub partner_rate: Option<f64>,
    pub partner_depth: Option<f64>,
    /// Lease configuration of the planners; contradictory values are rejected.
    pub lease_ms: Option<u64>,
    pub loan_ms: Option<u64>,
    /// Loan TTL as a multiple of the lease TTL; replaces loan_ms.
    pub loan_leases: Option<u64>,
    pub tick_ms: Option<u64>,
    /// Interval at which a customer's main gateway changes, 1 or more, and the fraction of its requests
    /// sent there, 0 to 1.
    pub moves_ms: Option<u64>,
    pub home: Option<f64>,
    /// Interval during which the first planner is down: start, end.
    pub planner_down_ms: Option<(u64, u64)>,
    pub power_cut_ms: Option<u64>,
    pub flood_ms: Option<(u64, u64)>,
    pub crash_ms: Option<u64>,
}

/// Sets the field to the converted value if there is one.
fn set_if_some<T: Copy, U>(to: &mut U, from: Option<T>, convert: impl Fn(T) -> U) {
    if let Some(value) = from {
        *to = convert(value);
    }
}

impl Change {
    /// Applies the overrides to a world and validates the result.
    ///
    /// # Errors
    /// Describes the first value that is out of range.
    pub fn apply(&self, spec: &mut Spec) -> Result<(), String> {
        let ms = |n: u64| n.saturating_mul(MS);
        set_if_some(&mut spec.gateways, self.gateways, |n| n);
        set_if_some(&mut spec.servers, self.servers, |n| n);
        set_if_some(&mut spec.planners, self.planners, |n| n);
        set_if_some(&mut spec.customers, self.customers, |n| n);
        set_if_some(&mut spec.rate, self.rate, |n| n);
        set_if_some(&mut spec.seconds, self.seconds, |n| n);
        set_if_some(&mut spec.fault_every, self.fault_every_ms, |n| (n > 0).then(|| ms(n)));
        set_if_some(&mut spec.skew, self.skew, |n| n);
        set_if_some(&mut spec.placement, self.placement, |n| n);
        set_if_some(&mut spec.choice, self.choice, |n| n);
        set_if_some(&mut spec.partner_quota.0, self.partner_rate, |n| n);
        set_if_some(&mut spec.partner_quota.1, self.partner_depth, |n| n);
        set_if_some(&mut spec.lease_ttl, self.lease_ms, ms);
        set_if_some(&mut spec.loan_ttl, self.loan_ms, ms);
        let lease = spec.lease_ttl;
        set_if_some(&mut spec.loan_ttl, self.loan_leases, |n| lease.saturating_mul(n));
        set_if_some(&mut spec.tick, self.tick_ms, ms);
        set_if_some(&mut spec.home_change_every, self.moves_ms, ms);
        set_if_some(&mut spec.home_share, self.home, |n| n);
        let pair = |(a, b): (u64, u64)| Some((ms(a), ms(b)));
        set_if_some(&mut spec.planner_down, self.planner_down_ms, pair);
        set_if_some(&mut spec.power_cut, self.power_cut_ms, |n| Some(ms(n)));
        set_if_some(&mut spec.flood, self.flood_ms, pair);
        set_if_some(&mut spec.crash, self.crash_ms, |n| Some(ms(n)));
        check(spec)
    }
}

fn check(spec: &Spec) -> Result<(), String> {
    let within = |name: &str, value: f64, min: f64, max: f64| {
        if (min..=max).contains(&value) {
            return Ok(());
        }
        Err(format!("{name} is {value}: must be {min} to {max}"))
    };
    within("gateways", spec.gateways as f64, 1.0, 4096.0)?;
    within("servers", spec.servers as f64, 1.0, 10_000.0)?;
    within("planners", spec.planners as f64, 0.0, 16.0)?;
    within("customers", spec.customers as f64, 1.0, 1e7)?;
    within("rate", spec.rate, 1e-3, 1e6)?;
    within("seconds", spec.seconds as f64, 1.0, 3600.0)?;
    within("skew", spec.skew, 0.0, 1.0)?;
    within("home", spec.home_share, 0.0, 1.0)?;
    within("partner_rate", spec.partner_quota.0, 1e-3, 1e6)?;
    within("partner_depth", spec.partner_quota.1, 1e-3, 1e6)?;
    within("moves_ms", (spec.home_change_every / MS) as f64, 1.0, 1e9)?;
    let ordered = |span: Option<(Time, Time)>| span.is_none_or(|(from, until)| from <= until);
    if !ordered(spec.planner_down) || !ordered(spec.flood) {
        return Err("a span ends before it begins".into());
    }
    spec.lease_config().validate()
}

/// One arm: its name and its overrides.
#[derive(Clone, Debug, Deserialize)]
struct Arm {
    name: String,
    #[serde(flatten)]
    change: toml::Table,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    world: String,
    seeds: (u64, u64),
    #[serde(default)]
    base: toml::Table,
    #[serde(default)]
    sweep: BTreeMap<String, Vec<toml::Value>>,
    #[serde(default)]
    arm: Vec<Arm>,
}

/// One combination of an arm and swept values.
#[derive(Clone, Debug)]
pub struct Cell {
    pub arm: String,
    /// Swept parameters by name, as written in the file.
    pub point: BTreeMap<String, String>,
    pub spec: Spec,
}

#[derive(Clone, Debug)]
pub struct Experiment {
    pub name: String,
    pub seeds: (u64, u64),
    pub cells: Vec<Cell>,
}

impl Experiment {
    /// Parses an experiment file.
    ///
    /// # Errors
    /// Returns a one-line description of the first problem found.
    pub fn read(text: &str) -> Result<Self, String> {
        let file: File = toml::from_str(text).map_err(|e| e.to_string().trim().replace('\n', " "))?;
        let Some(world) = Spec::named(&file.world) else {
            return Err(format!("no world is named {:?}; list prints them", file.world));
        };
        let (from, until) = file.seeds;
        if from >= until {
            return Err("seeds: must be a start and a greater, exclusive end".into());
        }
        let mut arms = file.arm;
        if arms.is_empty() {
            arms.push(Arm { name: "all".into(), change: toml::Table::new() });
        }
        let names: std::collections::BTreeSet<&str> = arms.iter().map(|a| a.name.as_str()).collect();
        if names.len() < arms.len() {
            return Err("two arms have the same name".into());
        }
        let mut points = vec![toml::Table::new()];
        for (name, values) in &file.sweep {
            let with = |point: &toml::Table, value: &toml::Value| {
                let mut point = point.clone();
                point.insert(name.clone(), value.clone());
                point
            };
            points =
                points.iter().flat_map(|p| values.iter().map(|v| with(p, v)).collect::<Vec<_>>()).collect();
        }
        let runs = ((until - from) as usize).saturating_mul(points.len()).saturating_mul(arms.len());
        if runs == 0 || runs > MAX_RUNS {
            return Err(format!("{runs} runs: must be 1 to {MAX_RUNS}"));
        }
        let mut cells = Vec::new();
        for arm in &arms {
            for point in &points {
                let mut change = file.base.clone();
                change.extend(arm.change.clone());
                change.extend(point.clone());
                let in_arm = |e: String| format!("arm {:?}: {e}", arm.name);
                let change: Change =
                    change.try_into().map_err(|e| in_arm(e.to_string().trim().replace('\n', " ")))?;
                let mut spec = world.clone();
                change.apply(&mut spec).map_err(in_arm)?;
                let point = point.iter().map(|(k, v)| (k.clone(), v.to_string())).collect();
                cells.push(Cell { arm: arm.name.clone(), point, spec });
            }
        }
        Ok(Experiment { name: file.name, seeds: file.seeds, cells })
    }

    /// Returns the number of runs.
    pub fn runs(&self) -> usize {
        (self.seeds.1 - self.seeds.0) as usize * self.cells.len()
    }

    /// Plays all runs, `jobs` of them in parallel, and calls `done` after each. Rows are ordered by cell
    /// and seed, regardless of completion order.
    pub fn play(&self, jobs: usize, done: impl Fn() + Sync) -> Vec<Row> {
        let seeds = (self.seeds.1 - self.seeds.0) as usize;
        let (next, rows) = (AtomicUsize::new(0), Mutex::new(Vec::with_capacity(self.runs())));
        std::thread::scope(|scope| {
            for _ in 0..jobs.max(1) {
                scope.spawn(|| loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let Some(cell) = self.cells.get(n / seeds) else { return };
                    let seed = self.seeds.0 + (n % seeds) as u64;
                    let outcome = play(&cell.spec, seed, false);
                    let row = Row::new(&self.name, cell, seed, outcome, n % seeds == 0);
                    rows.lock().unwrap_or_else(PoisonError::into_inner).push((n, row));
                    done();
                });
            }
        });
        let mut rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
        rows.sort_by_key(|(n, _)| *n);
        rows.into_iter().map(|(_, row)| row).collect()
    }
}

/// Result of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub experiment: String,
    pub arm: String,
    pub point: BTreeMap<String, String>,
    pub seed: u64,
    pub figures: BTreeMap<String, f64>,
    /// The violation, if a rule was broken.
    pub broken: Option<String>,
    pub digest: String,
    /// Latencies by quantile, in milliseconds.
    pub latency_ms: Vec<(f64, f64)>,
    /// One entry per second, kept for the first seed of each cell only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seconds: Vec<Second>,
}

/// Name of each figure, its description, and whether higher is better.
pub const FIGURES: [(&str, &str, bool); 12] = [
    ("goodput", "worth answered within the aim, of what was asked inside the quotas", true),
    ("in_aim", "tries answered within the aim, of all", true),
    ("refused", "tries refused, of all", false),
    ("refused_with_room", "tries refused though the quota had room, of all", false),
    ("failed", "tries failed, of all", false),
    ("attempts", "attempts for each try", false),
    ("turned_away", "attempts that a full server turned away, for each try", false),
    ("p50_ms", "median of the time from first try to answer", false),
    ("p99_ms", "99th percentile of it", false),
    ("load_spread", "the busiest server's work over the mean", false),
    ("pushed_over", "cold servers that fell over", false),
    ("over_ceiling", "units beyond a hard ceiling, at most", false),
];

impl Row {
    fn new(experiment: &str, cell: &Cell, seed: u64, outcome: Outcome, first: bool) -> Self {
        let (s, record) = (&outcome.stats, outcome.record);
        let of_tries = |n: u64| n as f64 / s.asked.max(1) as f64;
        let values = [
            if s.worth_asked > 0.0 { s.worth_served / s.worth_asked } else { 1.0 },
            of_tries(s.in_aim),
            of_tries(s.refused),
            of_tries(s.refused_with_room),
            of_tries(s.failed),
            of_tries(s.attempts),
            of_tries(s.turned_away),
            record.quantile(0.5),
            record.quantile(0.99),
            record.spread(),
            s.collapsed as f64,
            s.max_over_ceiling,
        ];
        let figures = FIGURES.iter().zip(values).map(|((name, ..), v)| ((*name).to_string(), v)).collect();
        Row {
            experiment: experiment.into(),
            arm: cell.arm.clone(),
            point: cell.point.clone(),
            seed,
            figures,
            broken: outcome.violation.map(|v| v.to_string()),
            digest: outcome.digest,
            latency_ms: QUANTILES.iter().map(|q| (*q, record.quantile(*q))).collect(),
            seconds: if first { record.seconds } else { Vec::new() },
        }
    }
}

/// Parses rows from JSON lines.
///
/// # Errors
/// Returns the number of the first invalid line, and the reason.
pub fn read_rows(text: &str) -> Result<Vec<Row>, String> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines.map(|(n, line)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", n + 1))).collect()
}

/// Writes rows as CSV: experiment, arm, swept parameters, seed, figures, violation.
///
/// # Errors
/// Returns the writer's error.
pub fn write_csv(rows: &[Row], to: impl std::io::Write) -> Result<(), String> {
    let mut table = csv::Writer::from_writer(to);
    let Some(first) = rows.first() else { return Ok(()) };
    let mut head = vec!["experiment", "arm"];
    head.extend(first.point.keys().map(String::as_str));
    head.push("seed");
    head.extend(first.figures.keys().map(String::as_str));
    head.push("broken");
    let wrote = |done: csv::Result<()>| done.map_err(|e| e.to_string());
    wrote(table.write_record(&head))?;
    for row in rows {
        let mut line = vec![row.experiment.clone(), row.arm.clone()];
        line.extend(row.point.values().cloned());
        line.push(row.seed.to_string());
        line.extend(row.figures.values().map(f64::to_string));
        line.push(row.broken.clone().unwrap_or_default());
        wrote(table.write_record(&line))?;
    }
    table.flush().map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests;

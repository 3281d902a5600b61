//! Model checker of the request table, of client connections, of backend connections and of the drain: explores
//! every reachable state.
//!
//! Exit status: 0 if every rule holds in every state, 1 if a rule is broken (a shortest path to the violation is
//! printed step by step), 2 for an invalid command line.
#![forbid(unsafe_code)]

mod clients;
mod decision_module;
mod drains;
mod rules;
mod upstreams;
mod world;
mod worlds;

use clap::Parser;
use lifecycle::defects;
use serde::Serialize;
use stateright::{Checker, HasDiscoveries, Model};
use std::fmt::Debug;
use std::hash::Hash;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Parser)]
#[command(name = "model-check", version, about)]
struct Args {
    /// Explore the whole worlds (three attempts) instead of the small ones (two)
    #[arg(long)]
    whole: bool,
    /// Explore only the worlds whose names start with this prefix
    #[arg(long, value_name = "NAME")]
    world: Option<String>,
    /// Print the result as one JSON object on the last line
    #[arg(long)]
    json: bool,
    /// Plant a defect, which the exploration must find
    #[arg(long, value_name = "NAME")]
    defect: Option<String>,
    /// Print the names of the defects that can be planted
    #[arg(long)]
    list_defects: bool,
    /// Print the rules and their descriptions
    #[arg(long)]
    list_rules: bool,
    /// Number of worlds explored in parallel, 1 to 64; does not affect the result
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=64))]
    jobs: u8,
}

/// Result of the exploration of one world.
#[derive(Serialize)]
struct WorldReport {
    world: String,
    states: usize,
    transitions: usize,
    depth: usize,
    /// Whether the depth was limited, so that not every reachable state was explored.
    bounded: bool,
    seconds: f64,
    properties: usize,
    broken: Option<Trace>,
}

#[derive(Serialize)]
struct Trace {
    rule: String,
    steps: Vec<String>,
}

#[derive(Serialize)]
struct Report<'a> {
    whole: bool,
    defect: Option<&'a str>,
    worlds: Vec<WorldReport>,
    states: usize,
    transitions: usize,
    seconds: f64,
    peak_memory_mb: Option<u64>,
    ok: bool,
}

/// Explores a model breadth-first on one thread, so that the counts are the same in every run and a trace is as short
/// as possible.
fn explore<M>(name: &str, model: M, depth: Option<usize>) -> WorldReport
where
    M: Model + Clone + Send + Sync + 'static,
    M::State: Clone + Debug + Hash + PartialEq + Send + Sync + 'static,
    M::Action: Clone + Debug + PartialEq + Send + Sync + 'static,
{
    let started = Instant::now();
    let properties = model.properties().len();
    let run = |depth: Option<usize>| {
        let mut checker = model.clone().checker().threads(1).finish_when(HasDiscoveries::Any);
        if let Some(depth) = depth {
            checker = checker.target_max_depth(depth);
        }
        checker.spawn_bfs().join()
    };
    let mut checker = run(depth);
    // The library checks states in blocks and keeps the last violation. To find a shortest trace, restart with an
    // increasing depth limit until a violation is found.
    if checker.discoveries().values().next().is_some() {
        checker =
            (1..).map(|depth| run(Some(depth))).find(|c| !c.discoveries().is_empty()).unwrap_or(checker);
    }
    let mut violations: Vec<_> =
        checker.discoveries().into_iter().map(|(rule, path)| (rule, path.into_actions())).collect();
    violations.sort_by_key(|(rule, steps)| (steps.len(), *rule));
    let broken = violations.into_iter().next().map(|(rule, steps)| Trace {
        rule: rule.to_string(),
        steps: steps.iter().map(|a| model.format_action(a)).collect(),
    });
    WorldReport {
        world: name.to_string(),
        states: checker.unique_state_count(),
        transitions: checker.state_count(),
        depth: checker.max_depth(),
        bounded: depth.is_some(),
        seconds: started.elapsed().as_secs_f64(),
        properties,
        broken,
    }
}

/// Returns the peak resident memory of this process, if the system reports it.
fn peak_memory_mb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kb| kb / 1024)
}

type Job = (String, Box<dyn FnOnce(&str) -> WorldReport + Send>);

fn jobs(args: &Args) -> Vec<Job> {
    let mut jobs: Vec<Job> = Vec::new();
    let requests = if args.whole { 3 } else { 2 };
    let clients = clients::Clients { requests };
    jobs.push(("connection".into(), Box::new(move |name| explore(name, clients, None))));
    jobs.push(("drain".into(), Box::new(|name| explore(name, drains::Drains, None))));
    for (world, depth) in if args.whole { worlds::whole() } else { worlds::small() } {
        jobs.push((world.name.into(), Box::new(move |name| explore(name, world, depth))));
    }
    for (name, connections) in upstreams::worlds(args.whole) {
        jobs.push((name.into(), Box::new(move |name| explore(name, connections, None))));
    }
    let is_planted = |d: &defects::Defect| defects::active(*d);
    if upstreams::DEFECTS.iter().any(is_planted) {
        jobs.retain(|(name, _)| name.starts_with("upstream"));
    }
    jobs.retain(|(name, _)| args.world.as_ref().is_none_or(|w| name.starts_with(w.as_str())));
    jobs
}

fn main() -> ExitCode {
    let args = Args::parse();
    if args.list_defects {
        defects::ALL.iter().for_each(|(_, name, description)| println!("{name:26} {description}"));
        return ExitCode::SUCCESS;
    }
    if args.list_rules {
        rules::RULES.iter().for_each(|r| println!("{:36} {}", r.name, r.description));
        clients::RULES.iter().for_each(|(name, description, _)| println!("{name:36} {description}"));
        drains::RULES.iter().for_each(|(name, description, _)| println!("{name:36} {description}"));
        upstreams::RULES.iter().for_each(|(name, description, _)| println!("{name:36} {description}"));
        return ExitCode::SUCCESS;
    }
    if let Some(defect_name) = &args.defect {
        let Some((defect, ..)) = defects::ALL.iter().find(|(_, name, _)| name == defect_name) else {
            eprintln!("model-check: no defect is named {defect_name:?}; --list-defects prints the names");
            return ExitCode::from(2);
        };
        defects::plant(Some(*defect));
    }
    let pending_jobs = jobs(&args);
    if pending_jobs.is_empty() {
        eprintln!("model-check: no world's name starts with {:?}", args.world.unwrap_or_default());
        return ExitCode::from(2);
    }
    let started = Instant::now();
    let order: Vec<String> = pending_jobs.iter().map(|(name, _)| name.clone()).collect();
    let has_defect = args.defect.is_some();
    // With a defect, explore in order, so that the first world that shows it is the same in every run.
    let jobs = if has_defect { 1 } else { args.jobs };
    let queue = Mutex::new(pending_jobs.into_iter());
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let job = queue.lock().expect("not poisoned").next();
                let Some((name, run)) = job else { return };
                let result = run(&name);
                let mut results = results.lock().expect("not poisoned");
                results.push(result);
                // It is enough to find a planted defect once.
                if has_defect && results.iter().any(|s: &WorldReport| s.broken.is_some()) {
                    return;
                }
            });
        }
    });
    let mut worlds = results.into_inner().expect("not poisoned");
    worlds.sort_by_key(|s| order.iter().position(|name| *name == s.world));
    for s in &worlds {
        let extent = if s.bounded { "deep at most" } else { "deep, to the last state" };
        println!(
            "{:12} {:9} states, {:9} transitions, {:3} {extent}, {} properties, {:.1} s",
            s.world, s.states, s.transitions, s.depth, s.properties, s.seconds
        );
    }
    // The shortest trace to a broken rule in any world.
    let broken = worlds.iter().filter_map(|s| Some((s, s.broken.as_ref()?)));
    if let Some((result, trace)) = broken.min_by_key(|(_, t)| t.steps.len()) {
        println!("\nBROKEN in {}: {}", result.world, trace.rule);
        trace.steps.iter().enumerate().for_each(|(n, step)| println!("{:3}. {step}", n + 1));
    }
    let ok = worlds.iter().all(|s| s.broken.is_none());
    let report = Report {
        whole: args.whole,
        defect: args.defect.as_deref(),
        states: worlds.iter().map(|s| s.states).sum(),
        transitions: worlds.iter().map(|s| s.transitions).sum(),
        worlds,
        seconds: Duration::as_secs_f64(&started.elapsed()),
        peak_memory_mb: peak_memory_mb(),
        ok,
    };
    if args.json {
        println!("{}", serde_json::to_string(&report).expect("plain figures"));
    } else {
        let memory = report.peak_memory_mb.map_or("?".into(), |m| m.to_string());
        println!(
            "{}: {} states, {} transitions, {:.1} s, {memory} MB",
            if ok { "every rule holds" } else { "a rule is broken" },
            report.states,
            report.transitions,
            report.seconds
        );
    }
    if ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

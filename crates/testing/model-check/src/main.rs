//! Explores every reachable state of the life of a request, of a client's connection and of those to a backend.
//!
//! Exit status: 0 if every rule holds in every state, 1 if one is broken (its shortest way there is printed as
//! steps), 2 for a command line that won't do.
#![forbid(unsafe_code)]

mod clients;
mod drains;
mod mind;
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
    /// Explore the whole worlds (three attempts) in place of the small ones (two)
    #[arg(long)]
    whole: bool,
    /// Only the worlds whose names begin so
    #[arg(long, value_name = "NAME")]
    world: Option<String>,
    /// Print the result as one JSON object on the last line
    #[arg(long)]
    json: bool,
    /// Plant a defect: the exploration must find it
    #[arg(long, value_name = "NAME")]
    defect: Option<String>,
    /// Print the names of the defects that can be planted
    #[arg(long)]
    list_defects: bool,
    /// Print the rules in words
    #[arg(long)]
    list_rules: bool,
    /// Worlds explored at a time, 1 to 64; the result does not depend on it
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=64))]
    jobs: u8,
}

/// What was seen of a world.
#[derive(Serialize)]
struct Seen {
    world: String,
    states: usize,
    transitions: usize,
    depth: usize,
    /// Whether the depth was a limit, not the end of what there is.
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
    worlds: Vec<Seen>,
    states: usize,
    transitions: usize,
    seconds: f64,
    peak_memory_mb: Option<u64>,
    ok: bool,
}

/// Explores by breadth on one thread, so that counts are the same at every run and a trace is a shortest one.
fn explore<M>(name: &str, model: M, depth: Option<usize>) -> Seen
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
    // The library looks at states by the block and keeps the last that breaks a rule: from the top once more,
    // a step deeper each time, the first to be found is a shortest.
    if checker.discoveries().values().next().is_some() {
        checker =
            (1..).map(|depth| run(Some(depth))).find(|c| !c.discoveries().is_empty()).unwrap_or(checker);
    }
    let mut found: Vec<_> =
        checker.discoveries().into_iter().map(|(rule, path)| (rule, path.into_actions())).collect();
    found.sort_by_key(|(rule, steps)| (steps.len(), *rule));
    let broken = found.into_iter().next().map(|(rule, steps)| Trace {
        rule: rule.to_string(),
        steps: steps.iter().map(|a| model.format_action(a)).collect(),
    });
    Seen {
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

/// The most memory that this process has held, where the system tells.
fn peak_memory_mb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kb| kb / 1024)
}

type Job = (String, Box<dyn FnOnce(&str) -> Seen + Send>);

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
    let theirs = |d: &defects::Defect| defects::active(*d);
    if upstreams::DEFECTS.iter().any(theirs) {
        jobs.retain(|(name, _)| name.starts_with("upstream"));
    }
    jobs.retain(|(name, _)| args.world.as_ref().is_none_or(|w| name.starts_with(w.as_str())));
    jobs
}

fn main() -> ExitCode {
    let args = Args::parse();
    if args.list_defects {
        defects::ALL.iter().for_each(|(_, name, what)| println!("{name:26} {what}"));
        return ExitCode::SUCCESS;
    }
    if args.list_rules {
        rules::RULES.iter().for_each(|r| println!("{:36} {}", r.name, r.words));
        clients::RULES.iter().for_each(|(name, words, _)| println!("{name:36} {words}"));
        drains::RULES.iter().for_each(|(name, words, _)| println!("{name:36} {words}"));
        upstreams::RULES.iter().for_each(|(name, words, _)| println!("{name:36} {words}"));
        return ExitCode::SUCCESS;
    }
    if let Some(wanted) = &args.defect {
        let Some((defect, ..)) = defects::ALL.iter().find(|(_, name, _)| name == wanted) else {
            eprintln!("model-check: no defect is named {wanted:?}; --list-defects prints the names");
            return ExitCode::from(2);
        };
        defects::plant(Some(*defect));
    }
    let todo = jobs(&args);
    if todo.is_empty() {
        eprintln!("model-check: no world's name begins with {:?}", args.world.unwrap_or_default());
        return ExitCode::from(2);
    }
    let started = Instant::now();
    let order: Vec<String> = todo.iter().map(|(name, _)| name.clone()).collect();
    let defect = args.defect.is_some();
    // In order then, so that the first world that shows it is the same at every run.
    let jobs = if defect { 1 } else { args.jobs };
    let queue = Mutex::new(todo.into_iter());
    let seen = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let job = queue.lock().expect("not poisoned").next();
                let Some((name, run)) = job else { return };
                let result = run(&name);
                let mut seen = seen.lock().expect("not poisoned");
                seen.push(result);
                // A planted defect is to be found once.
                if defect && seen.iter().any(|s: &Seen| s.broken.is_some()) {
                    return;
                }
            });
        }
    });
    let mut worlds = seen.into_inner().expect("not poisoned");
    worlds.sort_by_key(|s| order.iter().position(|name| *name == s.world));
    for s in &worlds {
        let end = if s.bounded { "deep at most" } else { "deep, to the last state" };
        println!(
            "{:12} {:9} states, {:9} transitions, {:3} {end}, {} properties, {:.1} s",
            s.world, s.states, s.transitions, s.depth, s.properties, s.seconds
        );
    }
    // The shortest way to a broken rule, over all worlds.
    let broken = worlds.iter().filter_map(|s| Some((s, s.broken.as_ref()?)));
    if let Some((seen, trace)) = broken.min_by_key(|(_, t)| t.steps.len()) {
        println!("\nBROKEN in {}: {}", seen.world, trace.rule);
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

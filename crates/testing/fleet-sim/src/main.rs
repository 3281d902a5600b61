//! `fleet-sim`: simulates whole fleets of gateways on a virtual clock.
//!
//! Exit status: 0 if every rule held, 1 if one was broken, 2 for an invalid command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use fleet_sim::compare::{compare, Difference};
use fleet_sim::experiment::{read_rows, write_csv, Experiment, Row, FIGURES};
use fleet_sim::members;
use fleet_sim::shrink::shrink;
use fleet_sim::story::Story;
use fleet_sim::world::play_with_cuts;
use fleet_sim::{days, defects, play, report, spec, Spec, Stats, Violation};
use indicatif::ProgressBar;
use serde_json::json;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

#[derive(Parser)]
#[command(name = "fleet-sim", version, about = "Whole fleets of gateways on a virtual clock")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Prints the worlds
    List,
    /// Prints the defects that can be planted, and the world that reveals each
    ListDefects,
    /// Plays many seeds and checks every rule
    Explore {
        /// Range of seeds, end exclusive: 0..1000
        #[arg(long, default_value = "0..100", value_parser = range)]
        seeds: (u64, u64),
        /// A single world; by default, the worlds with faults and the calm one in turn
        #[arg(long)]
        world: Option<String>,
        /// Plant this defect: a rule must be broken
        #[arg(long)]
        defect: Option<String>,
        /// Print the figures as one JSON object on the last line
        #[arg(long)]
        json: bool,
        /// Number of parallel runs; 0 for one per core
        #[arg(long, default_value_t = 0)]
        jobs: usize,
    },
    /// Plays one seed and prints what happened
    Replay {
        seed: u64,
        #[arg(long, default_value = "faults")]
        world: String,
        #[arg(long)]
        defect: Option<String>,
        /// Print only lines that contain this text, such as a request id
        #[arg(long)]
        only: Option<String>,
        /// Number of story lines to print, from the end
        #[arg(long, default_value_t = 60)]
        lines: usize,
    },
    /// Removes faults, customers and time while the same rule is broken, and prints what is left
    Shrink {
        seed: u64,
        #[arg(long, default_value = "faults")]
        world: String,
        #[arg(long)]
        defect: Option<String>,
        /// Number of story lines to print, from the end
        #[arg(long, default_value_t = 60)]
        lines: usize,
        /// Write the shrunk run as a story file
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Replays a story file and prints what happens; exit status 1 if its rule is broken
    Story {
        file: PathBuf,
        /// Do not plant its defect
        #[arg(long)]
        mended: bool,
        #[arg(long, default_value_t = 60)]
        lines: usize,
    },
    /// Runs an experiment file and writes rows as JSON lines and CSV to a folder
    Run {
        file: PathBuf,
        /// Output folder; created if missing
        #[arg(long)]
        out: PathBuf,
        /// Number of parallel runs; 0 for one per core
        #[arg(long, default_value_t = 0)]
        jobs: usize,
        /// Show no progress bar
        #[arg(long)]
        quiet: bool,
    },
    /// Writes report.html, which is self-contained, and the plots as SVG from a folder of rows
    Report { dir: PathBuf },
    /// Compares two folders of rows run by run; exit status 1 if the second is worse beyond the interval
    Compare {
        first: PathBuf,
        second: PathBuf,
        /// The arm of the first set, and of the second, if there are several
        #[arg(long)]
        arm: Option<String>,
        #[arg(long)]
        second_arm: Option<String>,
        /// The figures that determine the exit status
        #[arg(long, value_delimiter = ',', default_value = "goodput")]
        judge: Vec<String>,
        /// Fraction of the first set's mean by which the second may be worse, 0 to 1
        #[arg(long, default_value_t = 0.0)]
        margin: f64,
        #[arg(long)]
        json: bool,
    },
    /// Runs the same scenarios with real processes on loopback and in virtual time; exit status 1 if they
    /// differ too much
    Days {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A single scenario; by default calm, crash, cold and flood
        #[arg(long)]
        day: Option<String>,
        /// Duration of each real run in seconds, 10 to 600
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(10..=600))]
        seconds: u64,
        /// Plant this defect in the simulated gateways: the two must differ
        #[arg(long)]
        defect: Option<String>,
        #[arg(long)]
        json: bool,
    },
    /// Plays a world with the planners' placement and without it, over the same seeds
    Placement {
        #[arg(long, default_value = "0..20", value_parser = range)]
        seeds: (u64, u64),
        #[arg(long, default_value = "skewed")]
        world: String,
    },
    /// Plays a world in which gateways restart: with their snapshots, without, and with no gateway killed
    Comeback {
        #[arg(long, default_value = "0..40", value_parser = range)]
        seeds: (u64, u64),
        #[arg(long, default_value = "blackout")]
        world: String,
    },
    /// Runs random scenarios of the membership view: each must end with one view within its bound
    Members {
        #[arg(long, default_value = "0..100", value_parser = range)]
        seeds: (u64, u64),
        /// Number of members, 2 to 5000
        #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u64).range(2..=5000))]
        size: u64,
        /// Print the figures as one JSON object on the last line
        #[arg(long)]
        json: bool,
        /// Number of parallel runs; 0 for one per core
        #[arg(long, default_value_t = 0)]
        jobs: usize,
    },
}

fn range(text: &str) -> Result<(u64, u64), String> {
    let numbers = text.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    numbers.filter(|(a, b)| a < b).ok_or_else(|| "must be FROM..TO, with FROM below TO".into())
}

/// Prints a line, ignoring errors such as a closed pipe.
fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Runs random membership scenarios in parallel.
fn explore_members((from, to): (u64, u64), size: usize, jobs: usize) -> Vec<members::RandomRun> {
    let (next, all) = (AtomicU64::new(from), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..job_count(jobs) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= to {
                    return;
                }
                let played = members::random(size, seed);
                all.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(played);
            });
        }
    });
    let mut all = all.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    all.sort_by_key(|p| p.seed);
    all
}

fn members_figures(all: &[members::RandomRun], json: bool) -> ExitCode {
    let broken: Vec<_> = all.iter().filter(|p| p.settled_ms.is_none() && !p.too_few).collect();
    let too_few = all.iter().filter(|p| p.too_few).count();
    for played in broken.iter().take(10) {
        print_line(&format!(
            "BROKEN: seed {}: no one view within the bound: {:?}",
            played.seed, played.faults
        ));
        played.wrong.iter().take(8).for_each(|what| print_line(&format!("  {what}")));
    }
    let mut times: Vec<u64> = all.iter().filter_map(|p| p.settled_ms).collect();
    times.sort_unstable();
    let at = |part: f64| times.get((times.len() as f64 * part) as usize).or(times.last()).copied();
    let mean = |of: fn(&members::RandomRun) -> f64| all.iter().map(of).sum::<f64>() / all.len().max(1) as f64;
    let (datagrams, bytes) = (mean(|p| p.datagrams_a_second), mean(|p| p.bytes_a_second));
    if json {
        print_line(&json!({
            "days": all.len(), "broken": broken.len(), "too_few": too_few, "settled_ms_p50": at(0.5), "settled_ms_p99": at(0.99),
            "settled_ms_most": times.last(), "datagrams_a_second": datagrams, "bytes_a_second": bytes,
        })
        .to_string());
    } else {
        print_line(&format!(
            "{} days, {} without one view in time, {too_few} with fewer than an eighth left, who say so; settled after {:?} ms (p50), {:?} (p99), {:?} at most; \
             {datagrams:.1} datagrams, {bytes:.0} bytes a second a member",
            all.len(),
            broken.len(),
            at(0.5),
            at(0.99),
            times.last()
        ));
    }
    ExitCode::from(u8::from(!broken.is_empty()))
}

fn command_error(what: &str) -> ExitCode {
    eprintln!("fleet-sim: {what}");
    ExitCode::from(2)
}

/// Returns the named world, or the default worlds in turn if no name is given.
fn worlds(name: Option<&str>) -> Option<Vec<Spec>> {
    match name {
        Some(name) => Spec::named(name).map(|s| vec![s]),
        None => ["faults", "planners", "mischief", "calm", "planners", "mischief", "fleet"]
            .map(Spec::named)
            .into_iter()
            .collect(),
    }
}

/// Totals over a range of seeds.
#[derive(Default)]
struct Sum {
    runs: u64,
    broken: Vec<(u64, &'static str, Violation)>,
    virtual_seconds: f64,
    steps: u64,
    asked: u64,
    max_over_ceiling: f64,
}

fn explore(worlds: &[Spec], (from, to): (u64, u64), jobs: usize, stop_at_first: bool) -> Sum {
    let (next, sum) = (AtomicU64::new(from), Mutex::new(Sum::default()));
    let jobs = job_count(jobs);
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                let Some(world) = worlds.get((seed % worlds.len() as u64) as usize).filter(|_| seed < to)
                else {
                    return;
                };
                let outcome = play(world, seed, false);
                let mut sum = sum.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                sum.runs += 1;
                sum.virtual_seconds += outcome.time as f64 / 1e9;
                sum.steps += outcome.steps;
                sum.asked += outcome.stats.asked;
                sum.max_over_ceiling = sum.max_over_ceiling.max(outcome.stats.max_over_ceiling);
                if let Some(violation) = outcome.violation {
                    sum.broken.push((seed, world.name, violation));
                    if stop_at_first {
                        next.store(to, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let mut sum = sum.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    sum.broken.sort_by_key(|b| b.0);
    sum
}

/// Returns the number of parallel runs: one per core unless specified.
fn job_count(jobs: usize) -> usize {
    if jobs > 0 {
        return jobs;
    }
    std::thread::available_parallelism().map_or(1, usize::from)
}

fn exit_code(done: Result<bool, String>) -> ExitCode {
    match done {
        Ok(good) => ExitCode::from(u8::from(!good)),
        Err(what) => command_error(&what),
    }
}

fn with_path(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

fn run(file: &Path, out: &Path, jobs: usize, quiet: bool) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(with_path(file))?;
    let experiment = Experiment::read(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    std::fs::create_dir_all(out).map_err(with_path(out))?;
    let bar = if quiet { ProgressBar::hidden() } else { ProgressBar::new(experiment.runs() as u64) };
    let rows = experiment.play(job_count(jobs), || bar.inc(1));
    bar.finish_and_clear();
    let mut lines = String::new();
    for row in &rows {
        lines.push_str(&serde_json::to_string(row).map_err(|e| e.to_string())?);
        lines.push('\n');
    }
    let (rows_file, table) = (out.join("rows.jsonl"), out.join("rows.csv"));
    std::fs::write(&rows_file, lines).map_err(with_path(&rows_file))?;
    write_csv(&rows, std::fs::File::create(&table).map_err(with_path(&table))?)?;
    std::fs::write(out.join("experiment.toml"), text).map_err(with_path(out))?;
    let broken = rows.iter().filter(|r| r.broken.is_some()).count();
    print_line(&format!("{} runs, {broken} with a broken rule, in {}", rows.len(), out.display()));
    Ok(())
}

fn rows(dir: &Path) -> Result<Vec<Row>, String> {
    let file = dir.join("rows.jsonl");
    let text = std::fs::read_to_string(&file).map_err(with_path(&file))?;
    read_rows(&text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Reads the rows of a folder that belong to this arm, if one is named.
fn read(dir: &Path, arm: Option<&String>) -> Result<Vec<Row>, String> {
    let rows: Vec<Row> = rows(dir)?.into_iter().filter(|r| arm.is_none_or(|a| r.arm == *a)).collect();
    if rows.is_empty() {
        return Err(format!("{}: no row, or none of this arm", dir.display()));
    }
    Ok(rows)
}

fn report(dir: &Path) -> Result<(), String> {
    let rows = rows(dir)?;
    let plots = report::plots(&rows).map_err(|e| e.to_string())?;
    for (name, svg) in &plots {
        let file = dir.join(format!("{name}.svg"));
        std::fs::write(&file, svg).map_err(with_path(&file))?;
    }
    let file = dir.join("report.html");
    std::fs::write(&file, report::page(&rows, &plots)).map_err(with_path(&file))?;
    print_line(&format!("{} with {} plots", file.display(), plots.len()));
    Ok(())
}

/// Runs a scenario both ways; returns whether the results agree.
fn compare_day(day: &str, seed: u64, seconds: u64, json: bool) -> Result<bool, String> {
    let Some(spec) = Spec::named(day).filter(|_| days::DAYS.contains(&day)) else {
        return Err(format!("no scenario is named {day:?}; the names are {}", days::DAYS.join(", ")));
    };
    let spec = Spec { seconds, ..spec };
    let real = days::real(&spec, seed)?;
    let simulated = days::simulated(&spec, seed..seed + 20);
    let mut good = true;
    let mut figures = serde_json::Map::new();
    for ((name, r), (_, s)) in real.named().into_iter().zip(simulated.named()) {
        let apart = (r - s).abs() > days::TOLERANCE;
        good &= !apart;
        let verdict = if apart { "  APART" } else { "" };
        print_line(&format!("{day:6} {name:10} real {r:.3}  simulated {s:.3}{verdict}"));
        figures.insert(name.into(), json!([r, s]));
    }
    if json {
        print_line(&json!({ "day": day, "seed": seed, "figures": figures, "ok": good }).to_string());
    }
    Ok(good)
}

/// Replays a story; returns whether every rule held.
fn story(file: &Path, mended: bool, lines: usize) -> Result<bool, String> {
    let text = std::fs::read_to_string(file).map_err(with_path(file))?;
    let story = Story::read(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    let defect = story.defect.as_deref().filter(|_| !mended);
    if !defects::plant(defect) {
        return Err(format!("{}: unknown defect", file.display()));
    }
    let Some(outcome) = story.play(true) else { return Err("the story's world does not exist".into()) };
    let all = &outcome.story;
    all[all.len().saturating_sub(lines)..].iter().for_each(|line| print_line(line));
    match &outcome.violation {
        Some(violation) => print_line(&format!("BROKEN: {violation}")),
        None => print_line("every rule held"),
    }
    Ok(outcome.violation.is_none())
}

/// Prints the differences; returns whether no judged figure is worse.
fn print_differences(
    first: &[Row],
    second: &[Row],
    judge: &[String],
    margin: f64,
    json: bool,
) -> Result<bool, String> {
    if let Some(name) = judge.iter().find(|j| FIGURES.iter().all(|(figure, ..)| figure != j)) {
        return Err(format!("no figure is named {name:?}"));
    }
    let (first, second): (Vec<_>, Vec<_>) = (first.iter().collect(), second.iter().collect());
    let all = compare(&first, &second, margin)?;
    let judged = |d: &Difference| judge.iter().any(|j| j == d.figure);
    for d in &all {
        let verdict = if d.worse && judged(d) { "  WORSE" } else { "" };
        let (low, high) = (d.change.low, d.change.high);
        print_line(&format!(
            "{:18} {:10.4} {:10.4}  by {:+.4} [{low:+.4}, {high:+.4}]{verdict}",
            d.figure, d.first, d.second, d.change.mean
        ));
    }
    let good = all.iter().all(|d| !(d.worse && judged(d)));
    if json {
        let of = |d: &Difference| (d.figure.to_string(), json!([d.change.mean, d.change.low, d.change.high]));
        let all: serde_json::Map<String, serde_json::Value> = all.iter().map(of).collect();
        print_line(&json!({ "differences": all, "no_worse": good }).to_string());
    }
    Ok(good)
}

fn main() -> ExitCode {
    match Args::parse().command {
        Command::List => {
            spec::ALL.iter().for_each(|s| print_line(&format!("{:10} {}", s.name, s.about)));
            ExitCode::SUCCESS
        }
        Command::ListDefects => {
            defects::ALL.iter().for_each(|(name, world)| print_line(&format!("{name:26} {world}")));
            ExitCode::SUCCESS
        }
        Command::Explore { seeds, world, defect, json, jobs } => {
            let known = defects::ALL.iter().find(|(name, _)| Some(*name) == defect.as_deref());
            if defect.is_some() && known.is_none() {
                return command_error("unknown defect; list-defects prints the names");
            }
            let world = world.as_deref().or(known.map(|(_, world)| *world));
            let Some(worlds) = worlds(world) else {
                return command_error("unknown world; list prints the names");
            };
            defects::plant(defect.as_deref());
            let begun = Instant::now();
            let sum = explore(&worlds, seeds, jobs, defect.is_some());
            let took = begun.elapsed().as_secs_f64();
            for (seed, world, violation) in sum.broken.iter().take(10) {
                print_line(&format!("BROKEN: seed {seed} of {world}: {violation}"));
            }
            let speed = (sum.virtual_seconds / took).round();
            if json {
                let figures = json!({
                    "runs": sum.runs, "violations": sum.broken.len(), "virtual_seconds": sum.virtual_seconds.round(),
                    "speed": speed, "steps": sum.steps, "asked": sum.asked, "most_over": sum.max_over_ceiling,
                });
                print_line(&figures.to_string());
            } else {
                let (runs, broken) = (sum.runs, sum.broken.len());
                print_line(&format!("{runs} runs, {broken} with a broken rule, {speed} times real time"));
            }
            ExitCode::from(u8::from(!sum.broken.is_empty()))
        }
        Command::Replay { seed, world, defect, only, lines } => {
            let Some(spec) = Spec::named(&world) else { return command_error("unknown world") };
            if !defects::plant(defect.as_deref()) {
                return command_error("unknown defect");
            }
            let outcome = play(&spec, seed, true);
            let wanted = |line: &&String| only.as_ref().is_none_or(|only| line.contains(only));
            let story: Vec<&String> = outcome.story.iter().filter(wanted).collect();
            story[story.len().saturating_sub(lines)..].iter().for_each(|line| print_line(line));
            print_line(&format!("{} steps, digest {}", outcome.steps, outcome.digest));
            if let Some(violation) = outcome.violation {
                print_line(&format!("BROKEN: {violation}"));
                return ExitCode::FAILURE;
            }
            ExitCode::SUCCESS
        }
        Command::Story { file, mended, lines } => exit_code(story(&file, mended, lines)),
        Command::Shrink { seed, world, defect, lines, out } => {
            let Some(spec) = Spec::named(&world) else { return command_error("unknown world") };
            if !defects::plant(defect.as_deref()) {
                return command_error("unknown defect");
            }
            let Some(small) = shrink(&spec, seed) else {
                print_line("every rule held: there is nothing to shrink");
                return ExitCode::SUCCESS;
            };
            let outcome = play_with_cuts(&small.spec, seed, true, &small.cuts);
            let story = &outcome.story;
            story[story.len().saturating_sub(lines)..].iter().for_each(|line| print_line(line));
            print_line(&format!(
                "{} of {} customers and {} faults are left, {} tries, in {} plays",
                small.customers_left, spec.customers, small.faults_left, outcome.stats.asked, small.plays
            ));
            if let Some(file) = out {
                let story = Story::new(&small.spec, seed, &small.cuts, &small.violation, defect.as_deref());
                let wrote =
                    story.write().and_then(|text| std::fs::write(&file, text).map_err(with_path(&file)));
                if let Err(what) = wrote {
                    return command_error(&what);
                }
            }
            print_line(&format!("BROKEN: {}", small.violation));
            ExitCode::FAILURE
        }
        Command::Run { file, out, jobs, quiet } => exit_code(run(&file, &out, jobs, quiet).map(|()| true)),
        Command::Report { dir } => exit_code(report(&dir).map(|()| true)),
        Command::Compare { first, second, arm, second_arm, judge, margin, json } => {
            let second_arm = second_arm.as_ref().or(arm.as_ref());
            let done = read(&first, arm.as_ref()).and_then(|a| Ok((a, read(&second, second_arm)?)));
            exit_code(done.and_then(|(a, b)| print_differences(&a, &b, &judge, margin, json)))
        }
        Command::Days { seed, day, seconds, defect, json } => {
            if !defects::plant(defect.as_deref()) {
                return command_error("unknown defect");
            }
            let names: Vec<&str> = day.as_deref().map_or(days::DAYS.to_vec(), |day| vec![day]);
            exit_code(
                names.iter().try_fold(true, |good, day| Ok(compare_day(day, seed, seconds, json)? && good)),
            )
        }
        Command::Members { seeds, size, json, jobs } => {
            members_figures(&explore_members(seeds, size as usize, jobs), json)
        }
        Command::Comeback { seeds, world } => {
            let Some(with) = Spec::named(&world) else { return command_error("unknown world") };
            let without = Spec { snapshot_every: None, ..with.clone() };
            let calm = Spec { blackouts: [None; 2], power_cut: None, fault_every: None, ..with.clone() };
            let mut broken = 0;
            for (name, spec) in [("with snapshots", &with), ("without", &without), ("nobody killed", &calm)] {
                let mut sum = Stats::default();
                for seed in seeds.0..seeds.1 {
                    let outcome = play(spec, seed, false);
                    broken += usize::from(outcome.violation.is_some());
                    let s = outcome.stats;
                    sum.asked += s.asked;
                    sum.refused += s.refused;
                    sum.refused_with_room += s.refused_with_room;
                    sum.collapsed += s.collapsed;
                    sum.sent_units += s.sent_units;
                    sum.units_over_quota += s.units_over_quota;
                    sum.worth_asked += s.worth_asked;
                    sum.worth_served += s.worth_served;
                }
                let tries = sum.asked.max(1) as f64;
                print_line(&format!(
                    "{name:14} worth served {:.4}, units beyond quotas {:.4} of those sent, refused with room {:.4}, cold servers pushed over {}",
                    sum.worth_served / sum.worth_asked.max(1e-9),
                    sum.units_over_quota / sum.sent_units.max(1e-9),
                    sum.refused_with_room as f64 / tries,
                    sum.collapsed
                ));
            }
            ExitCode::from(u8::from(broken > 0))
        }
        Command::Placement { seeds, world } => {
            let Some(with) = Spec::named(&world) else { return command_error("unknown world") };
            let without = Spec { placement: false, ..with.clone() };
            let mut sums = [Stats::default(); 2];
            for seed in seeds.0..seeds.1 {
                for (sum, spec) in sums.iter_mut().zip([&with, &without]) {
                    let s = play(spec, seed, false).stats;
                    sum.asked += s.asked;
                    sum.in_aim += s.in_aim;
                    sum.turned_away += s.turned_away;
                    sum.refused += s.refused;
                    sum.refused_with_room += s.refused_with_room;
                    sum.mean_queue += s.mean_queue / (seeds.1 - seeds.0) as f64;
                }
            }
            for (name, s) in ["with", "without"].iter().zip(sums) {
                let share = |n: u64| n as f64 / s.asked.max(1) as f64;
                print_line(&format!(
                    "{name:8} in aim {:.4}, refused {:.4}, refused with room {:.4}, turned away {:.4}, before it {:.3}",
                    share(s.in_aim),
                    share(s.refused),
                    share(s.refused_with_room),
                    share(s.turned_away),
                    s.mean_queue
                ));
            }
            ExitCode::SUCCESS
        }
    }
}

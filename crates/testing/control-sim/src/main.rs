//! Runs seeds: `control-sim --seeds 1000`, `control-sim --seed 7 --story`, `control-sim --defect wiped-votes`.
#![forbid(unsafe_code)]

use control_sim::{play, play_exchanges, play_pairs, play_replaced_learners, Defect, Story, Violation};
use std::ops::Range;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const NANOS_PER_MILLI: u64 = 1_000_000;

fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this help and exit");
    options.optflag("l", "list-defects", "list the defects that can be planted and exit");
    options.optopt("s", "seed", "the first seed (default 0)", "N");
    options.optopt("n", "seeds", "how many seeds to simulate (default 1)", "N");
    options.optopt("j", "jobs", "seeds simulated in parallel (default 1)", "N");
    options.optflag("", "pairs", "run only long workloads that replace several machines at a time");
    options.optflag(
        "",
        "exchanges",
        "run only long workloads that exchange two or three of three machines at a time",
    );
    options.optflag(
        "",
        "replacements",
        "run only long workloads that replace hundreds of machines without a disk",
    );
    options.optopt("d", "defect", "plant this defect; exit status 1 means that it was found", "NAME");
    options.optflag("", "growth", "print how sizes and costs grow with the fleet and exit");
    options.optflag("", "story", "print every event, even if no rule was broken");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("control-sim: {e}");
            return ExitCode::FAILURE;
        }
    };
    if matches.opt_present("h") {
        print!(
            "{}",
            options.usage(
                "control-sim: the control plane on a simulated network.\n\nUsage: control-sim [options]"
            )
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("l") {
        Defect::all().for_each(|d| println!("{}", d.name()));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("growth") {
        control_sim::growth::table().iter().for_each(|l| println!("{l}"));
        return ExitCode::SUCCESS;
    }
    let number = |name: &str, default: u64| matches.opt_get_default(name, default);
    let (Ok(first), Ok(count)) = (number("seed", 0), number("seeds", 1)) else {
        eprintln!("control-sim: --seed and --seeds take a number");
        return ExitCode::FAILURE;
    };
    let defect = matches.opt_str("defect");
    let planted = defect.as_ref().and_then(|name| Defect::all().find(|d| d.name() == *name));
    if defect.is_some() && planted.is_none() {
        eprintln!("control-sim: unknown defect; --list-defects lists them");
        return ExitCode::FAILURE;
    }
    let Ok(jobs) = number("jobs", 1) else {
        eprintln!("control-sim: --jobs takes a number");
        return ExitCode::FAILURE;
    };
    let seeds = (first..first.saturating_add(count), matches.opt_present("story"));
    let play_fn: PlayFn = if matches.opt_present("pairs") {
        play_pairs
    } else if matches.opt_present("exchanges") {
        play_exchanges
    } else if matches.opt_present("replacements") {
        play_replaced_learners
    } else {
        play
    };
    match run_seeds(seeds, planted, jobs.max(1), play_fn) {
        Ok(totals) => {
            println!("{count} seeds from {first}: no rule broken; {}", totals.summary());
            ExitCode::SUCCESS
        }
        Err((seed, broken)) => {
            broken.1.lines.iter().for_each(|l| println!("{l}"));
            println!("seed {seed}: {}", broken.0);
            ExitCode::FAILURE
        }
    }
}

type Failure = (u64, Box<(Violation, Story)>);
type PlayFn = fn(u64, Option<Defect>) -> Result<Story, Box<(Violation, Story)>>;

/// Totals over all stories.
#[derive(Default)]
struct Totals {
    steps: u64,
    acknowledged: u64,
    trial: [u64; 3],
    long_runs: u64,
    acknowledged_again: u64,
    refused: u64,
    exchanges: u64,
    replaced_learners: u64,
    minutes: f64,
    recovery_times: Vec<u64>,
}

impl Totals {
    fn add(&mut self, story: &Story) {
        self.steps += story.steps;
        self.acknowledged += u64::from(story.acknowledged);
        let (full, paced, refused) = story.trial;
        self.trial.iter_mut().zip([full, paced, refused]).for_each(|(sum, n)| *sum += u64::from(n));
        self.long_runs += u64::from(story.duration > 0);
        self.acknowledged_again += u64::from(story.acknowledged_again);
        self.refused += u64::from(story.refused);
        self.exchanges += u64::from(story.exchanges);
        self.replaced_learners += u64::from(story.replaced_learners);
        self.minutes += story.duration as f64 / 60e9;
        self.recovery_times.extend(&story.recovery_times);
    }

    /// Formats the quantiles of the time from the end of a fault to the first answered read.
    fn recovery(&self) -> String {
        let mut times = self.recovery_times.clone();
        times.sort_unstable();
        let quantile = |part: f64| {
            let n = (times.len().saturating_sub(1) as f64 * part) as usize;
            times.get(n).copied().unwrap_or(0) / NANOS_PER_MILLI
        };
        format!(
            "first read answered behind {} faults: p50 {} ms, p99 {} ms, most {} ms",
            times.len(),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        )
    }

    fn summary(&self) -> String {
        let [full, paced, refused] = self.trial;
        format!(
            "{} steps, {} acknowledged\non trial: {full} at full speed, {paced} in turn, {refused} refused for the pace\n\
             worlds of minutes: {}, of {:.0} minutes together; {} orders acknowledged again, {} refused, {} exchanges, {} machines without a disk replaced\n{}",
            self.steps, self.acknowledged, self.long_runs, self.minutes, self.acknowledged_again, self.refused, self.exchanges, self.replaced_learners, self.recovery()
        )
    }
}

/// Runs seeds on `jobs` threads. On failure, returns the lowest failing seed of those run by then.
fn run_seeds(
    (seeds, prints_stories): (Range<u64>, bool),
    planted: Option<Defect>,
    jobs: u64,
    play_fn: PlayFn,
) -> Result<Totals, Failure> {
    let (next, totals, failed) =
        (AtomicU64::new(seeds.start), Mutex::new(Totals::default()), Mutex::new(None::<Failure>));
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end || failed.lock().is_ok_and(|f| f.is_some()) {
            return;
        }
        match (play_fn(seed, planted), totals.lock(), failed.lock()) {
            (Ok(story), Ok(mut totals), _) => {
                totals.add(&story);
                if prints_stories {
                    story.lines.iter().for_each(|l| println!("{l}"));
                }
            }
            (Err(broken), _, Ok(mut failed)) => {
                if failed.as_ref().is_none_or(|(lowest, _)| seed < *lowest) {
                    *failed = Some((seed, broken));
                }
            }
            _ => return,
        }
    };
    std::thread::scope(|s| (0..jobs).for_each(|_| drop(s.spawn(work))));
    match failed.into_inner() {
        Ok(Some(failure)) => Err(failure),
        _ => Ok(totals.into_inner().unwrap_or_default()),
    }
}

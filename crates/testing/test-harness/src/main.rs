//! `test-harness`: runs scenarios around the real programs, on loopback.
//!
//! Exit status: 0 if every figure was within its bounds, 1 if one was not or the scenario could not be run, 2 for an
//! invalid command line.
#![forbid(unsafe_code)]

use clap::Parser;
use std::io::Write;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use test_harness::scenario::{Play, Size, ALL};

#[derive(Parser)]
#[command(name = "test-harness", version, about = "Scenarios around the real gateway, all on loopback")]
struct Args {
    /// `list`, `demo`, or the name of a scenario
    name: String,
    /// Seed of every random choice of the scenario
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the run in seconds, 1 to 600
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: Option<u64>,
    /// Print the figures as one JSON object on the last line
    #[arg(long)]
    json: bool,
    /// Plant this defect in the scripted peers or the program: the scenario must fail
    #[arg(long, value_name = "NAME")]
    defect: Option<String>,
    /// Inject these faults, as printed by an earlier run
    #[arg(long, value_name = "FAULTS")]
    schedule: Option<String>,
    #[command(flatten)]
    size: Size,
    /// Print the defects that can be planted in the scenario
    #[arg(long)]
    list_defects: bool,
}

/// Prints a line and ignores a closed standard output.
fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

fn usage_error(what: &str) -> ExitCode {
    eprintln!("test-harness: {what}");
    ExitCode::from(2)
}

type Demo = fn(&Arc<AtomicBool>, fn(&str)) -> Result<(), String>;

fn demo(demo: Demo, seconds: Option<u64>) -> ExitCode {
    let stop = Arc::new(AtomicBool::new(false));
    let on_signal = stop.clone();
    if let Err(e) = ctrlc::set_handler(move || on_signal.store(true, Ordering::Relaxed)) {
        return usage_error(&format!("cannot listen for signals: {e}"));
    }
    if let Some(seconds) = seconds {
        let stop = stop.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(seconds));
            stop.store(true, Ordering::Relaxed);
        });
    }
    match demo(&stop, print_line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("test-harness: {what}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    match args.name.as_str() {
        "list" => {
            print_line("demo         a demonstration gateway, until Ctrl-C");
            print_line("system       a demonstration of the whole system, until Ctrl-C");
            ALL.iter().for_each(|s| print_line(&format!("{:12} {}", s.name, s.about)));
            return ExitCode::SUCCESS;
        }
        "demo" => return demo(test_harness::demo::run, args.seconds),
        "system" => return demo(test_harness::local_cluster::demo, args.seconds),
        _ => {}
    }
    let Some(scenario) = ALL.iter().find(|s| s.name == args.name) else {
        return usage_error(&format!("no scenario is named {:?}; list prints the names", args.name));
    };
    if args.list_defects {
        scenario.defects.iter().for_each(|(name, what)| print_line(&format!("{name:20} {what}")));
        scenario
            .program_defects
            .iter()
            .for_each(|(name, by)| print_line(&format!("{name:20} in the program; shown by {by}")));
        return ExitCode::SUCCESS;
    }
    if let Some(name) = &args.defect {
        if scenario.defects.iter().chain(scenario.program_defects).all(|(known, _)| known != name) {
            return usage_error(&format!("no defect is named {name:?}; --list-defects prints the names"));
        }
    }
    let time = Duration::from_secs(args.seconds.unwrap_or(scenario.seconds));
    let play = Play { seed: args.seed, time, defect: args.defect, schedule: args.schedule, size: args.size };
    let figures = match (scenario.run)(&play) {
        Ok(figures) => figures,
        Err(what) => {
            eprintln!("test-harness: {what}");
            return ExitCode::FAILURE;
        }
    };
    figures.values.iter().for_each(|(name, value)| print_line(&format!("{name:28} {value}")));
    figures.violations.iter().for_each(|what| print_line(&format!("BROKEN: {what}")));
    let ok = figures.violations.is_empty();
    if args.json {
        let mut all = figures.values;
        all.insert("scenario".into(), scenario.name.into());
        all.insert("seed".into(), args.seed.into());
        all.insert("ok".into(), ok.into());
        print_line(&serde_json::Value::Object(all).to_string());
    }
    if ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

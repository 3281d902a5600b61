//! `granitethread-ctl`: a command line tool and shell for operators. It queries the state of the control nodes, reports how
//! fresh each answer is and which nodes were unreachable, and changes the configuration.
#![forbid(unsafe_code)]

mod command;
mod configuration_changes;
mod control_client;
mod differences;
mod error;
mod query_client;
mod report;
mod trial_settings;

use command::{Targets, HELP};
use error::Error;
use getopts::{Matches, Options};
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("granitethread-ctl: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode, Error> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}\nQueries:\n{HELP}\n", options.usage(USAGE));
        return Ok(ExitCode::SUCCESS);
    }
    let targets = Targets {
        query_nodes: addresses(&matches, "at")?,
        control_nodes: addresses(&matches, "control")?,
        is_json: matches.opt_present("json"),
    };
    let runtime = Builder::new_current_thread().enable_all().build().map_err(Error::Runtime)?;
    match matches.opt_str("command") {
        Some(command) => Ok(print_answer(&runtime.block_on(targets.run(&command))?)),
        None => run_shell(&runtime, &targets),
    }
}

const USAGE: &str = "granitethread-ctl: queries the state of the fleet and changes its configuration.\n\n\
                     Usage: granitethread-ctl -a IP:PORT [-c QUERY]";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help and exit");
    options.optmulti(
        "k",
        "control",
        "a control node's control address, for diff, apply and trial",
        "IP:PORT",
    );
    options.optflag("j", "json", "print answers as JSON, one object per line");
    options.optopt("c", "command", "run this command and exit", "QUERY");
    let at = "a control node's internal address; all nodes known to it are queried too";
    options.optmulti("a", "at", at, "IP:PORT");
    options
}

fn addresses(matches: &Matches, option: &'static str) -> Result<Vec<SocketAddr>, Error> {
    let parse = |text: String| text.parse().map_err(|reason| Error::Address { option, text, reason });
    matches.opt_strs(option).into_iter().map(parse).collect()
}

/// Reads commands line by line until the operator quits.
fn run_shell(runtime: &Runtime, targets: &Targets) -> Result<ExitCode, Error> {
    let mut editor = rustyline::DefaultEditor::new()?;
    while let Ok(line) = editor.readline("granitethread-ctl> ") {
        let line = line.trim();
        match line {
            "" => continue,
            "quit" | "exit" => break,
            "help" => drop(print_answer(HELP)),
            _ => match runtime.block_on(targets.run(line)) {
                Ok(answer) => drop(print_answer(&answer)),
                Err(error) => eprintln!("{error}"),
            },
        }
        // The command has run even if the line cannot be added to the history.
        let _ = editor.add_history_entry(line);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_answer(text: &str) -> ExitCode {
    match writeln!(std::io::stdout(), "{text}") {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

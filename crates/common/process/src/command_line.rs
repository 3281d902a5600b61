//! The command line of both daemons, and how they start and end.

use crate::log_ring::{start_logging, LogRing};
use crate::settings::{settings_path, Settings, SettingsError, PATH_VARIABLE};
use displaydoc::Display;
use getopts::{Matches, Options};
use std::fmt;
use std::future::Future;
use std::io;
use std::process::ExitCode;
use tokio::task::{spawn_local, JoinError};

/// What a daemon is called, and what it is.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The binary's name.
    pub name: &'static str,
    /// One line for `--help`.
    pub summary: &'static str,
    /// For `--version`.
    pub version: &'static str,
}

/// Why a daemon ends with a failure; its text is the last line of the log.
#[derive(Debug, Display)]
enum DaemonError<E> {
    /// {0}
    Settings(SettingsError),
    /// cannot start the event loop: {0}
    EventLoop(io::Error),
    /// the main task was lost: {0}
    Lost(JoinError),
    /// {0}
    Daemon(E),
}

/// Reads the command line and the settings file, starts the log and an event loop of one thread, and runs the daemon.
pub fn run_daemon<F, E, R>(program: Program, run: R) -> ExitCode
where
    F: Future<Output = Result<(), E>> + 'static,
    E: fmt::Display + 'static,
    R: FnOnce(Settings, LogRing) -> F,
{
    let options = options();
    let matches = match options.parse(std::env::args_os().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return fail(program, &format!("{:?} is not known; see --help", matches.free[0])),
        Err(error) => return fail(program, &format!("{error}; see --help")),
    };
    if let Some(ended) = answer(program, &options, &matches) {
        return ended;
    }
    let ring = start_logging(program.name, matches.opt_present("verbose"));
    match run_event_loop(ring, run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this and exit");
    options.optflag("V", "version", "print the version and exit");
    options.optflag("v", "verbose", "write every log line to standard error at once");
    options.optopt("c", "check", "read a settings file, say what is wrong with it, and exit", "FILE");
    options
}

/// What is asked on the command line alone, if anything is.
fn answer(program: Program, options: &Options, matches: &Matches) -> Option<ExitCode> {
    let Program { name, summary, version } = program;
    if matches.opt_present("help") {
        let usage = format!("Usage: {name} [options]\n\nIts settings file is named by {PATH_VARIABLE}.");
        print!("{}", options.usage(&format!("{name}: {summary}.\n\n{usage}")));
        return Some(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("{name} {version}");
        return Some(ExitCode::SUCCESS);
    }
    let file = matches.opt_str("check")?;
    let checked = std::fs::read_to_string(&file)
        .map_err(|error| SettingsError::Malformed { file: file.clone(), reason: error.to_string() })
        .and_then(|text| Settings::validate(&file, &text));
    Some(match checked {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => fail(program, &error.to_string()),
    })
}

fn fail(program: Program, reason: &str) -> ExitCode {
    eprintln!("{}: {reason}", program.name);
    ExitCode::FAILURE
}

fn run_event_loop<F, E, R>(ring: LogRing, run: R) -> Result<(), DaemonError<E>>
where
    F: Future<Output = Result<(), E>> + 'static,
    E: 'static,
    R: FnOnce(Settings, LogRing) -> F,
{
    let settings = Settings::load(&settings_path()).map_err(DaemonError::Settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(DaemonError::EventLoop)?;
    // As a task: what wakes the future of `block_on` itself costs a write to an eventfd each time.
    let ended = runtime.block_on(async { spawn_local(run(settings, ring)).await });
    ended.map_err(DaemonError::Lost)?.map_err(DaemonError::Daemon)
}

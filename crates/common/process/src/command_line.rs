//! The command line of both daemons, and the start and end of their processes.

use crate::log_ring::{start_logging, LogRing};
use crate::settings::{settings_path, Settings, SettingsError, PATH_VARIABLE};
use displaydoc::Display;
use getopts::{Matches, Options};
use std::fmt;
use std::future::Future;
use std::io;
use std::process::ExitCode;
use tokio::task::{spawn_local, JoinError};

/// Identification of a daemon program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// One-line description for `--help`.
    pub summary: &'static str,
    /// Version for `--version`.
    pub version: &'static str,
}

/// The failure that ended a daemon. Its text is the last line of the log.
#[derive(Debug, Display)]
enum DaemonError<E> {
    /// {0}
    Settings(SettingsError),
    /// cannot start the event loop: {0}
    EventLoop(io::Error),
    /// the main task failed: {0}
    MainTask(JoinError),
    /// {0}
    Daemon(E),
}

/// Parses the command line, loads the settings file, starts the log and a single-threaded event loop, and runs the
/// daemon.
pub fn run_daemon<F, E, R>(program: Program, run: R) -> ExitCode
where
    F: Future<Output = Result<(), E>> + 'static,
    E: fmt::Display + 'static,
    R: FnOnce(Settings, LogRing) -> F,
{
    let options = options();
    let matches = match options.parse(std::env::args_os().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => {
            return fail(program, &format!("unexpected argument {:?}; see --help", matches.free[0]))
        }
        Err(error) => return fail(program, &format!("{error}; see --help")),
    };
    if let Some(exit_code) = handle_exit_options(program, &options, &matches) {
        return exit_code;
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
    options.optopt("c", "check", "check a settings file, report the first error, and exit", "FILE");
    options
}

/// Handles the options that print or check something and exit; returns `None` if the daemon is to be started.
fn handle_exit_options(program: Program, options: &Options, matches: &Matches) -> Option<ExitCode> {
    let Program { name, summary, version } = program;
    if matches.opt_present("help") {
        let usage = format!(
            "Usage: {name} [options]\n\nThe environment variable {PATH_VARIABLE} names the settings file."
        );
        print!("{}", options.usage(&format!("{name}: {summary}.\n\n{usage}")));
        return Some(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("{name} {version}");
        return Some(ExitCode::SUCCESS);
    }
    let file = matches.opt_str("check")?;
    let result = std::fs::read_to_string(&file)
        .map_err(|error| SettingsError::Malformed { file: file.clone(), reason: error.to_string() })
        .and_then(|text| Settings::validate(&file, &text));
    Some(match result {
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
    // Runs as a task: each wake-up of the future passed to `block_on` itself costs a write to an eventfd.
    let result = runtime.block_on(async { spawn_local(run(settings, ring)).await });
    result.map_err(DaemonError::MainTask)?.map_err(DaemonError::Daemon)
}

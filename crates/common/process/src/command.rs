//! The command line of both daemons, and how they start and end.

use crate::ring::{self, LogRing};
use crate::settings::{self, Settings};
use std::future::Future;
use std::process::ExitCode;
use tokio::task::spawn_local;

/// Reads the command line and the settings file, starts the log and an event loop of one thread, and runs the program.
pub fn run_daemon<F, R>(program: &'static str, what: &str, version: &str, run: R) -> ExitCode
where
    F: Future<Output = Result<(), String>> + 'static,
    R: FnOnce(Settings, LogRing) -> F,
{
    let fail = |why: &str| {
        eprintln!("{program}: {why}");
        ExitCode::FAILURE
    };
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this and end");
    options.optflag("V", "version", "print the version and end");
    options.optflag("v", "verbose", "write out at once what else stays in the ring");
    options.optopt("c", "check", "read a settings file, say what is wrong with it, and end", "FILE");
    let told = match options.parse(std::env::args_os().skip(1)) {
        Ok(told) if told.free.is_empty() => told,
        Ok(told) => return fail(&format!("{:?} is not known; --help says what is", told.free[0])),
        Err(e) => return fail(&format!("{e}; --help says what is known")),
    };
    if told.opt_present("h") {
        let brief = format!(
            "{program}: {what}.\n\nUsage: {program} [options]\n\nIts settings file is named by {}.",
            settings::PATH_VARIABLE
        );
        print!("{}", options.usage(&brief));
        return ExitCode::SUCCESS;
    }
    if told.opt_present("V") {
        println!("{program} {version}");
        return ExitCode::SUCCESS;
    }
    if let Some(file) = told.opt_str("c") {
        let checked = std::fs::read_to_string(&file).map_err(|e| format!("{file}: {e}"));
        let checked =
            checked.and_then(|text| Settings::validate(&file, &text).map_err(|fault| fault.to_string()));
        return match checked {
            Ok(_) => ExitCode::SUCCESS,
            Err(fault) => fail(&fault),
        };
    }
    let ring = ring::start_logging(program, told.opt_present("v"));
    let done =
        Settings::load(&settings::settings_path()).map_err(|fault| fault.to_string()).and_then(|settings| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build_local(Default::default())
                .map_err(|e| format!("cannot start the event loop: {e}"))?;
            // As a task: what wakes the future of `block_on` itself costs a write to an eventfd each time.
            let ended = runtime.block_on(async { spawn_local(run(settings, ring)).await });
            ended.map_err(|e| format!("lost: {e}"))?
        });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::error!("{why}");
            ExitCode::FAILURE
        }
    }
}

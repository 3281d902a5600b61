//! The log: a ring in memory that is written out when something goes wrong. Warnings and errors go to standard error at
//! once; the rest stays in the ring, and is written out behind an error, a panic, or when that is asked for.

#[cfg(test)]
mod tests;

use log::{LevelFilter, Log, Metadata, Record};
use std::collections::VecDeque;
use std::io::{stderr, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Lines that are kept. With [`MAX_LINE_BYTES`] the ring takes 64 KiB at most.
const MAX_LINES: usize = 256;
/// A longer line is cut.
const MAX_LINE_BYTES: usize = 256;

/// The ring. Clones share it.
#[derive(Clone)]
pub struct LogRing {
    lines: Arc<Mutex<VecDeque<String>>>,
    started: Instant,
}

impl LogRing {
    fn new() -> Self {
        LogRing { lines: Arc::default(), started: Instant::now() }
    }

    fn lines(&self) -> MutexGuard<'_, VecDeque<String>> {
        // The lines are whole even if a thread has panicked over them.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, mut line: String) {
        let mut end = line.len().min(MAX_LINE_BYTES);
        while !line.is_char_boundary(end) {
            end -= 1;
        }
        line.truncate(end);
        let mut lines = self.lines();
        if lines.len() == MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Writes out what the ring holds, under a heading, and empties it.
    pub fn dump(&self, heading: &str, to: &mut impl Write) {
        let lines = std::mem::take(&mut *self.lines());
        // A log that cannot be written is no reason to end.
        let _ = writeln!(to, "ring: {heading}, {} lines", lines.len());
        for line in lines {
            let _ = writeln!(to, "ring: {line}");
        }
        let _ = to.flush();
    }
}

/// Keeps lines in the ring, and dumps it behind an error.
struct RingLogger(LogRing);

impl Log for RingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let ms = self.0.started.elapsed().as_millis();
        self.0.push(format!("{ms} {} {}", record.level(), record.args()));
        if record.level() == log::Level::Error {
            self.0.dump("an error", &mut stderr().lock());
        }
    }

    fn flush(&self) {}
}

/// Starts the log of a process. `verbose`: every line goes to standard error at once.
pub fn start_logging(program: &'static str, verbose: bool) -> LogRing {
    let ring = LogRing::new();
    let started = ring.started;
    let to_stderr = fern::Dispatch::new()
        .level(if verbose { LevelFilter::Info } else { LevelFilter::Warn })
        .format(move |out, message, record| {
            let ms = started.elapsed().as_millis();
            out.finish(format_args!("{program} {ms} {} {message}", record.level()));
        })
        .chain(stderr());
    let ring_logger = Box::new(RingLogger(ring.clone())) as Box<dyn Log>;
    let to_ring = fern::Dispatch::new().level(LevelFilter::Info).chain(ring_logger);
    // A second start in one process, as in tests, leaves the first in place.
    let _ = fern::Dispatch::new().chain(to_stderr).chain(to_ring).apply();
    dump_on_panic(ring.clone());
    ring
}

fn dump_on_panic(ring: LogRing) {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        ring.dump("a panic", &mut stderr().lock());
    }));
}

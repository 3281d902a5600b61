//! The log, with a ring buffer of recent lines. Warnings and errors are written to standard error immediately. All
//! lines are kept in the ring, which is dumped after an error, on a panic, or on request.

#[cfg(test)]
mod tests;

use log::{LevelFilter, Log, Metadata, Record};
use std::collections::VecDeque;
use std::io::{stderr, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Capacity of the ring in lines. With [`MAX_LINE_BYTES`] the ring takes at most 64 KiB.
const MAX_LINES: usize = 256;
/// Longer lines are truncated.
const MAX_LINE_BYTES: usize = 256;

/// A ring buffer of log lines. Clones share the same buffer.
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
        // A thread that panics while it holds the lock leaves every line intact.
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

    /// Writes all lines of the ring under a heading, and empties the ring.
    pub fn dump(&self, heading: &str, writer: &mut impl Write) {
        let lines = std::mem::take(&mut *self.lines());
        // A failure to write the log must not end the process.
        let _ = writeln!(writer, "ring: {heading}, {} lines", lines.len());
        for line in lines {
            let _ = writeln!(writer, "ring: {line}");
        }
        let _ = writer.flush();
    }
}

/// A logger that appends lines to the ring, and dumps the ring after each error.
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

/// Starts the log of a process. With `verbose`, every line is also written to standard error immediately.
pub fn start_logging(program: &'static str, verbose: bool) -> LogRing {
    let ring = LogRing::new();
    let started = ring.started;
    let to_stderr = fern::Dispatch::new()
        .level(if verbose { LevelFilter::Info } else { LevelFilter::Warn })
        .format(move |callback, message, record| {
            let ms = started.elapsed().as_millis();
            callback.finish(format_args!("{program} {ms} {} {message}", record.level()));
        })
        .chain(stderr());
    let ring_logger = Box::new(RingLogger(ring.clone())) as Box<dyn Log>;
    let to_ring = fern::Dispatch::new().level(LevelFilter::Info).chain(ring_logger);
    // A second call in the same process, as in tests, keeps the first logger.
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

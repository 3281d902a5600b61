//! The log: a ring in memory that is written out when something goes wrong, and little else. What is a warning or worse goes
//! to standard error at once; the rest stays in the ring, and comes out behind an error, a panic, or when it is asked for.

use log::{LevelFilter, Log, Metadata, Record};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Lines that are kept, each cut at so many bytes: 64 KiB at the most.
const MAX_LINES: usize = 256;
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

    fn push(&self, mut line: String) {
        let mut end = line.len().min(MAX_LINE_BYTES);
        while !line.is_char_boundary(end) {
            end -= 1;
        }
        line.truncate(end);
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Writes out what it holds, and lets go of it. `why` is its heading.
    pub fn dump(&self, why: &str, to: &mut impl Write) {
        let lines = std::mem::take(&mut *self.lines.lock().unwrap_or_else(PoisonError::into_inner));
        // A log that can't be written is no reason to end.
        let _ = writeln!(to, "ring: {why}, {} lines", lines.len());
        for line in lines {
            let _ = writeln!(to, "ring: {line}");
        }
        let _ = to.flush();
    }
}

/// The part of the dispatch that keeps lines: whoever writes to standard error stands beside it.
struct RingLogger(LogRing);

impl Log for RingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let ms = self.0.started.elapsed().as_millis();
        self.0.push(format!("{ms} {} {}", record.level(), record.args()));
        if record.level() == log::Level::Error {
            self.0.dump("an error", &mut std::io::stderr().lock());
        }
    }

    fn flush(&self) {}
}

/// Starts the log of a process.
pub fn start_logging(program: &'static str, verbose: bool) -> LogRing {
    let ring = LogRing::new();
    let begun = ring.started;
    let loud = fern::Dispatch::new()
        .level(if verbose { LevelFilter::Info } else { LevelFilter::Warn })
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{program} {} {} {message}",
                begun.elapsed().as_millis(),
                record.level()
            ));
        })
        .chain(std::io::stderr());
    let kept = fern::Dispatch::new()
        .level(LevelFilter::Info)
        .chain(Box::new(RingLogger(ring.clone())) as Box<dyn Log>);
    // A second start in one process, as in tests, leaves the first in place.
    let _ = fern::Dispatch::new().chain(loud).chain(kept).apply();
    let dying = ring.clone();
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        dying.dump("a panic", &mut std::io::stderr().lock());
    }));
    ring
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ring_keeps_the_latest_truncated_lines_and_dumps_them_once() {
        let ring = LogRing::new();
        (0..MAX_LINES + 5).for_each(|n| ring.push(format!("line {n} {}", "é".repeat(MAX_LINE_BYTES))));
        let mut out = Vec::new();
        ring.dump("test", &mut out);
        let text = String::from_utf8(out).unwrap();
        assert!(text.starts_with(&format!("ring: test, {MAX_LINES} lines\nring: line 5 ")));
        assert!(text.lines().all(|l| l.len() <= MAX_LINE_BYTES + 6));
        let mut again = Vec::new();
        ring.dump("test", &mut again);
        assert_eq!(again, b"ring: test, 0 lines\n");
    }
}

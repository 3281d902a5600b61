//! Shutdown: how long the gateway waits, and how long requests that it still accepts may wait.
//!
//! A request that arrives in the accept window has its full time, however long the settings allow. One that is
//! completed later, on a connection from before, is accepted too and has what is left: it gets its answer before the
//! end.

use interface::Time;

/// How long after the shutdown request clients may still connect.
pub const ACCEPT_WINDOW: Time = 500_000_000;
/// Between the last answer's deadline and the end: half to write the answer, half for the client to read it.
pub const FINAL_MARGIN: Time = 100_000_000;

/// A shutdown under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    end: Time,
}

impl Drain {
    /// `longest`: the longest that any request may wait for its answer, by the settings.
    pub fn new(told: Time, longest: Time) -> Self {
        Drain::with_limits(told, ACCEPT_WINDOW, longest, Time::MAX)
    }

    /// The same with another window, and over after `most` in any case.
    pub fn with_limits(told: Time, window: Time, longest: Time, most: Time) -> Self {
        let longest = if planted!(DrainForgetsDeadline) { 3_000_000_000 } else { longest };
        Drain { end: (told + window + longest + FINAL_MARGIN).min(told.saturating_add(most)) }
    }

    /// When the gateway ends in any case: everything accepted in the window has had its time by then.
    pub fn end(&self) -> Time {
        self.end
    }

    /// How long a request may wait that is complete now and whose client waits for `timeout`.
    pub fn wait(&self, now: Time, timeout: Time) -> Time {
        if planted!(DrainKeepsLate) {
            return timeout;
        }
        timeout.min((self.end - FINAL_MARGIN / 2).saturating_sub(now)).max(1)
    }
}

#[cfg(test)]
mod tests;

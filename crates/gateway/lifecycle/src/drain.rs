//! Draining at shutdown: how long the gateway keeps running, and how long requests that it still accepts may wait.
//!
//! A request that arrives in the accept window has its full timeout, up to the maximum that the settings allow. A request
//! completed later on an existing connection is accepted too, but its timeout is limited to the remaining time, so that
//! it is answered before the process ends.

use interface::Time;

/// How long after the shutdown request new connections are accepted.
pub const ACCEPT_WINDOW: Time = 500_000_000;
/// The end of the accept window in which no connection begins any more, and those that have begun are completed.
pub const HANDSHAKE_TIME: Time = 100_000_000;
/// The time between the last answer's deadline and the end: half to write the answer, half for the client to read it.
pub const FINAL_MARGIN: Time = 100_000_000;

/// Returns how long after the shutdown request a connection may begin, within this accept window.
pub fn handshake_window(accept_window: Time) -> Time {
    accept_window.saturating_sub(HANDSHAKE_TIME)
}

/// A drain of this gateway in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    end: Time,
}

impl Drain {
    /// Starts a drain. `max_deadline`: the maximum time that the settings let a request wait for its answer.
    pub fn new(requested_at: Time, max_deadline: Time) -> Self {
        Drain::with_limits(requested_at, ACCEPT_WINDOW, max_deadline, Time::MAX)
    }

    /// Like [`Drain::new`] with another accept window, and ending after `max_duration` in any case.
    pub fn with_limits(
        requested_at: Time,
        accept_window: Time,
        max_deadline: Time,
        max_duration: Time,
    ) -> Self {
        let max_deadline = if planted!(DrainForgetsDeadline) { 3_000_000_000 } else { max_deadline };
        Drain {
            end: (requested_at + accept_window + max_deadline + FINAL_MARGIN)
                .min(requested_at.saturating_add(max_duration)),
        }
    }

    /// Returns when the gateway ends in any case. Unless `max_duration` is shorter, every request accepted in the window
    /// has had its full timeout by then.
    pub fn end(&self) -> Time {
        self.end
    }

    /// Returns how long a request may wait that is complete now and has this timeout.
    pub fn wait(&self, now: Time, timeout: Time) -> Time {
        if planted!(DrainKeepsLate) {
            return timeout;
        }
        timeout.min((self.end - FINAL_MARGIN / 2).saturating_sub(now)).max(1)
    }
}

#[cfg(test)]
mod tests;

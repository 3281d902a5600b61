//! The end of a gateway that was told to end: how long it waits, and how long what it still takes may wait.
//!
//! Who asked while the door was open has the whole of its time, however long the settings allow that to be. What
//! becomes whole later (a body that came slowly on a connection from before) is taken too, and has what is left: it
//! gets its one truthful answer before the end, and is not cut by it.

use interface::Time;

/// So long after it was told clients may still come.
pub const WINDOW: Time = 500_000_000;
/// Between the last answer's time and the end: half of it to write the answer, half for whoever reads it.
pub const ROOM: Time = 100_000_000;

/// A drain that was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    end: Time,
}

impl Drain {
    /// `longest`: the longest that any request may wait for its answer, by the settings.
    pub fn new(told: Time, longest: Time) -> Self {
        Drain::within(told, WINDOW, longest, Time::MAX)
    }

    /// The same with another window, and over after `most` whatever is left.
    pub fn within(told: Time, window: Time, longest: Time, most: Time) -> Self {
        let longest = if planted!(DrainForgetsDeadline) { 3_000_000_000 } else { longest };
        Drain { end: (told + window + longest + ROOM).min(told.saturating_add(most)) }
    }

    /// When the gateway ends, whatever is left: all that was taken in the window has had its time by then.
    pub fn end(&self) -> Time {
        self.end
    }

    /// How long a request may wait that is whole now and whose client waits for `timeout`.
    pub fn wait(&self, now: Time, timeout: Time) -> Time {
        if planted!(DrainKeepsLate) {
            return timeout;
        }
        timeout.min((self.end - ROOM / 2).saturating_sub(now)).max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Time = 1_000_000;

    #[test]
    fn who_asked_in_the_window_has_the_longest_time_that_the_settings_allow() {
        for longest in [400 * MS, 2500 * MS, 3000 * MS, 4655 * MS] {
            let drain = Drain::new(7000 * MS, longest);
            for at in [0, 171, 400, 500] {
                let now = 7000 * MS + at * MS;
                assert_eq!(drain.wait(now, longest), longest, "{at} ms after it was told");
                assert!(now + longest < drain.end());
            }
        }
    }

    #[test]
    fn a_drain_ends_by_its_most_however_long_requests_may_wait() {
        assert_eq!(Drain::within(MS, 2600 * MS, 10_000 * MS, 5500 * MS).end(), 5501 * MS);
        assert_eq!(Drain::within(0, 2600 * MS, 1500 * MS, 5500 * MS).end(), 4200 * MS);
    }

    #[test]
    fn what_is_whole_later_is_answered_before_the_end() {
        let drain = Drain::new(0, 2500 * MS);
        assert_eq!(drain.end(), 3100 * MS);
        assert_eq!(drain.wait(1000 * MS, 2500 * MS), 2050 * MS);
        assert_eq!(drain.wait(1000 * MS, 300 * MS), 300 * MS, "no longer than its client waits");
        assert_eq!(drain.wait(3080 * MS, 300 * MS), 1, "at once");
    }
}

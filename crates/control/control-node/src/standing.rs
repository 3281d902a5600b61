//! How the disk stands, and what that asks for: when the agreement goes on without it, when it is tried again, when all is saved
//! again. No I/O.

#[cfg(test)]
mod tests;

use consensus::Time;

const MS: Time = 1_000_000;
/// The agreement waits so long for a save. Less than the others wait for a leader that is silent, [`consensus::PATIENCE`].
pub const WAIT: Time = 400 * MS;
/// A disk that refused is tried again after so long, and after twice that each time, up to [`LATER`].
const AGAIN: Time = 200 * MS;
const LATER: Time = 2_000 * MS;
/// It is said so often that the disk does not work.
const SAY: Time = 10_000 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// What is saved is on the disk.
    Works,
    /// A save was not done in time, and is under way.
    Late,
    /// The whole is to be saved, from this time on. `again`: it was, and there was more by then.
    Due { at: Time, again: bool },
    /// The whole is being saved. `missed`: something has come to be saved since.
    Whole { missed: bool },
}

/// How the disk stands.
#[derive(Clone, Debug)]
pub struct Standing {
    state: State,
    /// Since when it has not worked.
    since: Time,
    /// Failures in a row.
    failures: u32,
    say: Time,
}

impl Standing {
    /// At the start all is to be saved once: what was read may stand in the system's memory alone.
    pub fn begin(now: Time) -> Self {
        Standing { state: State::Due { at: now, again: false }, since: now, failures: 0, say: now + SAY }
    }

    pub fn works(&self) -> bool {
        self.state == State::Works
    }

    /// A save is not done after [`WAIT`].
    pub fn late(&mut self, now: Time) {
        self.stop(now, State::Late);
    }

    /// Something was refused.
    pub fn refused(&mut self, now: Time) {
        let pause = (AGAIN << self.failures.min(8)).min(LATER);
        self.failures += 1;
        self.stop(now, State::Due { at: now + pause, again: false });
    }

    /// Something was to be saved, and was not.
    pub fn missed(&mut self) {
        if let State::Whole { missed } = &mut self.state {
            *missed = true;
        }
    }

    /// Whether the whole is to be saved now.
    pub fn is_due(&self, now: Time) -> bool {
        matches!(self.state, State::Due { at, .. } if now >= at)
    }

    /// When something is next to be done or said.
    pub fn next_due(&self) -> Time {
        match self.state {
            State::Works => Time::MAX,
            State::Due { at, .. } => at.min(self.say),
            _ => self.say,
        }
    }

    /// The whole is being saved from now on. Whether to wait for it, so that nothing more comes.
    pub fn saving(&mut self) -> bool {
        let again = matches!(self.state, State::Due { again: true, .. });
        self.state = State::Whole { missed: false };
        again
    }

    /// What was under way is done. For how long the disk has not worked, if it works now: all that there is is on it.
    pub fn done(&mut self, now: Time) -> Option<Time> {
        self.failures = 0;
        self.state = match self.state {
            State::Whole { missed: false } => State::Works,
            State::Whole { missed: true } => State::Due { at: now, again: true },
            _ => State::Due { at: now, again: false },
        };
        self.works().then(|| now - self.since)
    }

    /// For how long it has not worked, if that is to be said again.
    pub fn say(&mut self, now: Time) -> Option<Time> {
        if self.works() || now < self.say {
            return None;
        }
        self.say = now + SAY;
        Some(now - self.since)
    }

    fn stop(&mut self, now: Time, state: State) {
        if self.works() {
            (self.since, self.say) = (now, now + SAY);
        }
        self.state = state;
    }
}

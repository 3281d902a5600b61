//! Faults of the fleet, injected one at a time: drawn from a seed, printed, and parsed from the printed form.

use super::members::MEMBERS;
use std::fmt;
use std::str::FromStr;

/// One fault of the schedule. `draw` is the seed that selects the members where several are concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Crash(usize),
    SevenInTen {
        draw: u64,
    },
    /// A partition for 6 s, with a member killed on each side.
    Halves {
        draw: u64,
    },
    OneDirection(usize, usize),
    Loss,
    /// SIGSTOP for 5 s.
    Stop(usize),
    Leave(usize),
    QuickRestart(usize),
    /// One member is isolated from all others, in both directions.
    CutOff(usize),
    /// Limits a member to a tenth of a core.
    Slow(usize),
    /// A member is killed and restarted at another address.
    Moved(usize),
    /// A second process with the name of a running member.
    Twice(usize),
    /// Old datagrams are sent again.
    Replay,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Crash(n) => write!(f, "crash {n}"),
            Fault::SevenInTen { draw } => write!(f, "seven-in-ten {draw}"),
            Fault::Halves { draw } => write!(f, "halves {draw}"),
            Fault::OneDirection(a, b) => write!(f, "one-direction {a} {b}"),
            Fault::Loss => write!(f, "loss"),
            Fault::Stop(n) => write!(f, "stop {n}"),
            Fault::Leave(n) => write!(f, "leave {n}"),
            Fault::QuickRestart(n) => write!(f, "quick-restart {n}"),
            Fault::CutOff(n) => write!(f, "cut-off {n}"),
            Fault::Slow(n) => write!(f, "slow {n}"),
            Fault::Moved(n) => write!(f, "moved {n}"),
            Fault::Twice(n) => write!(f, "twice {n}"),
            Fault::Replay => write!(f, "replay"),
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parse_error = || format!("{text:?} is no fault of the view");
        let mut parts = text.split_whitespace();
        let name = parts.next().unwrap_or_default();
        let figures: Result<Vec<u64>, _> = parts.map(str::parse).collect();
        let figures = figures.map_err(|_| parse_error())?;
        let member = |n: u64| usize::try_from(n).ok().filter(|n| *n < MEMBERS).ok_or_else(parse_error);
        Ok(match (name, figures[..].as_ref()) {
            ("crash", [n]) => Fault::Crash(member(*n)?),
            ("seven-in-ten", [draw]) => Fault::SevenInTen { draw: *draw },
            ("halves", [draw]) => Fault::Halves { draw: *draw },
            ("one-direction", [a, b]) => Fault::OneDirection(member(*a)?, member(*b)?),
            ("loss", []) => Fault::Loss,
            ("stop", [n]) => Fault::Stop(member(*n)?),
            ("leave", [n]) => Fault::Leave(member(*n)?),
            ("quick-restart", [n]) => Fault::QuickRestart(member(*n)?),
            ("cut-off", [n]) => Fault::CutOff(member(*n)?),
            ("slow", [n]) => Fault::Slow(member(*n)?),
            ("moved", [n]) => Fault::Moved(member(*n)?),
            ("twice", [n]) => Fault::Twice(member(*n)?),
            ("replay", []) => Fault::Replay,
            _ => return Err(parse_error()),
        })
    }
}

/// Parses a printed schedule: faults separated by commas.
///
/// # Errors
/// A part is no fault. The message is one line.
pub fn read(text: &str) -> Result<Vec<Fault>, String> {
    text.split(',').map(|fault| fault.trim().parse()).collect()
}

/// Returns each kind of fault once, in an order and at members drawn from `rng`. The members 0 to 2, which are the
/// seeds of the fleet, are not drawn as the one member of a fault.
pub fn schedule(rng: &mut fastrand::Rng) -> Vec<Fault> {
    let mut draw_member = || rng.usize(3..MEMBERS);
    let mut faults = vec![
        Fault::Crash(draw_member()),
        Fault::OneDirection(draw_member(), draw_member()),
        Fault::Loss,
        Fault::Stop(draw_member()),
        Fault::Leave(draw_member()),
        Fault::QuickRestart(draw_member()),
        Fault::CutOff(draw_member()),
        Fault::Slow(draw_member()),
        Fault::Moved(draw_member()),
        Fault::Twice(draw_member()),
        Fault::Replay,
    ];
    faults.push(Fault::SevenInTen { draw: rng.u64(..) });
    faults.push(Fault::Halves { draw: rng.u64(..) });
    rng.shuffle(&mut faults);
    faults
}

#[cfg(test)]
mod tests;

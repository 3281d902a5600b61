//! What befalls the fleet, one fault at a time: drawn from a seed, printed, and read back from what was printed.

use super::members::MEMBERS;
use std::fmt;
use std::str::FromStr;

/// One fault of the schedule. A figure `draw` settles who is meant where several are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Crash(usize),
    SevenInTen {
        draw: u64,
    },
    /// For 6 s, with a death on each side.
    Halves {
        draw: u64,
    },
    OneDirection(usize, usize),
    Loss,
    /// SIGSTOP for 5 s.
    Stop(usize),
    Leave(usize),
    QuickRestart(usize),
    /// Nobody reaches one member, and it nobody.
    CutOff(usize),
    /// A tenth of a core.
    Slow(usize),
    /// It is killed and comes back at another address.
    Moved(usize),
    /// A second process with its name, while it runs.
    Twice(usize),
    /// Old datagrams once more.
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
        let wrong = || format!("{text:?} is no fault of the view");
        let mut words = text.split_whitespace();
        let name = words.next().unwrap_or_default();
        let figures: Result<Vec<u64>, _> = words.map(str::parse).collect();
        let figures = figures.map_err(|_| wrong())?;
        let member = |n: u64| usize::try_from(n).ok().filter(|n| *n < MEMBERS).ok_or_else(wrong);
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
            _ => return Err(wrong()),
        })
    }
}

/// Reads what was printed: faults with commas between them.
///
/// # Errors
/// One line, for what is no fault.
pub fn read(text: &str) -> Result<Vec<Fault>, String> {
    text.split(',').map(|fault| fault.trim().parse()).collect()
}

/// Each kind once, in an order and at members drawn from the seed. The seeds are spared what keeps them away.
pub fn schedule(rng: &mut fastrand::Rng) -> Vec<Fault> {
    let mut one = || rng.usize(3..MEMBERS);
    let mut faults = vec![
        Fault::Crash(one()),
        Fault::OneDirection(one(), one()),
        Fault::Loss,
        Fault::Stop(one()),
        Fault::Leave(one()),
        Fault::QuickRestart(one()),
        Fault::CutOff(one()),
        Fault::Slow(one()),
        Fault::Moved(one()),
        Fault::Twice(one()),
        Fault::Replay,
    ];
    faults.push(Fault::SevenInTen { draw: rng.u64(..) });
    faults.push(Fault::Halves { draw: rng.u64(..) });
    rng.shuffle(&mut faults);
    faults
}

#[cfg(test)]
mod tests;

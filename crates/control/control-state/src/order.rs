//! What becomes of an operator's order, by what is agreed on. No I/O: who asks has made sure that the book holds all that was
//! agreed on when the order came, and has a [`Verdict::Propose`] agreed on.

use crate::{Applied, Command, ControlState};
use configuration::Version;

/// What a sound configuration says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeclaredVersions {
    /// What it builds on; 0 before the first.
    pub base: Version,
    pub version: Version,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It has been taken, now or earlier.
    Acknowledged,
    /// It is not sound, for this reason; it has not been taken and never will be as long as this is so.
    Invalid(String),
    /// It builds on another version than the current one, and has not been taken.
    Conflict { current: Version },
    /// Nobody can say: it may be in force, or come to be.
    Unknown,
    /// It is to be agreed on; [`Verdict::after`] tells what came of it.
    Propose(Command),
}

/// Decides on an order that came as `body`. `read` tells whether it is sound, and is asked only if that matters.
///
/// The order of the questions: what was taken is acknowledged, whatever a later version thinks of its soundness; what is not
/// sound is invalid on any base; then the base. One that may have been taken so long ago that its mark is gone is neither
/// acknowledged nor refused.
pub fn decide_change(
    book: &ControlState,
    body: &[u8],
    read: impl FnOnce(&[u8]) -> Result<DeclaredVersions, String>,
) -> Decision {
    if book.is_applied(body) {
        return Decision::Acknowledged;
    }
    let DeclaredVersions { base, version } = match read(body) {
        Ok(versions) => versions,
        Err(why) => return Decision::Invalid(why),
    };
    let current = book.version();
    if base == current && version <= current {
        // Nobody ever took one like this: at its base it was not later than the current one.
        return Decision::Invalid(format!("its version is not greater than {current:08x}"));
    }
    if base == current {
        return Decision::Propose(Command::ReplaceConfiguration { base, version, body: body.to_vec() });
    }
    if book.may_have_forgotten_version(version) {
        return Decision::Unknown;
    }
    Decision::Conflict { current }
}

impl Decision {
    /// What came of a proposal where it was agreed on, with the version that is current behind it; none: it is not known
    /// whether it was or will be.
    pub fn after_commit(applied: Option<&Applied>, current: Version) -> Decision {
        match applied {
            Some(Applied::Changed | Applied::Unchanged) => Decision::Acknowledged,
            Some(Applied::Conflict) => Decision::Conflict { current },
            None => Decision::Unknown,
        }
    }
}

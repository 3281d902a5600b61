//! What becomes of an operator's order, by what is agreed on. No I/O: who asks has made sure that the book holds all that was
//! agreed on when the order came, and has a [`Verdict::Propose`] agreed on.

use crate::{Applied, Book, Word};
use configuration::Version;

/// What a sound configuration says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Versions {
    /// What it builds on; 0 before the first.
    pub base: Version,
    pub version: Version,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has been taken, now or earlier.
    Acknowledged,
    /// It is not sound, for this reason; it has not been taken and never will be as long as this is so.
    Invalid(String),
    /// It builds on another version than the current one, and has not been taken.
    Conflict { current: Version },
    /// Nobody can say: it may be in force, or come to be.
    Unclear,
    /// It is to be agreed on; [`Verdict::after`] tells what came of it.
    Propose(Word),
}

/// Decides on an order that came as `body`. `read` tells whether it is sound, and is asked only if that matters.
///
/// The order of the questions: what was taken is acknowledged, whatever a later version thinks of its soundness; what is not
/// sound is invalid on any base; then the base. One that may have been taken so long ago that its mark is gone is neither
/// acknowledged nor refused.
pub fn decide(book: &Book, body: &[u8], read: impl FnOnce(&[u8]) -> Result<Versions, String>) -> Verdict {
    if book.is_taken(body) {
        return Verdict::Acknowledged;
    }
    let Versions { base, version } = match read(body) {
        Ok(versions) => versions,
        Err(why) => return Verdict::Invalid(why),
    };
    let current = book.version();
    if base == current && version <= current {
        // Nobody ever took one like this: at its base it was not later than the current one.
        return Verdict::Invalid(format!("its version is not greater than {current:08x}"));
    }
    if base == current {
        return Verdict::Propose(Word::Configuration { base, version, body: body.to_vec() });
    }
    if book.may_have_forgotten(version) {
        return Verdict::Unclear;
    }
    Verdict::Conflict { current }
}

impl Verdict {
    /// What came of a proposal where it was agreed on, with the version that is current behind it; none: it is not known
    /// whether it was or will be.
    pub fn after(applied: Option<&Applied>, current: Version) -> Verdict {
        match applied {
            Some(Applied::Changed | Applied::Same) => Verdict::Acknowledged,
            Some(Applied::Other) => Verdict::Conflict { current },
            None => Verdict::Unclear,
        }
    }
}

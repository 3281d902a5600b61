//! What becomes of an operator's change of the configuration. A pure function.
//!
//! The caller makes sure that the state holds all that was committed when the change came, and has a
//! [`ChangeDecision::Propose`] committed.

use crate::command::Command;
use crate::state::{ApplyOutcome, ControlState};
use configuration::{ConfigurationError, Version};
use displaydoc::Display;

/// What a sound configuration says of its versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeclaredVersions {
    /// The version that it replaces; 0 before the first.
    pub base: Version,
    /// Its own version.
    pub version: Version,
}

/// Why a change is refused for good.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum InvalidChange {
    /// {0}
    Configuration(ConfigurationError),
    /// its version is not greater than {current:08x}
    VersionNotGreater {
        /// The version in force.
        current: Version,
    },
}

impl std::error::Error for InvalidChange {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            InvalidChange::Configuration(error) => Some(error),
            InvalidChange::VersionNotGreater { .. } => None,
        }
    }
}

/// What becomes of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeDecision {
    /// It has been applied, now or earlier.
    Acknowledged,
    /// It is not sound; it has not been applied and never will be as long as this is so.
    Invalid(InvalidChange),
    /// It is based on another version than the current one, and has not been applied.
    Conflict {
        /// The version in force.
        current: Version,
    },
    /// Nobody can say: it may be in force, or come to be.
    Unknown,
    /// It is to be committed; [`ChangeDecision::after_commit`] tells what came of it.
    Propose(Command),
}

/// Decides on a change that came as `body`. `read` validates it, and is called only if that matters.
///
/// The order of the checks: what was applied is acknowledged, whatever a later program thinks of its soundness; what is not
/// sound is invalid on any base; then the base. A change that may have been applied so long ago that its digest is forgotten
/// is neither acknowledged nor refused.
pub fn decide_change(
    state: &ControlState,
    body: &[u8],
    read: impl FnOnce(&[u8]) -> Result<DeclaredVersions, ConfigurationError>,
) -> ChangeDecision {
    if state.is_applied(body) {
        return ChangeDecision::Acknowledged;
    }
    let DeclaredVersions { base, version } = match read(body) {
        Ok(versions) => versions,
        Err(error) => return ChangeDecision::Invalid(InvalidChange::Configuration(error)),
    };
    let current = state.version();
    if base == current && version <= current {
        // Nobody ever applied one like this: at its base it was not later than the current one.
        return ChangeDecision::Invalid(InvalidChange::VersionNotGreater { current });
    }
    if base == current {
        return ChangeDecision::Propose(Command::ReplaceConfiguration { base, version, body: body.to_vec() });
    }
    if state.may_have_forgotten_version(version) {
        return ChangeDecision::Unknown;
    }
    ChangeDecision::Conflict { current }
}

impl ChangeDecision {
    /// What came of a proposal once it is committed, with the version in force behind it; none: it is not known whether it
    /// was or will be.
    pub fn after_commit(applied: Option<&ApplyOutcome>, current: Version) -> ChangeDecision {
        match applied {
            Some(ApplyOutcome::Changed | ApplyOutcome::Unchanged) => ChangeDecision::Acknowledged,
            Some(ApplyOutcome::Conflict) => ChangeDecision::Conflict { current },
            None => ChangeDecision::Unknown,
        }
    }
}

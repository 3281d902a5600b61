//! Decides how to handle an operator's change of the configuration. A pure function.
//!
//! The caller ensures that the state includes everything that was committed when the change arrived, and proposes the
//! command of a [`ChangeDecision::Propose`].

use crate::command::Command;
use crate::state::{ApplyOutcome, ControlState};
use configuration::{ConfigurationError, Version};
use displaydoc::Display;

/// Versions that a valid configuration declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeclaredVersions {
    /// Version of the configuration that it replaces; 0 if there is none.
    pub base: Version,
    /// Version of the configuration itself.
    pub version: Version,
}

/// Reason why a change is permanently rejected. The comments of the variants are their messages.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum InvalidChange {
    /// {0}
    Configuration(ConfigurationError),
    /// its version is not greater than {current:08x}
    VersionNotGreater {
        /// Version of the current configuration.
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

/// How to handle a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeDecision {
    /// The change has been applied, now or earlier.
    Acknowledged,
    /// The change is invalid. It has not been applied, and will not be as long as it is invalid.
    Invalid(InvalidChange),
    /// The change is not based on the current version, and has not been applied.
    Conflict {
        /// Version of the current configuration.
        current: Version,
    },
    /// It is not known whether the change has been or will be applied.
    Unknown,
    /// The command is to be proposed; [`ChangeDecision::after_commit`] returns the outcome.
    Propose(Command),
}

/// Decides on the change with these bytes. `read` validates them, and is called only if the decision depends on it.
///
/// Checks are made in this order: a change that was already applied is acknowledged, even if a later version of the program
/// considers it invalid; an invalid change is rejected whatever its base; the base is checked last. A change that may have
/// been applied so long ago that its digest is no longer kept is neither acknowledged nor rejected.
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
        // No node can ever have applied it: its version is not greater than that of its base.
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
    /// Returns the outcome of a proposal: `applied` is the effect of the committed command, or `None` if it is not known
    /// whether the proposal was or will be committed; `current` is the version after it.
    pub fn after_commit(applied: Option<&ApplyOutcome>, current: Version) -> ChangeDecision {
        match applied {
            Some(ApplyOutcome::Changed | ApplyOutcome::Unchanged) => ChangeDecision::Acknowledged,
            Some(ApplyOutcome::Conflict) => ChangeDecision::Conflict { current },
            None => ChangeDecision::Unknown,
        }
    }
}

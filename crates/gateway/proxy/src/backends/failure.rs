//! Reasons for which an attempt ends without a response.

use super::Progress;
use interface::Ending;
use std::error::Error;
use std::fmt;

/// Reason for which an attempt ended without a response.
#[derive(Debug)]
pub(super) enum AttemptFailure {
    /// No connection was established, or the request was withheld from it.
    NotSent,
    /// The connection ended before the response did. Without an error, the backend closed it.
    Disconnected(Option<hyper::Error>),
    /// The response is malformed, too long, or belongs to another request.
    InvalidResponse(Option<hyper::Error>),
    /// The response paused for longer than a repeatable request waits.
    Paused,
    /// The attempt's deadline passed.
    DeadlinePassed,
}

impl AttemptFailure {
    /// Returns the ending that is reported to the decision module.
    pub(super) fn ending(&self, progress: &Progress) -> Ending {
        match self {
            AttemptFailure::NotSent => Ending::Unreachable,
            AttemptFailure::Disconnected(_) => progress.disconnect_ending(),
            AttemptFailure::InvalidResponse(_) | AttemptFailure::Paused => Ending::Unreadable,
            AttemptFailure::DeadlinePassed if progress.may_have_run() => Ending::TimedOut,
            AttemptFailure::DeadlinePassed => Ending::Unreachable,
        }
    }

    /// Whether the gateway or the network broke off an exchange that a backend may have been working on.
    pub(super) fn is_break(&self, progress: &Progress) -> bool {
        progress.may_have_run() && !matches!(self, AttemptFailure::NotSent | AttemptFailure::DeadlinePassed)
    }
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (text, error) = match self {
            AttemptFailure::NotSent => ("not sent", None),
            AttemptFailure::Disconnected(error) => ("disconnected", error.as_ref()),
            AttemptFailure::InvalidResponse(error) => ("invalid response", error.as_ref()),
            AttemptFailure::Paused => ("the response paused for too long", None),
            AttemptFailure::DeadlinePassed => ("the deadline passed", None),
        };
        f.write_str(text)?;
        let mut cause = error.map(|error| error as &dyn Error);
        while let Some(error) = cause {
            write!(f, ": {error}")?;
            cause = error.source();
        }
        Ok(())
    }
}

//! Handover between two processes of one gateway during an upgrade: for a few seconds they share the limits of one. No
//! I/O.
//!
//! | role | accepts clients | share of the descriptors | transitions |
//! | --- | --- | --- | --- |
//! | `Alone` | yes | all | to `Leaving` on `ShutdownRequested` |
//! | `Joining`: the previous process is still running | yes | half | to `Alone` on `OtherEnded`, to `Leaving` on `ShutdownRequested` |
//! | `Leaving`: shutting down, another process may take over | no | half | none |
#![forbid(unsafe_code)]

mod bans;

pub use bans::{read, write, InvalidBans, MAX_BYTES};

/// The role of one of the two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Alone,
    Joining,
    Leaving,
}

/// An input that may change a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The previous process has ended.
    OtherEnded,
    /// This process was asked to shut down.
    ShutdownRequested,
}

impl Role {
    /// Returns the role at startup.
    pub fn initial(is_other_running: bool) -> Self {
        if is_other_running {
            Role::Joining
        } else {
            Role::Alone
        }
    }

    /// Returns the role after an input.
    #[must_use]
    pub fn after(self, input: Input) -> Self {
        match (self, input) {
            (_, Input::ShutdownRequested) | (Role::Leaving, Input::OtherEnded) => Role::Leaving,
            (Role::Alone | Role::Joining, Input::OtherEnded) => Role::Alone,
        }
    }

    /// Returns this process's share of a limit that applies to the gateway.
    pub fn share_of(self, limit: usize) -> usize {
        match self {
            Role::Alone => limit,
            Role::Joining | Role::Leaving => limit / 2,
        }
    }

    /// Returns whether this process's state is saved for its successor. Of two processes only the earlier one's is.
    pub fn saves_state(self) -> bool {
        self != Role::Joining
    }

    /// Returns whether this process accepts connections from the shared listening socket.
    pub fn accepts(self) -> bool {
        self != Role::Leaving
    }
}

//! An upgrade in service: for a few seconds two processes of one gateway share the limits of one. No I/O.
//!
//! | role | accepts clients | part of the descriptors | left by |
//! | --- | --- | --- | --- |
//! | `Alone` | yes | all | `ShutdownRequested` (to `Leaving`) |
//! | `Joining`: the one before still lives | yes | half | `OtherEnded` (to `Alone`), `ShutdownRequested` (to `Leaving`) |
//! | `Leaving`: told to end, another may take over | no | half | its end |
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

/// What changes a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The process before this one has ended.
    OtherEnded,
    /// This process was told to end.
    ShutdownRequested,
}

impl Role {
    /// As it stands at the start.
    pub fn initial(other_lives: bool) -> Self {
        if other_lives {
            Role::Joining
        } else {
            Role::Alone
        }
    }

    /// The role after an input.
    #[must_use]
    pub fn after(self, input: Input) -> Self {
        match (self, input) {
            (_, Input::ShutdownRequested) | (Role::Leaving, Input::OtherEnded) => Role::Leaving,
            (Role::Alone | Role::Joining, Input::OtherEnded) => Role::Alone,
        }
    }

    /// This process's share of what one gateway may have.
    pub fn share_of(self, whole: usize) -> usize {
        match self {
            Role::Alone => whole,
            Role::Joining | Role::Leaving => whole / 2,
        }
    }

    /// Whether its state is kept for a next process: of two processes the earlier one's is.
    pub fn saves_state(self) -> bool {
        self != Role::Joining
    }

    /// Whether it takes new connections from the socket that both hold.
    pub fn accepts(self) -> bool {
        self != Role::Leaving
    }
}

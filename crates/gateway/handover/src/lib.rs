//! An upgrade in service: two processes of one gateway for a few seconds, within the limits of one. No I/O.
//!
//! | role | accepts clients | part of the descriptors | left by |
//! | --- | --- | --- | --- |
//! | `Alone` | yes | all | `Told` (to `Leaving`) |
//! | `Joining`: the one before still lives | yes | half | `OtherEnded` (to `Alone`), `Told` (to `Leaving`) |
//! | `Leaving`: told to end, another may take over | no | half | its end |
#![forbid(unsafe_code)]

mod bans;

pub use bans::{read, write, Garbled, LONGEST};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Alone,
    Joining,
    Leaving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The process before this one has ended.
    OtherEnded,
    /// This process was told to end.
    Told,
}

impl Role {
    /// As it stands at the start.
    pub fn first(other_lives: bool) -> Self {
        if other_lives {
            Role::Joining
        } else {
            Role::Alone
        }
    }

    #[must_use]
    pub fn after(self, input: Input) -> Self {
        match (self, input) {
            (_, Input::Told) | (Role::Leaving, Input::OtherEnded) => Role::Leaving,
            (Role::Alone | Role::Joining, Input::OtherEnded) => Role::Alone,
        }
    }

    /// How much of what one gateway may have is this process's.
    pub fn part(self, whole: usize) -> usize {
        match self {
            Role::Alone => whole,
            Role::Joining | Role::Leaving => whole / 2,
        }
    }

    /// Whether what it knows is the gateway's, to be kept for a next process: of two it is the earlier one's.
    pub fn remembers(self) -> bool {
        self != Role::Joining
    }

    /// Whether it takes new connections from the socket that both hold.
    pub fn accepts(self) -> bool {
        self != Role::Leaving
    }
}

//! A gateway's side of the link to a prompter, as values: which prompter it follows, what it makes of what that tells, how far its
//! word may be taken for the newest. Driven by the gateway with sockets and a clock, and by `rehearsal` with its own. No I/O.
#![forbid(unsafe_code)]

mod fold;
mod follow;
mod touch;

pub use fold::{View, ViewChange};
pub use follow::{
    DisconnectReason, Effect, Subscription, SubscriptionConfig, MAX_MESSAGE_TIME, SILENCE_TIMEOUT,
};
pub use touch::Freshness;

/// Nanoseconds on the gateway's steady clock.
pub type Time = u64;
pub(crate) const MS: Time = 1_000_000;

//! A gateway's side of the connection to a control node, as values: to which node it subscribes, what it makes of updates,
//! how far they may be taken for the newest. Driven by the gateway with sockets and a clock, and by the simulation with its
//! own. No I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backoff;
mod freshness;
mod subscription;
mod view;

pub use freshness::Freshness;
pub use subscription::{
    DisconnectReason, Effect, NextNode, Subscription, SubscriptionConfig, MAX_MESSAGE_TIME, PROBE_INTERVAL,
    SILENCE_TIMEOUT,
};
pub use view::{View, ViewChange};

/// Nanoseconds on the gateway's steady clock.
pub type Time = u64;

const MS: Time = 1_000_000;

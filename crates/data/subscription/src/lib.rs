//! A gateway's side of the connection to a control node, as a state machine without I/O: which node to subscribe to,
//! how to apply its updates, and how fresh the resulting state is. The gateway drives it with sockets and a clock,
//! the simulation with its own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backoff;
mod control_nodes;
mod freshness;
mod subscription;
mod view;

pub use freshness::Freshness;
pub use subscription::{
    DisconnectReason, Effect, NextNode, Subscription, SubscriptionConfig, MAX_MESSAGE_TIME, PROBE_INTERVAL,
    SILENCE_TIMEOUT,
};
pub use view::{View, ViewChange};

/// Nanoseconds on the gateway's monotonic clock.
pub type Time = u64;

const MS: Time = 1_000_000;

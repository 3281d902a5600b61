//! Control planes as processes, over real sockets.

mod configuration_changes;
mod core;
mod subscribers;

//! Tests of control nodes as processes, over real sockets.

mod cluster;
mod configuration_changes;
mod subscribers;

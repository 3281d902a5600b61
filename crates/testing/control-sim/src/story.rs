//! What happened in a world, and what it came to.

use crate::Time;
use std::collections::VecDeque;

/// What happened, a line each.
#[derive(Debug, Default)]
pub struct Story {
    /// The latest 400.
    pub lines: VecDeque<String>,
    /// Events processed.
    pub steps: u64,
    /// Changes and drains that were acknowledged.
    pub acknowledged: u32,
    /// Reads that were answered.
    pub reads: u32,
    /// Requests of the hot tenant that passed.
    pub through: u32,
    /// Of the tenant on trial: at full speed, in turn, refused for the pace.
    pub trial: (u32, u32, u32),
    /// Of worlds of minutes: acknowledged again, refused, and how long they lasted.
    pub again: u32,
    pub refused: u32,
    pub lasted: Time,
    /// Drains that were acknowledged, and configurations that were agreed on as a change of what stood.
    pub drains: u32,
    pub changes: u32,
    /// From the end of each fault to the first read of the configuration that is answered.
    pub recovery_times: Vec<Time>,
}

//! The events and the totals of one run.

use crate::Time;
use std::collections::VecDeque;

/// The record of one run.
#[derive(Debug, Default)]
pub struct Story {
    /// The latest 400 events, one line each.
    pub lines: VecDeque<String>,
    /// Number of processed events.
    pub steps: u64,
    /// Acknowledged changes and drains.
    pub acknowledged: u32,
    /// Answered reads.
    pub reads: u32,
    /// Requests of the hot tenant that passed.
    pub hot_passed: u32,
    /// Requests of the trial tenant: passed at full speed, passed in their turn, refused because of the pace.
    pub trial: (u32, u32, u32),
    /// Long workloads only: changes acknowledged again, changes refused, and the simulated duration.
    pub acknowledged_again: u32,
    pub refused: u32,
    pub duration: Time,
    /// Acknowledged drains, and configurations committed as a delta to the current one.
    pub drains: u32,
    pub changes: u32,
    /// Completed exchanges of several machines.
    pub exchanges: u32,
    /// Machines without a disk that were replaced by others.
    pub replaced_learners: u32,
    /// Time from the end of each fault to the first answered read of the configuration.
    pub recovery_times: Vec<Time>,
}

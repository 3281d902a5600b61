//! Which waiting request gets which turn. A pure function.

use crate::throttle_queue::QueuedRequest;
use crate::time::Time;
use std::collections::VecDeque;

/// The turns that a gateway holds, the soonest first.
pub(crate) struct HeldTurns<'a> {
    pub regular: &'a VecDeque<Time>,
    pub urgent: &'a VecDeque<Time>,
    /// All are of the gateway's own fallback share, and any request may have them.
    pub are_fallback: bool,
}

/// Each request's turn, in the order in which requests came: reads have the regular turns, urgent work its own. What one
/// kind leaves over is the other's; work that would miss its target latency goes ahead of reads where that helps it.
pub(crate) fn assign_turns(requests: &[QueuedRequest], held: &HeldTurns<'_>) -> Vec<Option<Time>> {
    let mut assigned = vec![None; requests.len()];
    let is_urgent = |n: &usize| requests[*n].urgent_by.is_some();
    let (urgent, mut remaining): (Vec<usize>, Vec<usize>) = (0..requests.len()).partition(is_urgent);
    for (n, at) in urgent.iter().zip(held.urgent) {
        assigned[*n] = Some(*at);
    }
    let urgent_without = urgent.iter().skip(held.urgent.len());
    let urgent_left_over = held.urgent.iter().skip(urgent.len());
    if held.are_fallback || remaining.len() < held.regular.len() {
        remaining.extend(urgent_without);
        remaining.sort_unstable();
    }
    let mut turns: Vec<Time> = held.regular.iter().chain(urgent_left_over).copied().collect();
    turns.sort_unstable();
    // Mostly no request goes ahead of another: a thousand that wait are looked at once.
    if !remaining.iter().any(is_urgent) {
        remaining.iter().zip(turns).for_each(|(n, at)| assigned[*n] = Some(at));
        return assigned;
    }
    for (turn, at) in turns.iter().enumerate() {
        // It would be late by its own turn, and would not by this one.
        let needs_to_go_ahead = |(place, n): (usize, &usize)| {
            let own = turns.get(turn + place);
            let by = requests[*n].urgent_by;
            by.is_some_and(|by| *at <= by && own.is_none_or(|own| *own > by))
        };
        let next = remaining.iter().enumerate().position(needs_to_go_ahead).unwrap_or(0);
        if next < remaining.len() {
            assigned[remaining.remove(next)] = Some(*at);
        }
    }
    assigned
}

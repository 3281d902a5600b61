//! Assignment of held turns to queued requests. A pure function.

use crate::throttle_queue::QueuedRequest;
use crate::time::Time;
use std::collections::VecDeque;

/// Turns held by a gateway, each kind in ascending order.
pub(crate) struct HeldTurns<'a> {
    pub regular: &'a VecDeque<Time>,
    pub urgent: &'a VecDeque<Time>,
    /// Whether all turns come from the gateway's own fallback share, so that any request may use them.
    pub are_fallback: bool,
}

/// Returns the turn of each request. Requests are served in order of arrival: reads use the regular turns, urgent work
/// the urgent ones, and surplus turns of one kind go to the other. Work that would miss its target latency goes ahead
/// of reads if that lets it meet the target.
pub(crate) fn assign_turns(requests: &[QueuedRequest], held: &HeldTurns<'_>) -> Vec<Option<Time>> {
    let mut assigned = vec![None; requests.len()];
    let is_urgent = |index: &usize| requests[*index].urgent_by.is_some();
    let (urgent, mut remaining): (Vec<usize>, Vec<usize>) = (0..requests.len()).partition(is_urgent);
    for (index, turn_at) in urgent.iter().zip(held.urgent) {
        assigned[*index] = Some(*turn_at);
    }
    let urgent_without_turn = urgent.iter().skip(held.urgent.len());
    let surplus_urgent_turns = held.urgent.iter().skip(urgent.len());
    if held.are_fallback || remaining.len() < held.regular.len() {
        remaining.extend(urgent_without_turn);
        remaining.sort_unstable();
    }
    let mut turns: Vec<Time> = held.regular.iter().chain(surplus_urgent_turns).copied().collect();
    turns.sort_unstable();
    // Common case: no request goes ahead of another, so that even a queue of a thousand requests is scanned only once.
    if !remaining.iter().any(is_urgent) {
        remaining.iter().zip(turns).for_each(|(index, turn_at)| assigned[*index] = Some(turn_at));
        return assigned;
    }
    for (turn_index, turn_at) in turns.iter().enumerate() {
        // The request would be late in order of arrival but not with this turn.
        let should_expedite = |(position, index): (usize, &usize)| {
            let fifo_turn = turns.get(turn_index + position);
            let urgent_by = requests[*index].urgent_by;
            urgent_by.is_some_and(|urgent_by| {
                *turn_at <= urgent_by && fifo_turn.is_none_or(|fifo_turn| *fifo_turn > urgent_by)
            })
        };
        let next_position = remaining.iter().enumerate().position(should_expedite).unwrap_or(0);
        if next_position < remaining.len() {
            assigned[remaining.remove(next_position)] = Some(*turn_at);
        }
    }
    assigned
}

//! Dissemination queue: least transmitted updates first, each a number of times that grows with the fleet's size.

use crate::record::{Name, Record};
use crate::wire::encoded_size;
use std::collections::{BTreeMap, BTreeSet};

/// Each update is transmitted this many times the logarithm (base 2) of the fleet's size.
const RETRANSMIT_MULTIPLIER: u32 = 3;

struct Broadcast {
    record: Record,
    bytes: usize,
    transmissions: u32,
}

/// Queue of at most one update per member: a newer update replaces the queued one.
#[derive(Default)]
pub(crate) struct BroadcastQueue {
    broadcasts: BTreeMap<Name, Broadcast>,
    /// Ordered by number of transmissions, so that the next few are found without a pass over thousands.
    order: BTreeSet<(u32, Name)>,
}

impl BroadcastQueue {
    pub(crate) fn add(&mut self, record: Record) {
        let (bytes, name) = (encoded_size(&record), record.name.clone());
        if let Some(old) = self.broadcasts.insert(name.clone(), Broadcast { record, bytes, transmissions: 0 })
        {
            self.order.remove(&(old.transmissions, name.clone()));
        }
        self.order.insert((0, name));
    }

    /// Returns the next updates that fit into `remaining_bytes`, and counts them as transmitted once more. `members` is
    /// the size of the fleet.
    pub(crate) fn take(&mut self, mut remaining_bytes: usize, members: usize) -> Vec<Record> {
        let max_transmissions = RETRANSMIT_MULTIPLIER * (usize::BITS - members.leading_zeros()).max(1);
        let mut selected = Vec::new();
        for (transmissions, name) in &self.order {
            let Some(broadcast) = self.broadcasts.get(name).filter(|b| b.bytes <= remaining_bytes) else {
                break;
            };
            remaining_bytes -= broadcast.bytes;
            selected.push((*transmissions, name.clone()));
        }
        let transmit = |(transmissions, name): (u32, Name)| {
            self.order.remove(&(transmissions, name.clone()));
            if transmissions + 1 >= max_transmissions {
                return Some(self.broadcasts.remove(&name)?.record);
            }
            let broadcast = self.broadcasts.get_mut(&name)?;
            broadcast.transmissions = transmissions + 1;
            self.order.insert((transmissions + 1, name));
            Some(broadcast.record.clone())
        };
        selected.into_iter().filter_map(transmit).collect()
    }
}

//! What is still to be told: the least told first, each so many times as the fleet's size asks.

use crate::record::{Name, Record};
use crate::wire::encoded_size;
use std::collections::{BTreeMap, BTreeSet};

/// Each is told this many times the logarithm (base 2) of the fleet's size.
const RETRANSMIT_MULTIPLIER: u32 = 3;

struct Broadcast {
    record: Record,
    bytes: usize,
    transmissions: u32,
}

/// One for each member at the most: a newer one of the same member takes its place.
#[derive(Default)]
pub(crate) struct BroadcastQueue {
    broadcasts: BTreeMap<Name, Broadcast>,
    /// How often each has been told: the next to tell is the first. Of thousands a datagram takes a few.
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

    /// What fits into so many bytes, for somebody in a fleet of this size.
    pub(crate) fn take(&mut self, mut room: usize, members: usize) -> Vec<Record> {
        let most = RETRANSMIT_MULTIPLIER * (usize::BITS - members.leading_zeros()).max(1);
        let mut taken = Vec::new();
        for (told, name) in &self.order {
            let Some(rumour) = self.broadcasts.get(name).filter(|r| r.bytes <= room) else { break };
            room -= rumour.bytes;
            taken.push((*told, name.clone()));
        }
        let tell = |(told, name): (u32, Name)| {
            self.order.remove(&(told, name.clone()));
            if told + 1 >= most {
                return Some(self.broadcasts.remove(&name)?.record);
            }
            let rumour = self.broadcasts.get_mut(&name)?;
            rumour.transmissions = told + 1;
            self.order.insert((told + 1, name));
            Some(rumour.record.clone())
        };
        taken.into_iter().filter_map(tell).collect()
    }
}

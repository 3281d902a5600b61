//! Updates still to be disseminated: the least transmitted first, each as often as the fleet's size requires.

use crate::record::{Name, Record};
use crate::wire::encoded_size;
use std::collections::{BTreeMap, BTreeSet};

/// Each is transmitted this many times the logarithm (base 2) of the fleet's size.
const RETRANSMIT_MULTIPLIER: u32 = 3;

struct Broadcast {
    record: Record,
    bytes: usize,
    transmissions: u32,
}

/// At most one update for each member: a newer one replaces it.
#[derive(Default)]
pub(crate) struct BroadcastQueue {
    broadcasts: BTreeMap<Name, Broadcast>,
    /// By number of transmissions: the first is the next to send. Of thousands a datagram holds a few.
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

    /// The updates that fit into `room` bytes, in a fleet of this size.
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

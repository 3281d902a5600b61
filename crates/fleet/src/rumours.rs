//! What is still to be told: the least told first, each so many times as the fleet's size asks.

use crate::record::Record;
use crate::wire::size;
use std::collections::BTreeMap;

/// Each is told this many times the logarithm (base 2) of the fleet's size.
const TIMES: u32 = 3;

struct Rumour {
    record: Record,
    bytes: usize,
    told: u32,
}

/// One for each member at the most: a newer one of the same member takes its place.
#[derive(Default)]
pub(crate) struct Rumours {
    all: BTreeMap<crate::Name, Rumour>,
}

impl Rumours {
    pub(crate) fn add(&mut self, record: Record) {
        let bytes = size(&record);
        self.all.insert(record.name.clone(), Rumour { record, bytes, told: 0 });
    }

    /// What fits into so many bytes, for somebody in a fleet of this size.
    pub(crate) fn take(&mut self, mut room: usize, members: usize) -> Vec<Record> {
        let most = TIMES * (usize::BITS - members.leading_zeros()).max(1);
        let mut order: Vec<(u32, crate::Name)> = self.all.iter().map(|(n, r)| (r.told, n.clone())).collect();
        order.sort();
        let mut records = Vec::new();
        for (_, name) in order {
            let Some(rumour) = self.all.get_mut(&name) else { continue };
            if rumour.bytes > room {
                break;
            }
            room -= rumour.bytes;
            rumour.told += 1;
            records.push(rumour.record.clone());
            if rumour.told >= most {
                self.all.remove(&name);
            }
        }
        records
    }
}

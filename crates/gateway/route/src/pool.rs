//! Pools: which servers of the list are whose.

use interface::Name;
use std::collections::BTreeMap;

/// What is known of a server beside its name: zone, model, group and whatever else a list may say.
pub type Labels = BTreeMap<String, String>;

/// Takes servers whose labels have one of the stated values, for every stated label. An empty one takes all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    pub match_labels: BTreeMap<String, Vec<String>>,
}

impl Selector {
    /// Whether a server with these labels belongs to the pool.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.match_labels.iter().all(|(name, values)| labels.get(name).is_some_and(|v| values.contains(v)))
    }

    /// Those of a list that are this pool's, in the list's order.
    pub fn of<'a>(&self, list: impl Iterator<Item = (&'a Name, &'a Labels)>) -> Vec<Name> {
        list.filter(|(_, labels)| self.matches(labels)).map(|(name, _)| name.clone()).collect()
    }
}

//! Pools: label selectors over the server list.

use interface::Name;
use std::collections::BTreeMap;

/// Labels of a server: zone, model, group and any others in the list.
pub type Labels = BTreeMap<String, String>;

/// Selects servers that have, for every label in `match_labels`, one of its values. An empty selector matches all
/// servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    pub match_labels: BTreeMap<String, Vec<String>>,
}

impl Selector {
    /// Whether a server with these labels belongs to the pool.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.match_labels.iter().all(|(name, values)| labels.get(name).is_some_and(|v| values.contains(v)))
    }

    /// Returns the servers of a list that match, in the list's order.
    pub fn select<'a>(&self, list: impl Iterator<Item = (&'a Name, &'a Labels)>) -> Vec<Name> {
        list.filter(|(_, labels)| self.matches(labels)).map(|(name, _)| name.clone()).collect()
    }
}

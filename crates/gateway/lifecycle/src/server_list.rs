//! The server list, as far as attempts need it.

use interface::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedServer {
    pub name: Name,
    pub zone: u32,
    pub cell: u32,
    /// The address for new attempts; `None` while the server accepts none, or if it has no valid address.
    pub address: Option<SocketAddr>,
    /// Whether it was removed from the list.
    pub is_removed: bool,
}

/// The server list as far as attempts need it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ServerList {
    servers: BTreeMap<Name, ListedServer>,
}

impl ServerList {
    /// Applies a full list, or changes to the current one.
    pub(crate) fn update(&mut self, is_full: bool, updates: Vec<ListedServer>) {
        if is_full {
            self.servers.clear();
        }
        for listed in updates {
            if listed.is_removed {
                self.servers.remove(&listed.name);
            } else {
                self.servers.insert(listed.name.clone(), listed);
            }
        }
    }

    /// Returns the server of this name and its address, if it accepts new attempts.
    pub(crate) fn ready_server(&self, name: &Name) -> Option<(&ListedServer, SocketAddr)> {
        let listed = self.servers.get(name)?;
        Some((listed, listed.address?))
    }

    /// Returns whether any server accepts new requests.
    pub fn any_ready(&self) -> bool {
        self.servers.values().any(|server| server.address.is_some())
    }
}

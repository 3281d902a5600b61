//! The servers that may be written to.

use interface::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One server of discovery's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedServer {
    pub name: Name,
    pub zone: u32,
    pub cell: u32,
    /// Where new work goes; none while the server takes no new work, or has no valid address.
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
    /// Applies a full list, or changes to the present one.
    pub(crate) fn update(&mut self, whole: bool, news: Vec<ListedServer>) {
        if whole {
            self.servers.clear();
        }
        for listed in news {
            if listed.is_removed {
                self.servers.remove(&listed.name);
            } else {
                self.servers.insert(listed.name.clone(), listed);
            }
        }
    }

    /// A server that may be written to, with its address.
    pub(crate) fn ready_server(&self, name: &Name) -> Option<(&ListedServer, SocketAddr)> {
        let listed = self.servers.get(name)?;
        Some((listed, listed.address?))
    }

    /// Whether any server takes new work.
    pub fn any_ready(&self) -> bool {
        self.servers.values().any(|s| s.address.is_some())
    }
}

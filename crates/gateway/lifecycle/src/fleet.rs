//! What the server list says of who may be written to.

use interface::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One server of the list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Listed {
    pub name: Name,
    pub zone: u32,
    pub cell: u32,
    /// Where new work goes; none while the server wants nothing new, or says no address that can be read.
    pub place: Option<SocketAddr>,
    /// Whether it is off the list for good.
    pub gone: bool,
}

/// The server list as far as it matters to attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fleet {
    servers: BTreeMap<Name, Listed>,
}

impl Fleet {
    /// Takes in a whole list, or changes to the one that is held.
    pub(crate) fn update(&mut self, whole: bool, news: Vec<Listed>) {
        if whole {
            self.servers.clear();
        }
        for listed in news {
            if listed.gone {
                self.servers.remove(&listed.name);
            } else {
                self.servers.insert(listed.name.clone(), listed);
            }
        }
    }

    /// A server that may be written to, with its place.
    pub(crate) fn ready(&self, name: &Name) -> Option<(&Listed, SocketAddr)> {
        let listed = self.servers.get(name)?;
        Some((listed, listed.place?))
    }

    /// Whether any server takes new work.
    pub fn any_ready(&self) -> bool {
        self.servers.values().any(|s| s.place.is_some())
    }
}

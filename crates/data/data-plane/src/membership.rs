//! Membership among gateways by SWIM (the `membership` crate): periodic probes in turn, indirect probes, and
//! suspicion before removal. The result is a belief about which gateways are alive; no rule depends on it. A gateway
//! that reaches no control node looks for a relay among the live gateways.

use crate::error::DataPlaneError;
use ::membership::{Config, Keys, StableView, State, Time, View};
use membership_socket::{bind, MembershipSocket, Observer, CLOCK_START};
use process::settings::Settings;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Probe interval. A failed gateway is detected after about ten seconds, and the probes remain negligible for
/// hundreds of gateways on narrow links.
const PROBE_INTERVAL: Time = 2_000_000_000;
/// Time for which a member that is dead or has left is kept in the view. It is pinged now and then, since it may only
/// have been cut off, and a dead one is reported as missing.
const DEAD_RETENTION: Time = 120_000_000_000;
/// Maximum number of datagrams read before requests are served.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 16;
/// Maximum number of missing members in a report.
const MAX_MISSING: usize = 64;

/// This gateway's view of the other gateways.
pub struct Membership {
    socket: MembershipSocket,
}

impl Membership {
    /// Binds the membership socket. Returns `None` if the port range has no room for it.
    ///
    /// # Errors
    /// The address cannot be bound, or random bytes cannot be obtained.
    pub fn open(settings: &Settings) -> Result<Option<Rc<Self>>, DataPlaneError> {
        let Some(port) = settings.membership_port() else { return Ok(None) };
        let address = SocketAddr::new(settings.identity.ip_address, port);
        let socket = bind(address).map_err(|error| DataPlaneError::MembershipSocket(address, error))?;
        let (seed, secret) = (random_bytes()?, random_bytes()?);
        let seed = u64::from_ne_bytes(*seed.first_chunk().expect("sixteen bytes contain eight"));
        let config = view_config(settings, address);
        let view = View::new(config, keys(settings)?, seed, secret, CLOCK_START);
        let socket = MembershipSocket::new(view, socket, MAX_DATAGRAMS_PER_WAKEUP);
        Ok(Some(Rc::new(Membership { socket })))
    }

    /// Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        self.socket.run(&*self).await;
    }

    /// Announces that this process leaves, so that the others need not detect it.
    pub fn leave(&self) {
        self.socket.leave(self);
    }

    /// Returns the addresses of the other gateways that are believed to be alive, unsuspected ones first.
    pub fn live_peers(&self) -> Vec<IpAddr> {
        let view = self.socket.view();
        let live = view.members().filter(|member| member.record.state.is_alive() && member.since > 0);
        let mut peers: Vec<(bool, IpAddr)> =
            live.map(|member| (member.record.state == State::Suspect, member.record.address.ip())).collect();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|(is_suspected, _)| *is_suspected);
        peers.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Returns the names of at most `MAX_MISSING` gateways that are suspected, or believed to be dead without having
    /// left.
    pub fn missing_members(&self) -> Vec<String> {
        let view = self.socket.view();
        let is_missing = |state| matches!(state, State::Suspect | State::Dead);
        let missing = view.members().filter(|member| is_missing(member.record.state));
        missing.map(|member| member.record.name.to_string()).take(MAX_MISSING).collect()
    }
}

impl Observer for Membership {
    fn stable_view_changed(&self, stable_view: &StableView) {
        log::info!("membership: {} live", stable_view.members.len());
    }

    fn superseded(&self, _generation: u64) {
        log::warn!("membership: another process with this name started later; this one stops sending");
    }
}

fn view_config(settings: &Settings, address: SocketAddr) -> Config {
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let mut config = Config::new(&settings.identity.node_name, started_ms, address);
    config.zone.clone_from(&settings.identity.zone);
    // All edge machines run a gateway, including the seeds.
    let seeds = settings.seed_addresses().into_iter();
    config.seeds = seeds.map(|ip| SocketAddr::new(ip, address.port())).collect();
    config.probe_interval = PROBE_INTERVAL;
    config.dead_retention = DEAD_RETENTION;
    config
}

/// Returns the membership keys. The key is not a secret: it separates deployments, and no rule depends on which
/// gateways are believed to be alive. Its text is part of the wire format: gateways of all versions use the same.
fn keys(settings: &Settings) -> Result<Keys, DataPlaneError> {
    let zones: Vec<&String> = settings.network.zones.keys().collect();
    let key = format!("granitethread's company of {zones:?}");
    Keys::new(vec![key.into_bytes()]).map_err(DataPlaneError::MembershipKey)
}

fn random_bytes() -> Result<[u8; 16], DataPlaneError> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(DataPlaneError::Random)?;
    Ok(bytes)
}

//! Gateways that know each other: probes to one after the other in turn, second opinions through third parties, suspicion
//! before removal (SWIM, the `membership` crate). It says who is believed to live; no rule rests on it. A gateway that
//! reaches no control node looks among them for one that does.

use crate::error::DataPlaneError;
use ::membership::{Config, Keys, StableView, State, Time, View};
use membership_socket::{bind, MembershipSocket, Observer, CLOCK_START};
use process::settings::Settings;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Between two probes: a gateway that is gone is known after some ten seconds, and hundreds of gateways on narrow links do not
/// notice the probes.
const PROBE_INTERVAL: Time = 2_000_000_000;
/// How long a dead member is remembered.
const DEAD_RETENTION: Time = 120_000_000_000;
/// Datagrams that are read before requests have their turn.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 16;
/// Missing members that are told of.
const MAX_MISSING: usize = 64;

/// This gateway's view of the others.
pub struct Membership {
    socket: MembershipSocket,
}

impl Membership {
    /// Takes the address. None, if the range of ports has no room for it.
    ///
    /// # Errors
    /// The address or a random number cannot be had.
    pub fn open(settings: &Settings) -> Result<Option<Rc<Self>>, DataPlaneError> {
        let Some(port) = settings.membership_port() else { return Ok(None) };
        let address = SocketAddr::new(settings.identity.ip_address, port);
        let socket = bind(address).map_err(|error| DataPlaneError::MembershipSocket(address, error))?;
        let (seed, secret) = (random()?, random()?);
        let seed = u64::from_ne_bytes(*seed.first_chunk().expect("sixteen bytes hold eight"));
        let config = view_config(settings, address);
        let view = View::new(config, keys(settings)?, seed, secret, CLOCK_START);
        let socket = MembershipSocket::new(view, socket, MAX_DATAGRAMS_PER_WAKEUP);
        Ok(Some(Rc::new(Membership { socket })))
    }

    /// Runs for as long as the process lives.
    pub async fn run(self: Rc<Self>) {
        self.socket.run(&*self).await;
    }

    /// This process ends: the others need not find out.
    pub fn leave(&self) {
        self.socket.leave(self);
    }

    /// The addresses of gateways that are believed to live, except this one, those that are not suspected first.
    pub fn live_peers(&self) -> Vec<IpAddr> {
        let view = self.socket.view();
        let live = view.members().filter(|member| member.record.state.is_alive() && member.since > 0);
        let mut peers: Vec<(bool, IpAddr)> =
            live.map(|member| (member.record.state == State::Suspect, member.record.address.ip())).collect();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|(is_suspected, _)| *is_suspected);
        peers.into_iter().map(|(_, ip)| ip).collect()
    }

    /// The names of gateways that are suspected, or believed to be gone without having left.
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
        log::warn!("membership: another process started later under this name; this one is silent now");
    }
}

fn view_config(settings: &Settings, address: SocketAddr) -> Config {
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let mut config = Config::new(&settings.identity.node_name, started_ms, address);
    config.zone.clone_from(&settings.identity.zone);
    // All edge machines run a gateway, and so do the seeds.
    let seeds = settings.seed_addresses().into_iter();
    config.seeds = seeds.map(|ip| SocketAddr::new(ip, address.port())).collect();
    config.probe_interval = PROBE_INTERVAL;
    config.dead_retention = DEAD_RETENTION;
    config
}

/// No secret: the key keeps strays of other deployments out, and no rule rests on who is believed to live. Its words are part
/// of the wire: gateways of all versions have the same.
fn keys(settings: &Settings) -> Result<Keys, DataPlaneError> {
    let zones: Vec<&String> = settings.network.zones.keys().collect();
    let key = format!("granitethread's company of {zones:?}");
    Keys::new(vec![key.into_bytes()]).map_err(DataPlaneError::MembershipKey)
}

fn random() -> Result<[u8; 16], DataPlaneError> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(DataPlaneError::Random)?;
    Ok(bytes)
}

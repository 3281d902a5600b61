//! Gateways that know each other: probes to one after the other in turn, second opinions through third parties, suspicion
//! before removal (SWIM, the `membership` crate). It says who is believed to live; no rule rests on it. A gateway that
//! reaches no control node looks among them for one that does.

use crate::error::DataPlaneError;
use ::membership::{Config, Input, Keys, Output, State, Time, View, MAX_DATAGRAM_BYTES};
use process::settings::Settings;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until, Instant};

/// Between two probes: a gateway that is gone is known after some ten seconds, and hundreds of gateways on narrow links do not
/// notice the probes.
const PROBE_INTERVAL: Time = 2_000_000_000;
/// How long a dead member is remembered.
const DEAD_RETENTION: Time = 120_000_000_000;
/// The view's clock begins here, so that nothing lies before it.
const CLOCK_START: Time = 1_000_000_000;
/// Datagrams that are read before requests have their turn.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 16;
const ERROR_PAUSE: Duration = Duration::from_millis(100);
const MAX_SLEEP: Duration = Duration::from_secs(3600);
/// Missing members that are told of.
const MAX_MISSING: usize = 64;

/// This gateway's view of the others.
pub struct Membership {
    view: RefCell<View>,
    socket: UdpSocket,
    started: Instant,
}

impl Membership {
    /// Takes the address. None, if the range of ports has no room for it.
    ///
    /// # Errors
    /// The address or a random number cannot be had.
    pub fn open(settings: &Settings) -> Result<Option<Rc<Self>>, DataPlaneError> {
        let Some(port) = settings.membership_port() else { return Ok(None) };
        let address = SocketAddr::new(settings.identity.ip_address, port);
        let open = || {
            let socket = std::net::UdpSocket::bind(address)?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let socket = open().map_err(|error| DataPlaneError::MembershipSocket(address, error))?;
        let (seed, secret) = (random()?, random()?);
        let seed = u64::from_ne_bytes(*seed.first_chunk().expect("sixteen bytes hold eight"));
        let config = view_config(settings, address);
        let view = View::new(config, keys(settings)?, seed, secret, CLOCK_START);
        Ok(Some(Rc::new(Membership { view: RefCell::new(view), socket, started: Instant::now() })))
    }

    fn now(&self) -> Time {
        CLOCK_START + self.started.elapsed().as_nanos() as Time
    }

    /// Runs for as long as the process lives.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.view.borrow().next_due();
            let due = due.map_or(Instant::now() + MAX_SLEEP, |at| {
                self.started + Duration::from_nanos(at.saturating_sub(CLOCK_START))
            });
            // What has arrived is read before the time counts: an answer may lie in the socket behind it.
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        sleep(ERROR_PAUSE).await;
                    }
                    self.read_datagrams(&mut buffer);
                }
                () = sleep_until(due) => {}
            }
            let now = self.now();
            if self.view.borrow().next_due().is_some_and(|at| at <= now) {
                self.handle(Input::Tick);
            }
        }
    }

    fn read_datagrams(&self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_WAKEUP {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) => self.handle(Input::Datagram(&buffer[..length])),
                // A peer's port was closed: the system tells so of an earlier datagram.
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
    }

    /// This process ends: the others need not find out.
    pub fn leave(&self) {
        self.handle(Input::Leave);
    }

    fn handle(&self, input: Input<'_>) {
        let mut outputs = Vec::new();
        self.view.borrow_mut().handle(self.now(), input, &mut outputs);
        for output in outputs {
            match output {
                // What is not taken is as good as lost on the way.
                Output::Send { to, bytes } => drop(self.socket.try_send_to(&bytes, to)),
                Output::Settled(settled) => log::info!("membership: {} live", settled.members.len()),
                Output::Superseded { .. } => log::warn!(
                    "membership: another process started later under this name; this one is silent now"
                ),
            }
        }
    }

    /// The addresses of gateways that are believed to live, except this one, those that are not suspected first.
    pub fn live_peers(&self) -> Vec<IpAddr> {
        let view = self.view.borrow();
        let live = view.members().filter(|member| member.record.state.is_alive() && member.since > 0);
        let mut peers: Vec<(bool, IpAddr)> =
            live.map(|member| (member.record.state == State::Suspect, member.record.address.ip())).collect();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|(is_suspected, _)| *is_suspected);
        peers.into_iter().map(|(_, ip)| ip).collect()
    }

    /// The names of gateways that are suspected, or believed to be gone without having left.
    pub fn missing_members(&self) -> Vec<String> {
        let view = self.view.borrow();
        let is_missing = |state| matches!(state, State::Suspect | State::Dead);
        let missing = view.members().filter(|member| is_missing(member.record.state));
        missing.map(|member| member.record.name.to_string()).take(MAX_MISSING).collect()
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

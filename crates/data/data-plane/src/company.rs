//! Gateways that know each other: probes to one after the other in turn, second opinions through third parties, suspicion
//! before removal (`crates/fleet`). It says who is believed to live; no rule rests on it. A gateway that reaches no prompter
//! looks among them for one that does.

use membership::{Config, Input, Keys, Output, State, Time, View, MOST_BYTES};
use process::settings::Settings;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until, Instant};

/// Between two probes: who is gone is known after some ten seconds, and hundreds of gateways on narrow links do not notice it.
const PROBE_INTERVAL: Time = 2_000_000_000;
const DEAD_RETENTION: Time = 120_000_000_000;
/// The view's clock begins here, so that nothing lies before it.
const CLOCK_START: Time = 1_000_000_000;
/// So many datagrams are read before requests have their turn.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 16;
const ERROR_PAUSE: Duration = Duration::from_millis(100);
/// So many that are missing are told of.
const MAX_MISSING: usize = 64;

pub struct Membership {
    view: RefCell<View>,
    socket: UdpSocket,
    began: Instant,
}

impl Membership {
    /// Takes the address. None, if the range of ports has no room for it.
    ///
    /// # Errors
    /// One line: the address cannot be had.
    pub fn open(settings: &Settings) -> Result<Option<Rc<Self>>, String> {
        let Some(port) = settings.membership_port() else { return Ok(None) };
        let address = SocketAddr::new(settings.identity.ip_address, port);
        let open = || {
            let socket = std::net::UdpSocket::bind(address)?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let socket = open().map_err(|e| format!("company {address}: {e}"))?;
        let life = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut config = Config::new(&settings.identity.node_name, life, address);
        config.zone.clone_from(&settings.identity.zone);
        // All edge machines run a gateway, and so do the seeds.
        config.seeds = settings.seed_addresses().into_iter().map(|ip| SocketAddr::new(ip, port)).collect();
        (config.period, config.keep_dead) = (PROBE_INTERVAL, DEAD_RETENTION);
        // No secret: it keeps strays of other deployments out, and who lives is believed of nobody for a rule's sake.
        let zones: Vec<&String> = settings.network.zones.keys().collect();
        let keys = Keys::new(vec![format!("granitethread's company of {zones:?}").into_bytes()])?;
        let random = || -> Result<[u8; 16], String> {
            let mut bytes = [0; 16];
            getrandom::fill(&mut bytes).map_err(|e| format!("no random numbers are to be had: {e}"))?;
            Ok(bytes)
        };
        let (seed, secret) = (u64::from_ne_bytes(random()?[..8].try_into().expect("eight")), random()?);
        let view = RefCell::new(View::new(config, keys, seed, secret, CLOCK_START));
        Ok(Some(Rc::new(Membership { view, socket, began: Instant::now() })))
    }

    fn now(&self) -> Time {
        CLOCK_START + self.began.elapsed().as_nanos() as Time
    }

    /// For as long as the process lives.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = [0; MOST_BYTES + 1];
        loop {
            let due = self.view.borrow().next_due();
            let far = Instant::now() + Duration::from_secs(3600);
            let due = due.map_or(far, |at| self.began + Duration::from_nanos(at.saturating_sub(CLOCK_START)));
            // What has come is read before the time counts: an answer may lie in the socket behind it.
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        sleep(ERROR_PAUSE).await;
                    }
                    for _ in 0..MAX_DATAGRAMS_PER_WAKEUP {
                        match self.socket.try_recv_from(&mut buffer) {
                            Ok((length, _)) => self.handle(Input::Datagram(&buffer[..length])),
                            // A peer's port was closed: the system tells so of an earlier datagram.
                            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                            Err(_) => break,
                        }
                    }
                }
                () = sleep_until(due) => {}
            }
            let now = self.now();
            if self.view.borrow().next_due().is_some_and(|at| at <= now) {
                self.handle(Input::Tick);
            }
        }
    }

    /// This process ends: the others need not find out.
    pub fn leave(&self) {
        self.handle(Input::Leave);
    }

    fn handle(&self, input: Input<'_>) {
        let mut out = Vec::new();
        self.view.borrow_mut().handle(self.now(), input, &mut out);
        for output in out {
            match output {
                // What is not taken is as good as lost on the way.
                Output::Send { to, bytes } => drop(self.socket.try_send_to(&bytes, to)),
                Output::Settled(settled) => log::info!("company: {} live", settled.members.len()),
                Output::Superseded { .. } => {
                    log::warn!(
                        "company: another process began later under this name; this one speaks no more"
                    );
                }
            }
        }
    }

    /// Those who are believed to live but for this one, the unsuspected first.
    pub fn live_peers(&self) -> Vec<IpAddr> {
        let view = self.view.borrow();
        let living = view.members().filter(|m| m.record.state.lives() && m.since > 0);
        let mut others: Vec<(bool, IpAddr)> =
            living.map(|m| (m.record.state == State::Suspect, m.record.address.ip())).collect();
        fastrand::shuffle(&mut others);
        others.sort_by_key(|(suspect, _)| *suspect);
        others.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Those who are suspected or believed to be gone without a word.
    pub fn missing_members(&self) -> Vec<String> {
        let view = self.view.borrow();
        let gone = view.members().filter(|m| matches!(m.record.state, State::Suspect | State::Dead));
        gone.map(|m| m.record.name.to_string()).take(MAX_MISSING).collect()
    }
}

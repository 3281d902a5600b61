//! The view of the fleet on a socket: datagrams and the time go in, what it says goes out. Nothing is decided here.

use crate::allowance;
use membership::{Config, Input, Keys, Output, Role, Settled, State, Time, View, MAX_DATAGRAM_BYTES};
use operator::{Fleet as Table, Operator};
use proxy::driver::Driver;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};
use tracing::{info, warn};

/// So many datagrams are read before requests have their turn.
const AT_ONCE: usize = 64;
/// The view's clock begins here, so that nothing lies before it.
const START: Time = 1_000_000_000;
/// A socket that fails at once, for want of a route say, is not asked again sooner.
const PAUSE: Duration = Duration::from_millis(100);

/// The membership view on its socket.
pub struct Fleet {
    view: RefCell<View>,
    socket: UdpSocket,
    began: Instant,
    /// Datagrams and bytes sent; datagrams that the system did not take.
    sent: Cell<(u64, u64, u64)>,
    moved: Notify,
    used: RefCell<Option<Used>>,
}

/// Who works by the view.
struct Used {
    driver: Rc<Driver>,
    subsets: bool,
    callers: Option<Rc<Cell<Option<u32>>>>,
    /// Names of the planners that a forwarder asks.
    planners: Vec<String>,
    /// How many gateways the settings name.
    settings: u32,
    /// What they were told last: the own place among how many, and which planners live.
    told: (Option<(u32, u32)>, Vec<Option<bool>>),
}

impl Fleet {
    /// Reads the keys and takes the address.
    pub fn prepare(table: &Table, role: Role) -> Result<Rc<Self>, String> {
        #[cfg(feature = "defects")]
        plant()?;
        let mut keys = vec![allowance::key(&table.key_file)?];
        keys.extend(table.old_key_file.as_deref().map(allowance::key).transpose()?);
        let open = || {
            let socket = std::net::UdpSocket::bind(table.listen)?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let socket = open().map_err(|e| format!("fleet.listen {}: {e}", table.listen))?;
        let life = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut config = Config::new(&table.name, life, table.advertise);
        config.zone.clone_from(&table.zone);
        config.role = role;
        config.seeds.clone_from(&table.seeds);
        config.probe_interval = table.period.as_nanos() as Time;
        config.dead_retention = table.keep_dead.as_nanos() as Time;
        config.max_members = table.most_members;
        let secret = allowance::random()?;
        let view = View::new(config, Keys::new(keys)?, allowance::nonce()?, secret, START);
        let (view, began) = (RefCell::new(view), Instant::now());
        Ok(Rc::new(Fleet {
            view,
            socket,
            began,
            sent: Cell::default(),
            moved: Notify::new(),
            used: RefCell::default(),
        }))
    }

    /// From now on these work by the view, as far as the operators want it.
    pub fn serves(
        &self,
        operator: &Operator,
        driver: &Rc<Driver>,
        settings: u32,
        callers: &Rc<Cell<Option<u32>>>,
    ) {
        let Some(table) = &operator.fleet else { return };
        let callers = table.discovery.then(|| callers.clone());
        let planners = operator.forwarder.as_ref().map(|f| f.names.clone()).unwrap_or_default();
        let told = (None, vec![None; planners.len()]);
        let (driver, subsets) = (driver.clone(), table.subsets);
        *self.used.borrow_mut() = Some(Used { driver, subsets, callers, planners, settings, told });
    }

    /// Tells them what has changed.
    fn tell(&self) {
        let Some(used) = &mut *self.used.borrow_mut() else { return };
        let view = self.view.borrow();
        let seen = view.position().map(|(me, all)| (me as u32, all as u32));
        let planners: Vec<_> = used.planners.iter().map(|name| view.is_alive(name)).collect();
        if used.told.0 != seen {
            used.told.0 = seen;
            if used.subsets {
                used.driver.neighbours(seen);
            }
            if let Some(callers) = &used.callers {
                callers.set(Some(seen.map_or(used.settings, |(_, all)| all)));
            }
        }
        if used.told.1 != planners {
            used.told.1.clone_from(&planners);
            used.driver.planners(planners);
        }
    }

    fn now(&self) -> Time {
        START + self.began.elapsed().as_nanos() as Time
    }

    /// For as long as the process lives.
    pub async fn run(self: Rc<Self>) {
        if let Ok(address) = self.socket.local_addr() {
            info!(%address, "fleet: on {address}");
        }
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.view.borrow().next_due();
            let far = Instant::now() + Duration::from_secs(3600);
            let due = due.map_or(far, |at| self.began + Duration::from_nanos(at.saturating_sub(START)));
            // What has come is read before the time counts: an answer may lie in the socket behind it.
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        tokio::time::sleep(PAUSE).await;
                    }
                    for _ in 0..AT_ONCE {
                        match self.socket.try_recv_from(&mut buffer) {
                            Ok((length, _)) => self.handle(Input::Datagram(&buffer[..length])),
                            // A peer's port was closed: the system tells so of an earlier datagram.
                            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                            Err(_) => break,
                        }
                    }
                }
                () = sleep_until(due) => {}
                () = self.moved.notified() => {}
            }
            let now = self.now();
            if self.view.borrow().next_due().is_some_and(|at| at <= now) {
                self.handle(Input::Tick);
                self.tell();
            }
        }
    }

    /// This process ends: the others need not find out.
    pub fn leave(&self) {
        self.handle(Input::Leave);
        self.moved.notify_one();
    }

    fn handle(&self, input: Input<'_>) {
        let mut out = Vec::new();
        self.view.borrow_mut().handle(self.now(), input, &mut out);
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    let (mut datagrams, mut all, mut lost) = self.sent.get();
                    match self.socket.try_send_to(&bytes, to) {
                        Ok(_) => (datagrams, all) = (datagrams + 1, all + bytes.len() as u64),
                        // As good as lost on the way.
                        Err(_) => lost += 1,
                    }
                    self.sent.set((datagrams, all, lost));
                }
                Output::Settled(settled) => {
                    let Settled { version, members, position, digest, .. } = settled;
                    let living = members.len();
                    info!(
                        version,
                        living, position, "fleet: version {version}, {living} live, digest {digest:016x}"
                    );
                }
                Output::Superseded { generation: life } => {
                    warn!(
                        life,
                        "fleet: another process began later under this name; this one speaks no more"
                    );
                }
            }
        }
    }

    /// What `GET /status/fleet` tells.
    pub fn status(&self) -> Value {
        let now = self.now();
        let view = self.view.borrow();
        let health = view.health();
        let settled = view.settled();
        let ms = |since: Time| now.saturating_sub(since.max(START)) / 1_000_000;
        let member = |m: membership::Member| {
            let r = m.record;
            json!({
                "name": &*r.name, "life": r.generation, "state": word(r.state), "for_ms": ms(m.since),
                "address": r.address, "zone": &*r.zone, "role": if r.role == Role::Planner { "planner" } else { "gateway" },
                "health": m.health, "versions": [r.versions.0, r.versions.1],
            })
        };
        let dropped: serde_json::Map<_, _> =
            view.faults().map(|(fault, n)| (fault.to_string(), json!(n))).collect();
        let (datagrams, bytes, lost) = self.sent.get();
        let told = self.used.borrow().as_ref().map(|u| json!({"place": u.told.0, "planners": u.told.1}));
        json!({
            "told": told,
            "joined": health.has_joined, "superseded": health.is_superseded, "health": health.health,
            "cut_off_ms": health.isolated_since.map(ms),
            "digest": format!("{:016x}", view.digest()),
            "settled": {
                "version": settled.version, "members": settled.members.len(), "position": settled.position,
                "digest": format!("{:016x}", settled.digest), "age_ms": ms(settled.at),
            },
            "members": view.members().map(member).collect::<Vec<_>>(),
            "sent": {"datagrams": datagrams, "bytes": bytes, "not_taken": lost},
            "dropped": dropped,
        })
    }
}

/// For the rig: a defect of the view that this process is to have.
#[cfg(feature = "defects")]
fn plant() -> Result<(), String> {
    let Some(name) = std::env::var_os("GRANITETHREAD_DEFECT") else { return Ok(()) };
    let defect = name.to_str().and_then(membership::defects::named);
    membership::defects::plant(Some(defect.ok_or(format!("no defect is named {}", name.display()))?));
    Ok(())
}

fn word(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

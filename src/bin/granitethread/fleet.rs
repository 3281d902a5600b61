//! The membership view in the program in service: who works by it, and what operators see of it. The `membership-socket`
//! crate carries the datagrams.

use crate::allowance;
use membership::{Config, Keys, Role, StableView, State, Time, View};
use membership_socket::{bind, MembershipSocket, Observer, SendCounts, CLOCK_START};
use operator::{Fleet as Table, Operator};
use proxy::driver::Driver;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Datagrams that are read before requests have their turn.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 64;

/// The membership view on its socket.
pub struct Fleet {
    socket: MembershipSocket,
    users: RefCell<Option<Users>>,
}

/// Who works by the view, and what they were told last.
struct Users {
    driver: Rc<Driver>,
    subsets: bool,
    callers: Option<Rc<Cell<Option<u32>>>>,
    /// Names of the planners that a forwarder asks.
    planners: Vec<String>,
    /// How many gateways the settings name.
    settings: u32,
    /// The gateway's position among how many.
    told_position: Option<(u32, u32)>,
    /// Which planners are alive.
    told_planners: Vec<Option<bool>>,
}

impl Fleet {
    /// Reads the keys and takes the address.
    pub fn prepare(table: &Table, role: Role) -> Result<Rc<Self>, String> {
        #[cfg(feature = "defects")]
        plant()?;
        let mut keys = vec![allowance::key(&table.key_file)?];
        keys.extend(table.old_key_file.as_deref().map(allowance::key).transpose()?);
        let socket = bind(table.listen).map_err(|e| format!("fleet.listen {}: {e}", table.listen))?;
        let life = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut config = Config::new(&table.name, life, table.advertise);
        config.zone.clone_from(&table.zone);
        config.role = role;
        config.seeds.clone_from(&table.seeds);
        config.probe_interval = table.period.as_nanos() as Time;
        config.dead_retention = table.keep_dead.as_nanos() as Time;
        config.max_members = table.most_members;
        let secret = allowance::random()?;
        let view = View::new(config, Keys::new(keys)?, allowance::nonce()?, secret, CLOCK_START);
        let socket = MembershipSocket::new(view, socket, MAX_DATAGRAMS_PER_WAKEUP);
        Ok(Rc::new(Fleet { socket, users: RefCell::default() }))
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
        *self.users.borrow_mut() = Some(Users {
            driver: driver.clone(),
            subsets: table.subsets,
            callers,
            told_position: None,
            told_planners: vec![None; planners.len()],
            planners,
            settings,
        });
    }

    /// Tells the users of the view what has changed.
    fn update_users(&self) {
        let Some(users) = &mut *self.users.borrow_mut() else { return };
        let view = self.socket.view();
        let position = view.position().map(|(index, gateways)| (index as u32, gateways as u32));
        let planners: Vec<_> = users.planners.iter().map(|name| view.is_alive(name)).collect();
        if users.told_position != position {
            users.told_position = position;
            if users.subsets {
                users.driver.set_gateway_position(position);
            }
            if let Some(callers) = &users.callers {
                callers.set(Some(position.map_or(users.settings, |(_, gateways)| gateways)));
            }
        }
        if users.told_planners != planners {
            users.told_planners.clone_from(&planners);
            users.driver.set_planner_liveness(planners);
        }
    }

    /// Runs for as long as the process lives.
    pub async fn run(self: Rc<Self>) {
        if let Ok(address) = self.socket.local_address() {
            info!(%address, "fleet: on {address}");
        }
        self.socket.run(&*self).await;
    }

    /// This process ends: the others need not find out.
    pub fn leave(&self) {
        self.socket.leave(self);
    }

    /// What `GET /status/fleet` tells.
    pub fn status(&self) -> Value {
        let now = self.socket.now();
        let view = self.socket.view();
        let health = view.health();
        let stable_view = view.stable_view();
        let ms = |since: Time| now.saturating_sub(since.max(CLOCK_START)) / 1_000_000;
        let member = |m: membership::Member| {
            let r = m.record;
            json!({
                "name": &*r.name, "life": r.generation, "state": state_name(r.state), "for_ms": ms(m.since),
                "address": r.address, "zone": &*r.zone, "role": if r.role == Role::Planner { "planner" } else { "gateway" },
                "health": m.health, "versions": [r.versions.0, r.versions.1],
            })
        };
        let dropped: serde_json::Map<_, _> =
            view.dropped_datagrams().map(|(fault, n)| (fault.to_string(), json!(n))).collect();
        let SendCounts { datagrams, bytes, rejected } = self.socket.sent();
        let users = self.users.borrow();
        let told = users.as_ref().map(|u| json!({"place": u.told_position, "planners": u.told_planners}));
        json!({
            "told": told,
            "joined": health.has_joined, "superseded": health.is_superseded, "health": health.health,
            "cut_off_ms": health.isolated_since.map(ms),
            "digest": format!("{:016x}", view.digest()),
            "settled": {
                "version": stable_view.version, "members": stable_view.members.len(), "position": stable_view.position,
                "digest": format!("{:016x}", stable_view.digest), "age_ms": ms(stable_view.created_at),
            },
            "members": view.members().map(member).collect::<Vec<_>>(),
            "sent": {"datagrams": datagrams, "bytes": bytes, "not_taken": rejected},
            "dropped": dropped,
        })
    }
}

impl Observer for Fleet {
    fn stable_view_changed(&self, stable_view: &StableView) {
        let StableView { version, members, position, digest, .. } = stable_view;
        let living = members.len();
        info!(version, living, position, "fleet: version {version}, {living} live, digest {digest:016x}");
    }

    fn superseded(&self, generation: u64) {
        warn!(
            life = generation,
            "fleet: another process began later under this name; this one speaks no more"
        );
    }

    fn ticked(&self) {
        self.update_users();
    }
}

/// For the test harness: a defect of the view that this process is to have.
#[cfg(feature = "defects")]
fn plant() -> Result<(), String> {
    let Some(name) = std::env::var_os("GRANITETHREAD_DEFECT") else { return Ok(()) };
    let defect = name.to_str().and_then(membership::defects::named);
    membership::defects::plant(Some(defect.ok_or(format!("no defect is named {}", name.display()))?));
    Ok(())
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

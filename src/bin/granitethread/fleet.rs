//! Connects the membership view to the rest of the gateway and reports it to operators. The `membership-socket` crate sends
//! and receives the datagrams.

use crate::allowance;
use membership::{Config, Keys, Role, StableView, State, Time, View};
use membership_socket::{bind, MembershipSocket, Observer, SendCounts, CLOCK_START};
use operator::{Fleet as Table, OperatorConfig};
use proxy::driver::Driver;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Maximum number of datagrams read before other tasks run.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 64;

/// The membership view on its socket.
pub struct Fleet {
    socket: MembershipSocket,
    consumers: RefCell<Option<Consumers>>,
}

/// Components that use the view, and the values last applied to them.
struct Consumers {
    driver: Rc<Driver>,
    subsets: bool,
    callers: Option<Rc<Cell<Option<u32>>>>,
    /// Member names of the forwarder's planners.
    planners: Vec<String>,
    /// Number of gateways in the settings.
    configured_gateways: u32,
    /// Index of this gateway among the live gateways, and their number.
    applied_position: Option<(u32, u32)>,
    /// Which planners are alive; none if unknown.
    applied_planners: Vec<Option<bool>>,
}

impl Fleet {
    /// Reads the keys and binds the socket.
    pub fn prepare(table: &Table, role: Role) -> Result<Rc<Self>, String> {
        #[cfg(feature = "defects")]
        plant()?;
        let mut keys = vec![allowance::read_key(&table.key_file)?];
        keys.extend(table.old_key_file.as_deref().map(allowance::read_key).transpose()?);
        let socket = bind(table.listen).map_err(|e| format!("fleet.listen {}: {e}", table.listen))?;
        let generation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut config = Config::new(&table.name, generation, table.advertise);
        config.zone.clone_from(&table.zone);
        config.role = role;
        config.seeds.clone_from(&table.seeds);
        config.probe_interval = table.probe_interval.as_nanos() as Time;
        config.dead_retention = table.dead_retention.as_nanos() as Time;
        config.max_members = table.max_members;
        let secret = allowance::random_bytes()?;
        let view = View::new(config, Keys::new(keys)?, allowance::nonce()?, secret, CLOCK_START);
        let socket = MembershipSocket::new(view, socket, MAX_DATAGRAMS_PER_WAKEUP);
        Ok(Rc::new(Fleet { socket, consumers: RefCell::default() }))
    }

    /// Sets the components that the view updates, as far as the operators' file enables it.
    pub fn set_consumers(
        &self,
        operator: &OperatorConfig,
        driver: &Rc<Driver>,
        configured_gateways: u32,
        callers: &Rc<Cell<Option<u32>>>,
    ) {
        let Some(table) = &operator.fleet else { return };
        let callers = table.discovery.then(|| callers.clone());
        let planners = operator.forwarder.as_ref().map(|f| f.names.clone()).unwrap_or_default();
        *self.consumers.borrow_mut() = Some(Consumers {
            driver: driver.clone(),
            subsets: table.subsets,
            callers,
            applied_position: None,
            applied_planners: vec![None; planners.len()],
            planners,
            configured_gateways,
        });
    }

    /// Applies changes of the view to its consumers.
    fn update_consumers(&self) {
        let Some(consumers) = &mut *self.consumers.borrow_mut() else { return };
        let view = self.socket.view();
        let position = view.position().map(|(index, gateways)| (index as u32, gateways as u32));
        let planners: Vec<_> = consumers.planners.iter().map(|name| view.is_alive(name)).collect();
        if consumers.applied_position != position {
            consumers.applied_position = position;
            if consumers.subsets {
                consumers.driver.set_gateway_position(position);
            }
            if let Some(callers) = &consumers.callers {
                callers.set(Some(position.map_or(consumers.configured_gateways, |(_, gateways)| gateways)));
            }
        }
        if consumers.applied_planners != planners {
            consumers.applied_planners.clone_from(&planners);
            consumers.driver.set_planner_liveness(planners);
        }
    }

    /// Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        if let Ok(address) = self.socket.local_address() {
            info!(%address, "fleet: on {address}");
        }
        self.socket.run(&*self).await;
    }

    /// Announces that this process leaves, so that the other members need not detect it.
    pub fn leave(&self) {
        self.socket.leave(self);
    }

    /// Returns the answer to `GET /status/fleet`.
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
        let consumers = self.consumers.borrow();
        let applied =
            consumers.as_ref().map(|u| json!({"place": u.applied_position, "planners": u.applied_planners}));
        json!({
            "told": applied,
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
            "fleet: another process started later under this name; this one sends no more datagrams"
        );
    }

    fn ticked(&self) {
        self.update_consumers();
    }
}

/// Activates the defect of the view that the test harness names.
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

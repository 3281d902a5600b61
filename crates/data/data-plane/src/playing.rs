//! What is playing: the configuration in force and the backends, as requests need them. Fed by the link to a prompter.

use crate::pools::{Pools, POOL_COUNT};
use crate::rights::TenantQuota;
use crate::sorts::{RequestClass, RequestClasses};
use configuration::{Configuration, Route, RouteTable};
use interface::{Effect, Plan, Scope, Settings};
use messages::message::GatewayMessage;
use proxy::driver::Driver;
use proxy::list::{List, State, Target};
use registry::Heartbeat;
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use subscription::{Subscription, SubscriptionConfig, View, ViewChange};
use tokio::sync::mpsc;
use tokio::time::Instant;
use trial::TenantTerms;

/// Ranks of requests: the highest has this weight, each lower one less by one.
const PRIORITY_LEVELS: usize = 8;
/// How long backends are slow at the longest that is reckoned with, and how slow.
pub const WARMUP_TIME: Duration = Duration::from_secs(3);
const WARMUP_INITIAL_SPEED: f64 = 0.5;
/// How much longer a wait at a backend of the own zone may be: bytes between zones have a price.
const CROSS_ZONE_PRICE: f64 = 0.25;
/// A unit of work, in ms, and the most of one request.
const UNIT_MS: f64 = 100.0;
pub const MAX_UNITS: f64 = 16.0;

pub struct Gateway {
    pub quota: Rc<TenantQuota>,
    subscription: RefCell<Subscription>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    request_classes: RefCell<RequestClasses>,
    /// Told to the module beside the classes: the most attempts of each.
    pub max_attempts: crate::house::MaxAttempts,
    pools: RefCell<Pools>,
    settings: RefCell<Settings>,
    driver: RefCell<Option<Rc<Driver>>>,
    name: String,
    control_node: Cell<Option<IpAddr>>,
}

impl Gateway {
    /// `zone`: the place of its zone among all.
    pub fn new(rights: Rc<TenantQuota>, me: SubscriptionConfig, zone: u32) -> Rc<Self> {
        let plans = (0..PRIORITY_LEVELS).map(|rank| Plan {
            value_factor: (PRIORITY_LEVELS - rank) as f64,
            ..Plan::new(&format!("rank {rank}"), 0.0, 0.0)
        });
        // Who is slowed, in queues of their own, of the least weight.
        let plans = plans.chain([Plan::new("slowed", 0.0, 0.0)]);
        let sorts = RequestClasses::new();
        let settings = Settings {
            zone,
            // Until it is known: a guess errs on the side of small rooms.
            gateways: 8,
            pools: POOL_COUNT,
            classes: sorts.all().iter().map(RequestClass::to_module_class).collect(),
            plans: plans.collect(),
            cancelling: true,
            retry_after: true,
            max_retry_after: 1_000_000_000,
            try_limit: 4,
            most_units: MAX_UNITS,
            cold: WARMUP_TIME.as_nanos() as u64,
            cold_from: WARMUP_INITIAL_SPEED,
            cross_zone_price: CROSS_ZONE_PRICE,
            tick: 1_000_000,
            ..Settings::default()
        };
        Rc::new(Gateway {
            quota: rights,
            name: me.name.clone(),
            subscription: RefCell::new(Subscription::new(me)),
            routes: RefCell::default(),
            max_attempts: Rc::new(RefCell::new(sorts.all().iter().map(|s| s.max_attempts).collect())),
            request_classes: RefCell::new(sorts),
            pools: RefCell::default(),
            settings: RefCell::new(settings),
            driver: RefCell::default(),
            control_node: Cell::new(None),
        })
    }

    pub fn settings(&self) -> Settings {
        self.settings.borrow().clone()
    }

    pub fn set_driver(&self, driver: Rc<Driver>) {
        self.quota.set_driver(driver.clone());
        *self.driver.borrow_mut() = Some(driver);
    }

    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Whether what this gateway refuses for want of a route or a key may be refused for good.
    pub fn is_fresh(&self) -> bool {
        self.subscription.borrow().freshness().is_fresh(self.quota.now())
    }

    /// Whether new clients do well to come here.
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && self.subscription.borrow().freshness().is_ready(self.quota.now())
    }

    /// A link stands; to this prompter itself, or through another gateway.
    pub fn on_connected(&self, uplink: mpsc::Sender<GatewayMessage>, prompter: Option<IpAddr>) {
        self.quota.set_uplink(Some(uplink));
        self.control_node.set(prompter);
    }

    pub fn on_disconnected(&self) {
        self.quota.set_uplink(None);
        self.control_node.set(None);
    }

    /// The prompter that it follows itself.
    pub fn control_node(&self) -> Option<IpAddr> {
        self.control_node.get()
    }

    /// Its following of prompters.
    pub fn with_subscription<T>(&self, act: impl FnOnce(&mut Subscription, subscription::Time) -> T) -> T {
        act(&mut self.subscription.borrow_mut(), self.quota.now())
    }

    /// The pool that a request for this service goes to.
    pub fn pool_for_service(&self, service: &str) -> usize {
        self.pools.borrow_mut().pool_for_requests(service)
    }

    /// The pools of this service's backends, a bit each.
    pub fn pools_of_backend(&self, service: &str) -> u32 {
        self.pools.borrow_mut().pools_of_backend(service)
    }

    /// A route's place among the classes.
    pub fn class(&self, route: &Route) -> usize {
        self.request_classes.borrow().index_of(&RequestClass::of_route(route))
    }

    /// A rank's place among the plans.
    pub fn plan_for_priority(priority: u32) -> usize {
        (priority as usize).min(PRIORITY_LEVELS - 1)
    }

    /// The place of those who are slowed.
    pub const THROTTLED_PLAN: usize = PRIORITY_LEVELS;

    /// How long a request of this class may wait for its turn, with so much time left: not so long that it could not be
    /// served behind it. And how long without losing its aim, if it can be sent only once.
    pub fn max_wait(&self, class: usize, left: Duration, wait: Duration) -> (Duration, Option<Duration>) {
        let settings = self.settings.borrow();
        let class = &settings.classes[class.min(settings.classes.len() - 1)];
        let aim = Duration::from_nanos(class.aim);
        let pressing = (class.effect == Effect::Unsafe).then_some(aim / 2);
        (wait.min(left - aim.min(left / 2)), pressing)
    }

    /// The driver's time in so long.
    pub fn time_in(&self, after: Duration) -> interface::Time {
        self.driver.borrow().as_ref().map_or(0, |d| d.time(Instant::now() + after))
    }

    /// The guess at a request's units, which nothing tells beforehand: operators set aims by the work.
    pub fn estimate_units(route: &Route) -> f64 {
        (route.target_latency_ms / 4.0 / UNIT_MS).clamp(0.25, MAX_UNITS)
    }

    // ---- News ----

    /// Something that this gateway has seen itself.
    pub fn observe(&self, act: impl FnOnce(&mut View) -> Vec<ViewChange>) {
        let news = self.with_subscription(|f, _| f.observe(act));
        self.apply_changes(news);
    }

    pub fn apply_changes(&self, news: Vec<ViewChange>) {
        let driver = self.driver.borrow().clone();
        let now = driver.as_ref().map_or(0, |d| d.time(Instant::now()));
        let mut targets = Vec::new();
        for n in news {
            match n {
                ViewChange::Configuration(c) => match Configuration::parse(&c.body) {
                    Ok(playbill) => {
                        log::info!("configuration {:08x} in force", c.version);
                        self.configure(playbill);
                    }
                    Err(fault) => log::error!("configuration {:08x}: {fault}; the old one stands", c.version),
                },
                ViewChange::BackendReady(fact) => targets.push(ready_target(&fact, now)),
                ViewChange::BackendDraining(id) => targets.push(target_in_state(id, State::Terminating)),
                ViewChange::BackendRemoved(id) => targets.push(target_in_state(id, State::Gone)),
                ViewChange::Gateways => self.update_gateways(),
            }
        }
        if let Some(driver) = driver.filter(|_| !targets.is_empty()) {
            driver.list(Scope::Changes, List { rev: 0, all: false, targets });
        }
    }

    fn configure(&self, playbill: Configuration) {
        let mut sorts = self.request_classes.borrow_mut();
        sorts.configure(&playbill.routes);
        self.quota.set_limits(&TenantTerms::from_configuration(&playbill).limits);
        *self.max_attempts.borrow_mut() = sorts.all().iter().map(|s| s.max_attempts).collect();
        self.settings.borrow_mut().classes = sorts.all().iter().map(RequestClass::to_module_class).collect();
        drop(sorts);
        self.reconfigure();
        *self.routes.borrow_mut() = Some(Rc::new(RouteTable::new(playbill)));
    }

    fn update_gateways(&self) {
        let follow = self.subscription.borrow();
        let all = follow.view().gateways();
        let mine = all.iter().position(|name| *name == self.name);
        self.quota.set_gateway_count(mine.map_or(0, |_| all.len() as u32));
        // Of many backends each gateway keeps to some, by its place among the gateways.
        if let (Some(me), Some(driver)) = (mine, &*self.driver.borrow()) {
            driver.neighbours(Some((me as u32, all.len() as u32)));
        }
        self.settings.borrow_mut().gateways = all.len().max(1) as u32;
        drop(follow);
        self.reconfigure();
    }

    fn reconfigure(&self) {
        if let Some(driver) = &*self.driver.borrow() {
            driver.reconfigure(self.settings());
        }
    }
}

/// `now`: on the driver's clock, by which it tells how long backends have run.
fn ready_target(fact: &Heartbeat, now: u64) -> Target {
    let cold = WARMUP_TIME.saturating_sub(Duration::from_millis(u64::from(fact.warmup_left_ms)));
    Target {
        uid: fact.instance.clone(),
        endpoint: fact.address.clone(),
        az: fact.zone.clone(),
        model: fact.service.clone(),
        pod_group: 0,
        state: State::Ready,
        capacity_hint: 1.0,
        boot_ms: now / 1_000_000 - cold.as_millis() as u64,
    }
}

fn target_in_state(id: String, state: State) -> Target {
    let nothing = String::new;
    Target {
        uid: id,
        endpoint: nothing(),
        az: nothing(),
        model: nothing(),
        pod_group: 0,
        state,
        capacity_hint: 1.0,
        boot_ms: 0,
    }
}

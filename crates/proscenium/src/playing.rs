//! What is playing: the configuration in force and the backends, as requests need them. Fed by the link to a prompter.

use crate::fold::{Fold, News};
use crate::pools::{Pools, POOLS};
use crate::rights::Rights;
use crate::sorts::{Sort, Sorts};
use curtain::Terms;
use granite_interface::{Effect, Plan, Scope, Settings};
use granite_stage::driver::Driver;
use granite_stage::list::{List, State, Target};
use greenroom::Fact;
use playbill::{Playbill, Route, Table};
use promptbook::Configuration;
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wings::message::Up;

/// Ranks of requests: the highest has this weight, each lower one less by one.
const RANKS: usize = 8;
/// How long backends are slow at the longest that is reckoned with, and how slow.
pub const COLD: Duration = Duration::from_secs(3);
const COLD_FROM: f64 = 0.5;
/// How much longer a wait at a backend of the own zone may be: bytes between zones have a price.
const FAR: f64 = 0.25;
/// Refusals of our own for what the configuration does not know rest on one that is known to be the newest of late.
const FRESH: Duration = Duration::from_millis(1500);
/// Without a word of a majority for so long new clients are better off elsewhere.
const READY: Duration = Duration::from_secs(3);
/// A unit of work, in ms, and the most of one request.
const UNIT_MS: f64 = 100.0;
pub const MOST_UNITS: f64 = 16.0;

pub struct Playing {
    pub rights: Rc<Rights>,
    fold: RefCell<Fold>,
    table: RefCell<Option<Rc<Table>>>,
    sorts: RefCell<Sorts>,
    /// Told to the module beside the classes: the most attempts of each.
    pub attempts: crate::house::Attempts,
    pools: RefCell<Pools>,
    settings: RefCell<Settings>,
    driver: RefCell<Option<Rc<Driver>>>,
    me: String,
    /// When a majority was last known of, and when all that it had agreed on on configurations was held here.
    touch: Cell<Option<Instant>>,
    newest: Cell<Option<Instant>>,
    prompter: Cell<Option<IpAddr>>,
}

impl Playing {
    pub fn new(rights: Rc<Rights>, me: String, zone: u32) -> Rc<Self> {
        let plans = (0..RANKS).map(|rank| Plan {
            value_factor: (RANKS - rank) as f64,
            ..Plan::new(&format!("rank {rank}"), 0.0, 0.0)
        });
        // Who is slowed, in queues of their own, of the least weight.
        let plans = plans.chain([Plan::new("slowed", 0.0, 0.0)]);
        let sorts = Sorts::new();
        let settings = Settings {
            zone,
            // Until it is known: a guess errs on the side of small rooms.
            gateways: 8,
            pools: POOLS,
            classes: sorts.all().iter().map(Sort::class).collect(),
            plans: plans.collect(),
            cancelling: true,
            retry_after: true,
            max_retry_after: 1_000_000_000,
            try_limit: 4,
            most_units: MOST_UNITS,
            cold: COLD.as_nanos() as u64,
            cold_from: COLD_FROM,
            cross_zone_price: FAR,
            tick: 1_000_000,
            ..Settings::default()
        };
        Rc::new(Playing {
            rights,
            fold: RefCell::default(),
            table: RefCell::default(),
            attempts: Rc::new(RefCell::new(sorts.all().iter().map(|s| s.attempts).collect())),
            sorts: RefCell::new(sorts),
            pools: RefCell::default(),
            settings: RefCell::new(settings),
            driver: RefCell::default(),
            me,
            touch: Cell::new(None),
            newest: Cell::new(None),
            prompter: Cell::new(None),
        })
    }

    pub fn settings(&self) -> Settings {
        self.settings.borrow().clone()
    }

    pub fn drives(&self, driver: Rc<Driver>) {
        self.rights.drives(driver.clone());
        *self.driver.borrow_mut() = Some(driver);
    }

    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Whether what this gateway refuses for want of a route or a key may be refused for good.
    pub fn is_fresh(&self) -> bool {
        self.newest.get().is_some_and(|at| at.elapsed() < FRESH)
    }

    /// Whether new clients do well to come here.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && self.touch.get().is_some_and(|at| at.elapsed() < READY)
    }

    /// A link stands; to this prompter itself, or through another gateway.
    pub fn linked(&self, uplink: mpsc::Sender<Up>, prompter: Option<IpAddr>) {
        self.rights.link(Some(uplink));
        self.prompter.set(prompter);
    }

    pub fn unlinked(&self) {
        self.rights.link(None);
        self.prompter.set(None);
    }

    /// The prompter that it follows itself.
    pub fn prompter(&self) -> Option<IpAddr> {
        self.prompter.get()
    }

    /// The prompter holds all that was agreed on by then, and the newest configuration of that stands at `newest`.
    pub fn touched(&self, at: Instant, newest: u64) {
        self.touch.set(self.touch.get().max(Some(at)));
        if self.holds() >= newest {
            self.newest.set(self.newest.get().max(Some(at)));
        }
    }

    /// The configuration that it goes by.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.fold.borrow().held().cloned()
    }

    /// Where that stands in the agreed log; 0: there is none.
    pub fn holds(&self) -> u64 {
        self.fold.borrow().held().map_or(0, |c| c.place)
    }

    /// The pool that a request for this service goes to.
    pub fn pool(&self, service: &str) -> usize {
        self.pools.borrow_mut().asked(service)
    }

    /// The pools of this service's backends, a bit each.
    pub fn pools(&self, service: &str) -> u32 {
        self.pools.borrow_mut().served(service)
    }

    /// A route's place among the classes.
    pub fn class(&self, route: &Route) -> usize {
        self.sorts.borrow().place(&Sort::of(route))
    }

    /// A rank's place among the plans.
    pub fn rank(priority: u32) -> usize {
        (priority as usize).min(RANKS - 1)
    }

    /// The place of those who are slowed.
    pub const SLOWED: usize = RANKS;

    /// How long a request of this class may wait for its turn, with so much time left: not so long that it could not be
    /// served behind it. And how long without losing its aim, if it can be sent only once.
    pub fn patience(&self, class: usize, left: Duration, wait: Duration) -> (Duration, Option<Duration>) {
        let settings = self.settings.borrow();
        let class = &settings.classes[class.min(settings.classes.len() - 1)];
        let aim = Duration::from_nanos(class.aim);
        let pressing = (class.effect == Effect::Unsafe).then_some(aim / 2);
        (wait.min(left - aim.min(left / 2)), pressing)
    }

    /// The driver's time in so long.
    pub fn time_in(&self, after: Duration) -> granite_interface::Time {
        self.driver.borrow().as_ref().map_or(0, |d| d.time(Instant::now() + after))
    }

    /// The guess at a request's units, which nothing tells beforehand: operators set aims by the work.
    pub fn units(route: &Route) -> f64 {
        (route.target_latency_ms / 4.0 / UNIT_MS).clamp(0.25, MOST_UNITS)
    }

    // ---- News ----

    pub fn fold(&self, act: impl FnOnce(&mut Fold) -> Vec<News>) {
        let news = act(&mut self.fold.borrow_mut());
        let driver = self.driver.borrow().clone();
        let now = driver.as_ref().map_or(0, |d| d.time(Instant::now()));
        let mut targets = Vec::new();
        for n in news {
            match n {
                News::Configuration(c) => match Playbill::read(&c.body) {
                    Ok(playbill) => {
                        log::info!("configuration {:08x} in force", c.version);
                        self.configure(playbill);
                    }
                    Err(fault) => log::error!("configuration {:08x}: {fault}; the old one stands", c.version),
                },
                News::Up(fact) => targets.push(target(&fact, now)),
                News::Leaving(id) => targets.push(named(id, State::Terminating)),
                News::Over(id) => targets.push(named(id, State::Gone)),
                News::Gateways => self.gateways(),
            }
        }
        if let Some(driver) = driver.filter(|_| !targets.is_empty()) {
            driver.list(Scope::Changes, List { rev: 0, all: false, targets });
        }
    }

    fn configure(&self, playbill: Playbill) {
        let mut sorts = self.sorts.borrow_mut();
        sorts.configure(&playbill.routes);
        self.rights.limits(&Terms::of(&playbill).limits);
        *self.attempts.borrow_mut() = sorts.all().iter().map(|s| s.attempts).collect();
        self.settings.borrow_mut().classes = sorts.all().iter().map(Sort::class).collect();
        drop(sorts);
        self.reconfigure();
        *self.table.borrow_mut() = Some(Rc::new(Table::new(playbill)));
    }

    fn gateways(&self) {
        let fold = self.fold.borrow();
        let all = fold.gateways();
        let mine = all.iter().position(|name| *name == self.me);
        self.rights.gateways(mine.map_or(0, |_| all.len() as u32));
        // Of many backends each gateway keeps to some, by its place among the gateways.
        if let (Some(me), Some(driver)) = (mine, &*self.driver.borrow()) {
            driver.neighbours(Some((me as u32, all.len() as u32)));
        }
        self.settings.borrow_mut().gateways = all.len().max(1) as u32;
        drop(fold);
        self.reconfigure();
    }

    fn reconfigure(&self) {
        if let Some(driver) = &*self.driver.borrow() {
            driver.reconfigure(self.settings());
        }
    }
}

/// `now`: on the driver's clock, by which it tells how long backends have run.
fn target(fact: &Fact, now: u64) -> Target {
    let cold = COLD.saturating_sub(Duration::from_millis(u64::from(fact.cold_ms)));
    Target {
        uid: fact.id.clone(),
        endpoint: fact.address.clone(),
        az: fact.zone.clone(),
        model: fact.service.clone(),
        pod_group: 0,
        state: State::Ready,
        capacity_hint: 1.0,
        boot_ms: now / 1_000_000 - cold.as_millis() as u64,
    }
}

fn named(id: String, state: State) -> Target {
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

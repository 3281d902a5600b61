//! What is playing: the configuration in force and the backends, as requests need them. Fed by the link to a prompter.

use crate::pools::{Pools, POOLS};
use crate::rights::Rights;
use crate::sorts::{Sort, Sorts};
use configuration::{Playbill, Route, Table};
use interface::{Effect, Plan, Scope, Settings};
use messages::message::Up;
use proxy::driver::Driver;
use proxy::list::{List, State, Target};
use registry::Fact;
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use subscription::{Fold, Follow, News, Setup};
use tokio::sync::mpsc;
use tokio::time::Instant;
use trial::Terms;

/// Ranks of requests: the highest has this weight, each lower one less by one.
const RANKS: usize = 8;
/// How long backends are slow at the longest that is reckoned with, and how slow.
pub const COLD: Duration = Duration::from_secs(3);
const COLD_FROM: f64 = 0.5;
/// How much longer a wait at a backend of the own zone may be: bytes between zones have a price.
const FAR: f64 = 0.25;
/// A unit of work, in ms, and the most of one request.
const UNIT_MS: f64 = 100.0;
pub const MOST_UNITS: f64 = 16.0;

pub struct Playing {
    pub rights: Rc<Rights>,
    follow: RefCell<Follow>,
    table: RefCell<Option<Rc<Table>>>,
    sorts: RefCell<Sorts>,
    /// Told to the module beside the classes: the most attempts of each.
    pub attempts: crate::house::Attempts,
    pools: RefCell<Pools>,
    settings: RefCell<Settings>,
    driver: RefCell<Option<Rc<Driver>>>,
    me: String,
    prompter: Cell<Option<IpAddr>>,
}

impl Playing {
    /// `zone`: the place of its zone among all.
    pub fn new(rights: Rc<Rights>, me: Setup, zone: u32) -> Rc<Self> {
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
            me: me.name.clone(),
            follow: RefCell::new(Follow::new(me)),
            table: RefCell::default(),
            attempts: Rc::new(RefCell::new(sorts.all().iter().map(|s| s.attempts).collect())),
            sorts: RefCell::new(sorts),
            pools: RefCell::default(),
            settings: RefCell::new(settings),
            driver: RefCell::default(),
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
        self.follow.borrow().touch().is_fresh(self.rights.now())
    }

    /// Whether new clients do well to come here.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && self.follow.borrow().touch().is_ready(self.rights.now())
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

    /// Its following of prompters.
    pub fn follow<T>(&self, act: impl FnOnce(&mut Follow, subscription::Time) -> T) -> T {
        act(&mut self.follow.borrow_mut(), self.rights.now())
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
    pub fn time_in(&self, after: Duration) -> interface::Time {
        self.driver.borrow().as_ref().map_or(0, |d| d.time(Instant::now() + after))
    }

    /// The guess at a request's units, which nothing tells beforehand: operators set aims by the work.
    pub fn units(route: &Route) -> f64 {
        (route.target_latency_ms / 4.0 / UNIT_MS).clamp(0.25, MOST_UNITS)
    }

    // ---- News ----

    /// Something that this gateway has seen itself.
    pub fn fold(&self, act: impl FnOnce(&mut Fold) -> Vec<News>) {
        let news = self.follow(|f, _| f.seen(act));
        self.news(news);
    }

    pub fn news(&self, news: Vec<News>) {
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
        let follow = self.follow.borrow();
        let all = follow.fold().gateways();
        let mine = all.iter().position(|name| *name == self.me);
        self.rights.gateways(mine.map_or(0, |_| all.len() as u32));
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

//! Specification of a simulated world. The usual worlds are named; the seed determines everything else.

use crate::module::Choice;
use interface::{Class, Effect, Group, Plan, Settings, Time};
use plan::{Allowance, LeaseConfig};

pub const MS: Time = 1_000_000;

/// Parameters of a world.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: &'static str,
    pub about: &'static str,
    pub gateways: usize,
    pub servers: usize,
    /// With 0, every gateway estimates usage from the meter.
    pub planners: usize,
    pub customers: usize,
    /// Requests per second over all gateways.
    pub rate: f64,
    pub seconds: u64,
    /// Mean time between faults, if faults are injected.
    pub fault_every: Option<Time>,
    /// Fraction of all requests that arrive at the first gateway; 0 spreads them evenly.
    pub skew: f64,
    /// Whether the planners' placement reaches the module.
    pub placement: bool,
    /// Whether the module injects faults. Ceilings and cold servers, which only the module
    /// protects, are not checked then.
    pub faulty_module: bool,
    /// Selects the server of an attempt. If it is not the module, collapses of cold servers are counted
    /// but are no violation.
    pub choice: Choice,
    /// Quota of the partner plan: units per second, and bucket depth in units. Its ceiling is 60 and 80.
    pub partner_quota: (f64, f64),
    /// TTL of a planner's lease, TTL of a loan, and the interval between reports.
    pub lease_ttl: Time,
    pub loan_ttl: Time,
    pub tick: Time,
    /// Interval at which a customer's main gateway changes, and the fraction of its requests sent there.
    pub home_change_every: Time,
    pub home_share: f64,
    /// Interval during which the first planner is down: start, end.
    pub planner_down: Option<(Time, Time)>,
    /// Time at which servers stop; they restart cold a second later.
    pub power_cut: Option<Time>,
    /// Tenths of the servers that the power cut hits.
    pub power_cut_tenths: usize,
    /// Interval during which the first partner adds twice the load of all customers: start, end.
    pub flood: Option<(Time, Time)>,
    /// Mean time between false reports to each gateway of its position and the number of live gateways,
    /// if any.
    pub false_position_every: Option<Time>,
    /// Time at which the first gateway crashes; it restarts two seconds later.
    pub crash: Option<Time>,
    /// Times at which gateways are killed, with the tenths of the gateways affected; they restart
    /// after about a second, or 200 to 600 ms with `bad_disks`.
    pub blackouts: [Option<(Time, usize)>; 2],
    /// Interval at which each gateway saves a snapshot for its next start; if none, it starts empty.
    pub snapshot_every: Option<Time>,
    /// Whether a starting gateway may find its snapshot damaged, lost, outdated or replaced by another
    /// gateway's. Blackouts are then shorter, and one of all gateways follows the start
    /// of each random flood.
    pub bad_disks: bool,
}

const CALM: Spec = Spec {
    name: "calm",
    about: "three gateways and ten servers, nothing goes wrong",
    gateways: 3,
    servers: 10,
    planners: 0,
    customers: 60,
    rate: 120.0,
    seconds: 20,
    fault_every: None,
    skew: 0.0,
    placement: true,
    faulty_module: false,
    choice: Choice::Module,
    partner_quota: (30.0, 60.0),
    lease_ttl: 500 * MS,
    loan_ttl: 1500 * MS,
    tick: 50 * MS,
    home_change_every: 8000 * MS,
    home_share: 0.8,
    planner_down: None,
    power_cut: None,
    power_cut_tenths: 10,
    flood: None,
    false_position_every: None,
    crash: None,
    blackouts: [None; 2],
    snapshot_every: None,
    bad_disks: false,
};

pub const ALL: &[Spec] = &[
    CALM,
    Spec {
        name: "faults",
        about: "servers and gateways crash, pause, drain, fall silent and fail fast; members flood",
        fault_every: Some(800 * MS),
        ..CALM
    },
    Spec {
        name: "mischief",
        about: "the same with a module that says anything at any time, falls silent and panics",
        fault_every: Some(800 * MS),
        faulty_module: true,
        ..CALM
    },
    Spec {
        name: "planners",
        about: "six forwarders and two planners, with all of that and lossy links between them",
        gateways: 6,
        servers: 12,
        planners: 2,
        rate: 150.0,
        fault_every: Some(800 * MS),
        ..CALM
    },
    Spec {
        name: "leases",
        about: "six forwarders, two planners, few members that all ask for far too much, twice the faults",
        gateways: 6,
        servers: 12,
        planners: 2,
        customers: 8,
        rate: 200.0,
        // High enough that the ceiling is the binding limit.
        partner_quota: (150.0, 200.0),
        fault_every: Some(400 * MS),
        ..CALM
    },
    Spec {
        name: "fleet",
        about: "six gateways, twelve servers, 150 requests a second, few faults: for speed",
        gateways: 6,
        servers: 12,
        rate: 150.0,
        fault_every: Some(4000 * MS),
        ..CALM
    },
    Spec {
        name: "skewed",
        about: "six forwarders of which one has most of the requests, near the servers' capacity",
        gateways: 6,
        servers: 10,
        planners: 1,
        customers: 500,
        rate: 230.0,
        skew: 0.6,
        ..CALM
    },
    Spec {
        name: "front",
        about: "sixty-four forwarders of which one has most of the requests",
        gateways: 64,
        servers: 16,
        planners: 2,
        customers: 2000,
        rate: 330.0,
        skew: 0.6,
        ..CALM
    },
    Spec { name: "crash", about: "calm, but a gateway dies after 8 s", crash: Some(8000 * MS), ..CALM },
    Spec {
        name: "cold",
        about: "calm, but all servers lose power after 8 s and start cold",
        power_cut: Some(8000 * MS),
        ..CALM
    },
    Spec {
        name: "flood",
        about: "calm, but a partner floods from 8 to 14 s",
        flood: Some((8000 * MS, 14_000 * MS)),
        ..CALM
    },
    Spec {
        name: "ceiling",
        about: "gateways that guess, few members with large quotas that ask for more than their hard ceiling",
        customers: 8,
        rate: 250.0,
        partner_quota: (150.0, 200.0),
        ..CALM
    },
    Spec {
        name: "vast",
        about:
            "a hundred gateways of eleven requests a second; six in ten of sixty servers lose power after 8 s",
        gateways: 100,
        servers: 60,
        customers: 400,
        rate: 1100.0,
        seconds: 16,
        power_cut: Some(8000 * MS),
        power_cut_tenths: 6,
        ..CALM
    },
    Spec {
        name: "lies",
        about: "faults, twenty servers, members at their hard ceiling; gateways are told that any number of gateways live",
        servers: 20,
        customers: 8,
        rate: 250.0,
        partner_quota: (150.0, 200.0),
        fault_every: Some(800 * MS),
        false_position_every: Some(300 * MS),
        ..CALM
    },
    Spec {
        name: "blackout",
        about: "twelve gateways with snapshots, of which seven in ten are killed at once, and four in ten as they come back",
        gateways: 12,
        servers: 20,
        rate: 400.0,
        home_share: 0.3,
        blackouts: [Some((8000 * MS, 7)), Some((10_500 * MS, 4))],
        snapshot_every: Some(1000 * MS),
        ..CALM
    },
    Spec {
        name: "amnesia",
        about: "faults, members whose bursts kill all gateways, snapshots that are damaged, lost, old or another's",
        servers: 20,
        customers: 400,
        rate: 200.0,
        partner_quota: (150.0, 200.0),
        fault_every: Some(500 * MS),
        snapshot_every: Some(500 * MS),
        bad_disks: true,
        ..CALM
    },
    Spec {
        name: "herd",
        about: "twelve gateways with snapshots, all killed at once, and six in ten servers lose power with them",
        gateways: 12,
        servers: 20,
        rate: 400.0,
        blackouts: [Some((8000 * MS, 10)), None],
        power_cut: Some(8000 * MS),
        power_cut_tenths: 6,
        snapshot_every: Some(1000 * MS),
        ..CALM
    },
    Spec {
        name: "large",
        about: "sixty-four gateways, a thousand servers, 100,000 customers",
        gateways: 64,
        servers: 1000,
        customers: 100_000,
        rate: 6000.0,
        seconds: 10,
        fault_every: Some(300 * MS),
        ..CALM
    },
];

impl Spec {
    pub fn named(name: &str) -> Option<Spec> {
        ALL.iter().find(|s| s.name == name).cloned()
    }

    /// Returns the lease configuration that planners and gateways share.
    pub fn lease_config(&self) -> LeaseConfig {
        let settings = self.settings(0);
        let allowance = |p: &Plan| Allowance {
            quota_rate: p.rate,
            quota_depth: p.depth,
            hard_limit_rate: p.hard_limit_rate,
            hard_limit_depth: p.hard_limit_burst,
            slots: f64::from(p.parallel),
        };
        let plans = settings.plans.iter().map(allowance).collect();
        let (lease_ttl, loan_ttl, tick) = (self.lease_ttl, self.loan_ttl, self.tick);
        LeaseConfig {
            lease_ttl,
            loan_ttl,
            tick,
            max_attempt: 2500 * MS,
            ..LeaseConfig::new(self.gateways as u16, plans)
        }
    }

    /// Returns the settings that a gateway receives at its start.
    pub fn settings(&self, me: usize) -> Settings {
        let class =
            |name, aim, deadline, effect| Class::new(name, aim * MS, deadline * MS, effect, Group::All);
        let mut confirm = class("confirm", 750, 2000, Effect::Keyed);
        confirm.key_ttl = 2000 * MS;
        let classes = vec![
            Class { points: 3.0, ..class("quote", 600, 2500, Effect::Safe) },
            Class { points: 5.0, ..confirm },
            Class { points: 3.0, ..class("book-slot", 750, 2500, Effect::Unsafe) },
        ];
        let partner = Plan {
            hard_limit_rate: 60.0,
            hard_limit_burst: 80.0,
            value_factor: 1.8,
            ..Plan::new("partner", self.partner_quota.0, self.partner_quota.1)
        };
        Settings {
            gateway_index: me as u32,
            gateways: self.gateways as u32,
            classes,
            plans: vec![Plan::new("starter", 4.0, 16.0), partner],
            retry_after: true,
            max_retry_after: 2000 * MS,
            max_attempts: 3,
            settles_cost: true,
            max_units: 8.0,
            meter_period: 500 * MS,
            warm_up_time: crate::servers::WARM_UP_TIME,
            initial_warmth: crate::servers::INITIAL_WARMTH,
            collapse_window: crate::servers::COLLAPSE_WINDOW,
            collapse_multiple: crate::servers::COLLAPSE_MULTIPLE,
            answer_slack: 8 * MS,
            tick: 2 * MS,
            ..Settings::default()
        }
    }
}

/// Returns the index of a customer's plan: one customer in four is a partner.
pub fn plan_of(customer: usize) -> usize {
    usize::from(customer.is_multiple_of(4))
}

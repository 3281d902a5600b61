//! Defects of the deciding parts, planted by name. The shipped program is built without them.

use interface::Settings;
use lifecycle::defects as lifecycle;
use plan::defects as planning;
use snapshot::defects as memory;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Defects that a fleet shows, and in which world.
pub const ALL: &[(&str, &str)] = &[
    ("no-abort-on-leave", "mischief"),
    ("no-abort-on-answer", "mischief"),
    ("send-while-out", "mischief"),
    ("cancel-frees-at-once", "mischief"),
    ("unsafe-repeated", "mischief"),
    ("undone-taken-for-proof", "mischief"),
    ("late-taken-for-proof", "mischief"),
    ("out-not-counted", "faults"),
    ("late-answer-accepted", "faults"),
    ("answered-never-forgotten", "faults"),
    ("refused-though-run", "faults"),
    ("left-still-served", "faults"),
    ("lease-not-charged", "leases"),
    ("loan-outlives-lender", "leases"),
    ("grant-twice", "leases"),
    ("quiet-skipped", "leases"),
    ("share-counted-unacked", "leases"),
    ("expired-comes-back", "leases"),
    ("cold-taken-for-warm", "cold"),
    ("ceiling-forgotten", "ceiling"),
    ("ceilings-by-view", "lies"),
    ("snapshot-ceiling-taken", "amnesia"),
    ("snapshot-born-earlier", "amnesia"),
];

/// Defects of the decision module: it is told other settings than the world's.
const OF_MODULE: [&str; 3] = ["cold-taken-for-warm", "ceiling-forgotten", "ceilings-by-view"];
/// Defects of what is made of old snapshots.
const OF_MEMORY: [(&str, memory::Defect); 2] = [
    ("snapshot-ceiling-taken", memory::Defect::CeilingTaken),
    ("snapshot-born-earlier", memory::Defect::BornEarlier),
];
static SPOILT: AtomicUsize = AtomicUsize::new(0);

/// The settings as the module hears them.
pub fn spoil(mut settings: Settings) -> Settings {
    match SPOILT.load(Ordering::Relaxed) {
        1 => settings.warm_up_time = 0,
        2 => settings.plans.iter_mut().for_each(|p| p.hard_limit_rate = 0.0),
        // A part of what all share rests on the view, and that says that nobody else lives.
        3 => {
            let all = f64::from(settings.gateways);
            settings.plans.iter_mut().for_each(|p| {
                (p.hard_limit_rate, p.hard_limit_burst) = (p.hard_limit_rate * all, p.hard_limit_burst * all);
            });
        }
        _ => {}
    }
    settings
}

/// Plants it, or takes all out. False if there is none of this name.
pub fn plant(name: Option<&str>) -> bool {
    lifecycle::plant(None);
    planning::plant(None);
    SPOILT.store(0, Ordering::Relaxed);
    memory::plant(None);
    let Some(name) = name else { return true };
    if let Some((_, defect)) = OF_MEMORY.iter().find(|(known, _)| *known == name) {
        memory::plant(Some(*defect));
        return true;
    }
    if let Some(n) = OF_MODULE.iter().position(|known| *known == name) {
        SPOILT.store(n + 1, Ordering::Relaxed);
        return true;
    }
    if let Some((defect, ..)) = lifecycle::ALL.iter().find(|(_, known, _)| *known == name) {
        lifecycle::plant(Some(*defect));
        return true;
    }
    planning::plant(Some(name))
}

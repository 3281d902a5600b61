//! Planted defects of the decision-making crates, selected by name. Release binaries are built without them.

use interface::Settings;
use lifecycle::defects as lifecycle;
use plan::defects as planning;
use snapshot::defects as snapshot_defects;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Defects that a fleet simulation detects, each with the world that reveals it.
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

/// Defects of the decision module: it receives settings that differ from the world's.
const MODULE_DEFECTS: [&str; 3] = ["cold-taken-for-warm", "ceiling-forgotten", "ceilings-by-view"];
/// Defects in the handling of old snapshots.
const SNAPSHOT_DEFECTS: [(&str, snapshot_defects::Defect); 2] = [
    ("snapshot-ceiling-taken", snapshot_defects::Defect::CeilingTaken),
    ("snapshot-born-earlier", snapshot_defects::Defect::BornEarlier),
];
static PLANTED_MODULE_DEFECT: AtomicUsize = AtomicUsize::new(0);

/// Returns the settings that the module receives, altered by the planted defect if there is one.
pub fn apply_defect(mut settings: Settings) -> Settings {
    match PLANTED_MODULE_DEFECT.load(Ordering::Relaxed) {
        1 => settings.warm_up_time = 0,
        2 => settings.plans.iter_mut().for_each(|p| p.hard_limit_rate = 0.0),
        // The gateway's share of a common limit follows its view of the fleet, and the view reports
        // no other live gateway.
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

/// Plants the named defect after removing all others; `None` only removes them. Returns false if no defect
/// has this name.
pub fn plant(name: Option<&str>) -> bool {
    lifecycle::plant(None);
    planning::plant(None);
    PLANTED_MODULE_DEFECT.store(0, Ordering::Relaxed);
    snapshot_defects::plant(None);
    let Some(name) = name else { return true };
    if let Some((_, defect)) = SNAPSHOT_DEFECTS.iter().find(|(known, _)| *known == name) {
        snapshot_defects::plant(Some(*defect));
        return true;
    }
    if let Some(n) = MODULE_DEFECTS.iter().position(|known| *known == name) {
        PLANTED_MODULE_DEFECT.store(n + 1, Ordering::Relaxed);
        return true;
    }
    if let Some((defect, ..)) = lifecycle::ALL.iter().find(|(_, known, _)| *known == name) {
        lifecycle::plant(Some(*defect));
        return true;
    }
    planning::plant(Some(name))
}

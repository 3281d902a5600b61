//! Single wrong lines, for the simulation to find. Compiled in with the feature `defects` only.

use std::sync::Mutex;

/// Name, and what is wrong then.
pub const ALL: &[(&str, &str)] = &[
    ("loan-outlives-lender", "the planner counts a share for twice as long as the forwarder lends it"),
    ("floor-at-once", "a forwarder that loses its planner spends its own share before the loan has ended"),
    ("lease-never-ends", "a forwarder spends a lease whose time is up"),
    ("lease-not-charged", "a lease is granted and not taken from the pool"),
    ("share-counted-unacked", "the planner counts a share before the forwarder has closed its own"),
    ("expired-comes-back", "what a silent forwarder held goes back to the pool"),
    ("fencing-off", "a forwarder takes grants from whichever life of a planner they come"),
    ("grant-twice", "a grant that comes twice counts twice"),
    (
        "quiet-skipped",
        "a restarted planner takes the shares that its earlier life held as its own at once, full",
    ),
    ("late-grant-lives", "a lease lives from when its grant arrives, not from when it was asked for"),
    ("renewed-beyond-shares", "leases are renewed though a share that they rest on has been withdrawn"),
    ("loans-mixed", "a lease of an earlier loan is taken up again, unspent"),
    ("slots-at-once", "a share of slots is lent while attempts that rest on it may be out elsewhere"),
    (
        "slots-laundered",
        "a fresh lease has slots for all that is out already, also beyond what the pool has free",
    ),
    ("in-use-uncounted", "what a forwarder has out when its first lease begins is not counted"),
    ("withdrawn-taken-up", "slots that rest on a withdrawn share are taken up into the next lease"),
    (
        "forgotten-offered-again",
        "a lease that a forwarder has spent and forgotten is offered to it again, whole",
    ),
    ("clamp-panics", "what was spent is clamped between bounds that rounding may put in the wrong order"),
    ("forgotten-begins-full", "a customer that led to a panic begins anew as if no lease of it were out"),
    ("over-given-back", "a forwarder gives back all slots of a lease that has ended, those in use too"),
    ("own-store-forgotten", "a forwarder forgets a customer whose own store has not filled again"),
    ("uncounted-lent", "a forwarder with more customers than a report holds lends its slots at once"),
    (
        "turned-away-uncounted",
        "a customer that found no room at its planner comes later as if nothing were out",
    ),
    ("restart-spends-floor", "a restarted forwarder spends its share at once"),
];

static ACTIVE: Mutex<Vec<&'static str>> = Mutex::new(Vec::new());

/// Plants a defect by name, several joined by `+`, or takes all out. False, and none is planted, if a name is
/// unknown.
pub fn plant(names: Option<&str>) -> bool {
    let known = |name| ALL.iter().find(|(known, _)| *known == name).map(|(known, _)| *known);
    let found: Option<Vec<_>> = names.map_or(Some(Vec::new()), |names| names.split('+').map(known).collect());
    let good = found.is_some();
    if let Ok(mut active) = ACTIVE.lock() {
        *active = found.unwrap_or_default();
    }
    good
}

/// Whether this defect is planted.
pub fn active(name: &str) -> bool {
    ACTIVE.lock().is_ok_and(|active| active.contains(&name))
}

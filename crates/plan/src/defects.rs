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
    ("restart-spends-floor", "a restarted forwarder spends its share at once"),
];

static ACTIVE: Mutex<Option<&'static str>> = Mutex::new(None);

/// Plants a defect by name, or takes it out. False if there is none of this name.
pub fn plant(name: Option<&str>) -> bool {
    let found = name.map(|n| ALL.iter().find(|(known, _)| *known == n).map(|(known, _)| *known));
    if let Ok(mut active) = ACTIVE.lock() {
        *active = found.flatten();
    }
    found != Some(None)
}

pub fn active(name: &str) -> bool {
    ACTIVE.lock().is_ok_and(|active| *active == Some(name))
}

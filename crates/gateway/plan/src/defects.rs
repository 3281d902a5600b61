//! Planted defects, each a change in one place, for the simulation to find. Compiled only with the feature `defects`.

use std::sync::Mutex;

/// Name and description of every defect.
pub const ALL: &[(&str, &str)] = &[
    ("loan-outlives-lender", "the planner counts a share for three times as long as the forwarder lends it"),
    ("floor-at-once", "a forwarder that loses its planner spends its own share before the loan has expired"),
    ("lease-never-ends", "a forwarder spends an expired lease"),
    ("lease-not-charged", "a granted lease is not charged to the pool"),
    ("share-counted-unacked", "the planner counts a share before the forwarder has stopped spending it"),
    ("expired-comes-back", "the unspent part of an expired lease is returned to the pool"),
    ("fencing-off", "a forwarder accepts grants of any instance of its planner, also of earlier ones"),
    ("grant-twice", "a duplicated grant counts twice"),
    ("quiet-skipped", "a restarted planner counts the shares of its earlier instance at once, as full"),
    (
        "late-grant-lives",
        "the lifetime of a lease starts when its grant arrives, not when its report was sent",
    ),
    ("renewed-beyond-shares", "leases are renewed although a share that they depend on has been withdrawn"),
    ("loans-mixed", "a lease of an earlier loan is applied again, as unspent"),
    ("slots-at-once", "a share of slots is lent while attempts started elsewhere may still occupy it"),
    (
        "slots-laundered",
        "a new lease has slots for all attempts in flight, also beyond the free slots of the pool",
    ),
    ("in-use-uncounted", "a forwarder's attempts in flight are not counted when its first lease begins"),
    ("withdrawn-taken-up", "slots of a withdrawn share are moved into the next lease"),
    (
        "forgotten-offered-again",
        "a lease that a forwarder has spent and forgotten is offered again, as unspent",
    ),
    ("clamp-panics", "the spent amount is clamped between bounds that rounding may put in the wrong order"),
    ("forgotten-begins-full", "the pool of a customer is recreated after a panic as if it had no leases"),
    ("over-given-back", "a forwarder returns all slots of an expired lease, including those in use"),
    ("own-store-forgotten", "a forwarder forgets a customer whose own bucket has not refilled"),
    ("uncounted-lent", "a forwarder with more customers than fit into a report lends its slots at once"),
    (
        "turned-away-uncounted",
        "a customer rejected by a full planner is later accepted as if it had no attempts in flight",
    ),
    ("restart-spends-floor", "a restarted forwarder spends its share at once"),
];

static ACTIVE: Mutex<Vec<&'static str>> = Mutex::new(Vec::new());

/// Plants a defect by name, or several joined by `+`; `None` removes all. Returns false, with none planted, if a name
/// is unknown.
pub fn plant(names: Option<&str>) -> bool {
    let known = |name| ALL.iter().find(|(known, _)| *known == name).map(|(known, _)| *known);
    let found: Option<Vec<_>> = names.map_or(Some(Vec::new()), |names| names.split('+').map(known).collect());
    let all_known = found.is_some();
    if let Ok(mut active) = ACTIVE.lock() {
        *active = found.unwrap_or_default();
    }
    all_known
}

/// Whether this defect is planted.
pub fn active(name: &str) -> bool {
    ACTIVE.lock().is_ok_and(|active| active.contains(&name))
}

//! Single wrong lines for tests to find. Compiled in with the feature `defects` only; active in one thread at a time.

use std::cell::Cell;

/// A planted defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    RefutationLeftOut,
    DeadNeverTried,
    OldLifeBelieved,
    DigestAlwaysEqual,
    ReplayTaken,
    StrangerKept,
    DeadBelievedAtOnce,
    AloneBuriesAll,
    SleepNotSeen,
    HelpersLeftOut,
    LeaveNotTold,
    SettledAtOnce,
    /// No defect, but what SWIM is without what this crate adds: to be measured beside it.
    PlainSwim,
}

/// All planted defects, described.
pub const ALL: &[(Defect, &str)] = &[
    (Defect::RefutationLeftOut, "who is suspected does not refute"),
    (Defect::DeadNeverTried, "the dead are never spoken to again"),
    (Defect::OldLifeBelieved, "of two lives the one told last stands"),
    (Defect::DigestAlwaysEqual, "digests are compared with themselves"),
    (Defect::ReplayTaken, "a datagram counts as often as it comes"),
    (Defect::StrangerKept, "a stranger is taken in before it has shown that it hears us"),
    (Defect::DeadBelievedAtOnce, "a foreign death is believed of who lives here"),
    (Defect::AloneBuriesAll, "who hears nobody declares all dead"),
    (Defect::SleepNotSeen, "who was stopped holds everybody's silence against them"),
    (Defect::HelpersLeftOut, "nobody is asked to ping for another"),
    (Defect::LeaveNotTold, "who leaves goes without a word"),
    (Defect::SettledAtOnce, "every change is a version of its own"),
];

thread_local! {
    static ACTIVE: Cell<Option<Defect>> = const { Cell::new(None) };
}

/// Plants a defect in this thread, or takes it out.
pub fn plant(defect: Option<Defect>) {
    ACTIVE.set(defect);
}

/// What plain SWIM does without.
const ADDED: &[Defect] = &[
    Defect::DeadNeverTried,
    Defect::DigestAlwaysEqual,
    Defect::DeadBelievedAtOnce,
    Defect::AloneBuriesAll,
    Defect::SleepNotSeen,
];

/// Whether this defect is planted in this thread.
pub fn active(defect: Defect) -> bool {
    match ACTIVE.get() {
        Some(Defect::PlainSwim) => defect == Defect::PlainSwim || ADDED.contains(&defect),
        active => active == Some(defect),
    }
}

/// By its name in lower case with dashes.
pub fn named(name: &str) -> Option<Defect> {
    let plain = |text: &str| text.replace('-', "").to_lowercase();
    let all = ALL.iter().map(|(defect, _)| *defect).chain([Defect::PlainSwim]);
    all.into_iter().find(|d| plain(&format!("{d:?}")) == plain(name) && name == name.to_lowercase())
}

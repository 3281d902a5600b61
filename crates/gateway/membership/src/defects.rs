//! Planted defects that tests must detect. Compiled in only with the feature `defects`; active per thread.

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
    /// Not a defect, but plain SWIM without the additions of this crate, as a baseline for measurements.
    PlainSwim,
}

/// All planted defects with descriptions.
pub const ALL: &[(Defect, &str)] = &[
    (Defect::RefutationLeftOut, "a suspected member does not refute the suspicion"),
    (Defect::DeadNeverTried, "dead members are never pinged again"),
    (Defect::OldLifeBelieved, "of two generations the one reported last prevails"),
    (Defect::DigestAlwaysEqual, "digests always compare as equal"),
    (Defect::ReplayTaken, "replayed datagrams are accepted"),
    (Defect::StrangerKept, "an unknown sender is admitted before it has proven its address"),
    (
        Defect::DeadBelievedAtOnce,
        "a reported death of a member that is alive here is believed without a suspicion",
    ),
    (Defect::AloneBuriesAll, "an isolated member declares all others dead"),
    (Defect::SleepNotSeen, "a member that was suspended counts the silence meanwhile against the others"),
    (Defect::HelpersLeftOut, "no indirect pings are requested"),
    (Defect::LeaveNotTold, "a member leaves without announcing it"),
    (Defect::SettledAtOnce, "every change makes a stable version of its own"),
];

thread_local! {
    static ACTIVE: Cell<Option<Defect>> = const { Cell::new(None) };
}

/// Plants a defect in this thread, or removes it.
pub fn plant(defect: Option<Defect>) {
    ACTIVE.set(defect);
}

/// Defects that remove the additions to plain SWIM.
const PLAIN_SWIM_DEFECTS: &[Defect] = &[
    Defect::DeadNeverTried,
    Defect::DigestAlwaysEqual,
    Defect::DeadBelievedAtOnce,
    Defect::AloneBuriesAll,
    Defect::SleepNotSeen,
];

/// Whether this defect is planted in this thread.
pub fn active(defect: Defect) -> bool {
    match ACTIVE.get() {
        Some(Defect::PlainSwim) => defect == Defect::PlainSwim || PLAIN_SWIM_DEFECTS.contains(&defect),
        active => active == Some(defect),
    }
}

/// Returns the defect of this name, written in lower case with dashes.
pub fn named(name: &str) -> Option<Defect> {
    let normalize = |text: &str| text.replace('-', "").to_lowercase();
    let all = ALL.iter().map(|(defect, _)| *defect).chain([Defect::PlainSwim]);
    all.into_iter().find(|d| normalize(&format!("{d:?}")) == normalize(name) && name == name.to_lowercase())
}

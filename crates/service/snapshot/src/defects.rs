//! Single wrong lines for tests to find. They are the process's; the shipped program is built without them.

use std::sync::atomic::{AtomicUsize, Ordering};

/// A planted defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    ChecksumLeftOut,
    RenamedBeforeSync,
    WrittenInPlace,
    FolderNotSynced,
    SecondTableNotRead,
    AuthorNotAsked,
    FutureTaken,
    CeilingTaken,
    SpentSinceForgotten,
    BornEarlier,
    JudgementsKeepWeight,
    TriedAgain,
    OldListTaken,
}

/// All planted defects, described.
pub const ALL: &[Defect] = &[
    Defect::ChecksumLeftOut,
    Defect::RenamedBeforeSync,
    Defect::WrittenInPlace,
    Defect::FolderNotSynced,
    Defect::SecondTableNotRead,
    Defect::AuthorNotAsked,
    Defect::FutureTaken,
    Defect::CeilingTaken,
    Defect::SpentSinceForgotten,
    Defect::BornEarlier,
    Defect::JudgementsKeepWeight,
    Defect::TriedAgain,
    Defect::OldListTaken,
];

/// 0, or one more than the place of the one that is active.
static ACTIVE: AtomicUsize = AtomicUsize::new(0);

/// Plants a defect, or takes it out.
pub fn plant(defect: Option<Defect>) {
    let place = defect.and_then(|d| ALL.iter().position(|known| *known == d));
    ACTIVE.store(place.map_or(0, |n| n + 1), Ordering::Relaxed);
}

/// Whether this defect is planted in this thread.
pub fn active(defect: Defect) -> bool {
    ALL.get(ACTIVE.load(Ordering::Relaxed).wrapping_sub(1)) == Some(&defect)
}

//! Planted defects that the tests must detect. The active one applies to the whole process; builds without the
//! feature `defects` contain none.

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

/// All planted defects.
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

/// 0, or one more than the index of the active defect.
static ACTIVE: AtomicUsize = AtomicUsize::new(0);

/// Activates a defect, or deactivates all of them.
pub fn plant(defect: Option<Defect>) {
    let index = defect.and_then(|d| ALL.iter().position(|known| *known == d));
    ACTIVE.store(index.map_or(0, |n| n + 1), Ordering::Relaxed);
}

/// Whether this defect is active in this process.
pub fn active(defect: Defect) -> bool {
    ALL.get(ACTIVE.load(Ordering::Relaxed).wrapping_sub(1)) == Some(&defect)
}

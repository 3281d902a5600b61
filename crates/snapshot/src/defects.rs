//! Single wrong lines for tests to find. Active in one thread at a time; the shipped program is built without them.

use std::cell::Cell;

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
}

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
];

thread_local! {
    static ACTIVE: Cell<Option<Defect>> = const { Cell::new(None) };
}

/// Plants a defect in this thread, or takes it out.
pub fn plant(defect: Option<Defect>) {
    ACTIVE.set(defect);
}

pub fn active(defect: Defect) -> bool {
    ACTIVE.get() == Some(defect)
}

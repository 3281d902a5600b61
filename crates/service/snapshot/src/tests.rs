//! Checks of this crate. Every planted defect must make at least one of them fail.

mod disk;
mod file;
mod old;

use crate::defects::{plant, Defect, ALL};

type Check = fn() -> Result<(), String>;

const CHECKS: &[(&str, Check)] = &[
    ("a flipped bit invalidates only the section that it hits", file::flipped_bits),
    ("a truncated file keeps the complete sections", file::truncated_at_any_byte),
    ("the author and the time are checked", file::author_and_time),
    ("arbitrary bytes are decoded without harm", file::arbitrary_bytes),
    ("a crash after any step leaves the old or the new snapshot", disk::crash_points),
    ("a failing disk leaves a complete snapshot", disk::failing_disk),
    ("a snapshot that crashes the process is tried once", disk::tried_once),
    ("restored state is never more permissive than no state", old::never_more_permissive),
    ("units spent after the save are charged", old::spent_since),
    ("observations of servers lose weight", old::observations),
    ("a server list is usable for ten minutes", old::lists),
];

fn ensure(holds: bool, message: impl FnOnce() -> String) -> Result<(), String> {
    if holds {
        Ok(())
    } else {
        Err(message())
    }
}

/// A single test, because the active defect applies to the whole process.
#[test]
fn every_check_holds_and_every_planted_defect_fails_one() {
    for (name, check) in CHECKS {
        assert_eq!(check(), Ok(()), "{name}");
    }
    for defect in ALL {
        plant(Some(*defect));
        let failed = CHECKS.iter().find(|(_, check)| check().is_err());
        plant(None::<Defect>);
        assert!(failed.is_some(), "{defect:?}: no check detects it");
    }
    assert_eq!(ALL.len(), 13);
}

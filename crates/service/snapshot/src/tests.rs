//! The tests of this crate, each able to fail: every planted defect is seen by one of them.

mod disk;
mod file;
mod old;

use crate::defects::{plant, Defect, ALL};

type Check = fn() -> Result<(), String>;

const CHECKS: &[(&str, Check)] = &[
    ("a flipped bit costs the section that it hits", file::flipped_bits),
    ("a torn file keeps the sections before the tear", file::torn_at_any_byte),
    ("whose and of when is asked", file::whose_and_when),
    ("any bytes are read without harm", file::any_bytes),
    ("a stop after any step leaves the old or the new", disk::crash_points),
    ("a disk that refuses leaves the old", disk::a_disk_that_refuses),
    ("a snapshot that is died of is tried once", disk::tried_once),
    ("nothing read is looser than nothing", old::nothing_is_looser),
    ("what was spent since counts", old::spent_since),
    ("judgements lose weight", old::judgements),
    ("a list counts for ten minutes", old::lists),
];

fn ensure(holds: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if holds {
        Ok(())
    } else {
        Err(what())
    }
}

/// One test, since a defect is the whole process's.
#[test]
fn every_check_holds_and_every_planted_defect_fails_one() {
    for (name, check) in CHECKS {
        assert_eq!(check(), Ok(()), "{name}");
    }
    for defect in ALL {
        plant(Some(*defect));
        let found = CHECKS.iter().find(|(_, check)| check().is_err());
        plant(None::<Defect>);
        assert!(found.is_some(), "{defect:?}: no check shows it");
    }
    assert_eq!(ALL.len(), 13);
}

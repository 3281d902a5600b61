//! Reads of the settings file: paced, and only while no other control node is heard.

use super::*;

const MS: Time = 1_000_000;

/// Returns the times of the reads within `seconds`, asked each 100 ms.
fn reads(
    schedule: &mut ReloadSchedule,
    seconds: u64,
    last_heard: impl Fn(Time) -> Option<Time>,
) -> Vec<Time> {
    let times = (0..seconds * 10).map(|step| step * 100 * MS);
    times.filter(|now| schedule.is_due(*now, last_heard(*now), 0.5)).collect()
}

/// Guards against a node whose seeds are gone and that never sees that its file names others.
#[test]
fn a_node_that_hears_nobody_reads_its_file_again() {
    let reads = reads(&mut ReloadSchedule::new(0), 60, |_| None);
    assert_eq!(reads.first(), Some(&PEERLESS_TIME));
    assert!(reads.windows(2).all(|pair| (SECOND..=2 * SECOND).contains(&(pair[1] - pair[0]))), "{reads:?}");
    assert!((40..=60).contains(&reads.len()), "bounded and not stopped: {}", reads.len());
}

/// Guards against reads of the file on the ordinary path.
#[test]
fn a_node_that_hears_another_does_not_read() {
    assert!(reads(&mut ReloadSchedule::new(0), 60, |now| Some(now.saturating_sub(500 * MS))).is_empty());
}

/// All others are cut off, not gone: it reads until it hears one, and again behind the next silence.
#[test]
fn a_node_reads_again_after_each_silence() {
    let heard_until = |until: Time| move |now: Time| Some(now.min(until));
    let mut schedule = ReloadSchedule::new(0);
    let reads = reads(&mut schedule, 20, heard_until(10 * SECOND));
    assert_eq!(reads.first(), Some(&(12 * SECOND)));
    assert!(!schedule.is_due(21 * SECOND, Some(20 * SECOND), 0.0));
}

/// A half-written file, then the whole one: the error is reported once, and the whole file is applied.
#[test]
fn only_a_changed_read_is_acted_upon() {
    let mut last_read = LastRead::default();
    let broken = || Err("settings.toml: a half-written line".to_string());
    let acted: Vec<bool> = [
        Ok("seeds a".to_string()),
        Ok("seeds a".to_string()),
        broken(),
        broken(),
        Ok("seeds b".to_string()),
        Ok("seeds b".to_string()),
        Ok("seeds c".to_string()),
    ]
    .map(|read| last_read.is_new(read))
    .to_vec();
    assert_eq!(acted, [true, false, true, false, true, false, true]);
}

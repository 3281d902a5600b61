//! Whole control planes and the deciding parts of gateways on a simulated network, disk and clock. A seed draws all
//! that happens: loss, delay, copies, one-way cuts, crashes before, in the middle of and behind a save, lost disks,
//! freezes. The rules that concern state are checked after each step; a seed that breaks one prints its story, and
//! plays it again.
#![forbid(unsafe_code)]

/// Fallback shares end after so long in half of the worlds of seconds, so that gateways are removed within them. In the other
/// half they last as in the program, and isolated gateways go on with theirs.
const SHORT_FALLBACK_LIFETIME: Time = 1500 * MS;

mod backends;
mod change_history;
mod cluster;
mod defect;
mod disks;
mod fault_schedule;
mod gateways;
pub mod growth;
mod long_workload;
mod machine;
mod network;
mod operators;
mod restless_reader;
mod rules;
mod short_workload;
mod story;
mod trial_configuration;
mod trial_tenant;

pub use defect::Defect;
use long_workload::LongWorkload;
pub use rules::Violation;
pub use short_workload::ShortWorkload;
pub use story::Story;

/// Nanoseconds.
pub type Time = u64;
pub(crate) const MS: Time = 1_000_000;

/// Of four seeds one plays a world of minutes.
pub fn is_long(seed: u64) -> bool {
    seed % 4 == 3
}

/// Plays a seed to its end.
///
/// # Errors
/// The rule that was broken, and the story up to there.
pub fn play(seed: u64, defect: Option<Defect>) -> Result<Story, Box<(Violation, Story)>> {
    if is_long(seed) {
        LongWorkload::new(seed, defect, false).play()
    } else {
        ShortWorkload::new(seed, defect).play()
    }
}

/// Plays a world of minutes in which as many machines are replaced at a time as may be lost.
///
/// # Errors
/// The rule that was broken, and the story up to there.
pub fn play_pairs(seed: u64, defect: Option<Defect>) -> Result<Story, Box<(Violation, Story)>> {
    LongWorkload::new(seed, defect, true).play()
}

//! Whole control planes and the deciding parts of gateways on a simulated network, disk and clock. A seed draws all that
//! happens: loss, delay, copies, one-way cuts, crashes before, in the middle of and behind a save, lost disks, freezes. The
//! rules that concern state are checked after each step; a seed that breaks one prints its story, and plays it again.
#![forbid(unsafe_code)]

mod backends;
mod defect;
mod disks;
mod gateways;
pub mod growth;
mod guest;
mod ledger;
mod long;
mod machine;
mod net;
mod operators;
mod rules;
mod storm;
mod system;
mod world;

pub use defect::Defect;
use long::Long;
pub use rules::Broken;
pub use world::{Story, World};

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
pub fn play(seed: u64, defect: Option<Defect>) -> Result<Story, Box<(Broken, Story)>> {
    if is_long(seed) {
        Long::new(seed, defect, false).play()
    } else {
        World::new(seed, defect).play()
    }
}

/// Plays a world of minutes in which as many machines are replaced at a time as may be lost.
///
/// # Errors
/// The rule that was broken, and the story up to there.
pub fn play_pairs(seed: u64, defect: Option<Defect>) -> Result<Story, Box<(Broken, Story)>> {
    Long::new(seed, defect, true).play()
}

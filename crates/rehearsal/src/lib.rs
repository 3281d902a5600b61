//! Whole control planes and the deciding parts of gateways on a simulated network, disk and clock. A seed draws all that
//! happens: loss, delay, copies, one-way cuts, crashes before, in the middle of and behind a save, lost disks, freezes. The
//! rules that concern state are checked after each step; a seed that breaks one prints its story, and plays it again.
#![forbid(unsafe_code)]

mod defect;
pub mod growth;
mod guest;
mod node;
mod rules;
mod world;

pub use defect::Defect;
pub use rules::Broken;
pub use world::{Story, World};

/// Nanoseconds.
pub type Time = u64;
pub(crate) const MS: Time = 1_000_000;

/// Plays a seed to its end.
///
/// # Errors
/// The rule that was broken, and the story up to there.
pub fn play(seed: u64, defect: Option<Defect>) -> Result<Story, Box<(Broken, Story)>> {
    World::new(seed, defect).play()
}

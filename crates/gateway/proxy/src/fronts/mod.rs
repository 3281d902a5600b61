//! Ways in. A front parses and frames, no more.

mod budget;
pub mod http1;

pub use budget::{Budget, Reservation};

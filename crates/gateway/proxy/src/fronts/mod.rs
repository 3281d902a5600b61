//! Front ends: they parse and frame, no more.

mod budget;
pub mod http1;

pub use budget::{Budget, Reservation};

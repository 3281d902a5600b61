//! Front ends, which only parse and frame requests.

mod budget;
pub mod http1;

pub use budget::{Budget, Reservation};

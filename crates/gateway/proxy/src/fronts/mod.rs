//! Front ends, which only parse and frame requests.

mod budget;
mod client_listener;
pub mod http1;

pub use budget::{Budget, Reservation};
pub use client_listener::ClientListener;

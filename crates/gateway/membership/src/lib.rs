//! Membership: each member's view of which members of the fleet are alive.
//!
//! SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey 2018), plus anti-entropy
//! by digests for updates that dissemination missed. No I/O and no clock: [`View::handle`] takes a datagram or a timer
//! tick and returns the datagrams to send; [`View::next_due`] returns the time of the next tick. Every random choice
//! comes from the seed.
//!
//! The view is a belief. It may make work faster or cheaper; no correctness rule may depend on it
//! (`docs/design/fleet.md`).
#![forbid(unsafe_code)]

/// Whether the named defect is planted; always false without the feature `defects`.
macro_rules! planted {
    ($name:ident) => {{
        #[cfg(feature = "defects")]
        let on = crate::defects::active(crate::defects::Defect::$name);
        #[cfg(not(feature = "defects"))]
        let on = false;
        on
    }};
}

mod broadcasts;
#[cfg(feature = "defects")]
pub mod defects;
mod isolation;
mod join_cookies;
mod record;
mod stable_view;
mod view;
mod window;
pub mod wire;

pub use record::{Name, Record, Role, State, MAX_NAME_BYTES, MAX_ZONE_BYTES};
pub use stable_view::StableView;
pub use view::{Config, Health, Input, Member, Output, View};
pub use wire::{DatagramError, Keys, MAX_DATAGRAM_BYTES};

/// Nanoseconds on a monotonic clock.
pub type Time = u64;

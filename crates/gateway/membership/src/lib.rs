//! Membership: which members of a fleet are alive, as each of them sees it.
//!
//! SWIM (Das, Gupta, Motivala 2002) with Lifeguard's corrections (Dadgar, Phillips, Currey 2018), and digests that
//! repair what dissemination missed. No I/O and no clock: [`View::handle`] takes a datagram or the time and returns
//! what to send; [`View::next_due`] is when it wants to be woken. Every random choice comes from the seed.
//!
//! The view is a belief. It may make work faster or cheaper; no rule may depend on it (`docs/design/fleet.md`).
#![forbid(unsafe_code)]

/// Whether the named defect is planted; always false, and compiled out, in release builds.
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
mod settled;
mod view;
mod window;
pub mod wire;

pub use record::{Name, Record, Role, State, MAX_NAME_BYTES, MAX_ZONE_BYTES};
pub use settled::StableView;
pub use view::{Config, Health, Input, Member, Output, View};
pub use wire::{DatagramError, Keys, MAX_DATAGRAM_BYTES};

/// Nanoseconds, on any clock that only runs forwards.
pub type Time = u64;

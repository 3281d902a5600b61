//! Scheduling of a gateway's background work. Work that is harmless from one gateway can do damage when a hundred
//! gateways do it at the same moment: after a common start, a common failure or a common update. The types do no I/O
//! and read no clock: the randomness is seeded, and the results are durations to wait.
#![forbid(unsafe_code)]

mod pace;

pub use pace::{Pace, Service};

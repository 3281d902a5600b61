//! When a gateway does its work beside requests. What is safe for one gateway may be damaging when a hundred do it
//! at the same moment: after a common start, a common failure or a common piece of news. Values without I/O and
//! without a clock: chance is seeded, and what comes out is how long to wait.
#![forbid(unsafe_code)]

mod pace;

pub use pace::{Pace, Service};

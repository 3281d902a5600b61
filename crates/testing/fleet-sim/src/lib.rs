//! Deterministic simulation of a whole fleet on a virtual clock: engines, planners, job servers, discovery,
//! the usage meter, clients and the network, all driven by one seed. An [`observer::Observer`] checks every
//! rule at every step and shares no code with the engine. The same seed yields the same digest on every
//! machine and in every build profile.
#![forbid(unsafe_code)]

pub mod compare;
pub mod days;
pub mod defects;
pub mod experiment;
pub mod members;
pub mod module;
pub mod observer;
pub mod quota;
pub mod record;
pub mod report;
pub mod rng;
pub mod servers;
pub mod shrink;
pub mod spec;
pub mod statistics;
pub mod story;
pub mod trace;
pub mod world;

pub use observer::Violation;
pub use spec::Spec;
pub use world::{play, Outcome, Stats};

//! Whole fleets on a virtual clock: engines, planners, job servers, discovery, the meter, clients and the network,
//! from one seed. An [`observer::Observer`] watches every rule at every step and shares no code with the engine.
//! The same seed gives the same digest on every machine and in every build.
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

//! Scripted neighbours, load and scenarios around the real program, all on loopback. Tests use the neighbours,
//! `test-harness` plays the scenarios.
#![forbid(unsafe_code)]

pub mod bed;
pub mod comeback;
pub mod crowd;
pub mod demo;
pub mod fleet;
pub mod gate;
pub mod local_cluster;
pub mod peers;
pub mod planners;
mod planning_cost;
pub mod program;
pub mod request_lifecycle;
pub mod scale;
pub mod scenario;
pub mod services;
pub mod trial;
pub mod upgrade;
pub mod view;

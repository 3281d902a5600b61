//! Scripted neighbours, load and scenarios around the real program, all on loopback. Tests use the neighbours,
//! `granitethread-rig` plays the scenarios.
#![forbid(unsafe_code)]

pub mod demo;
pub mod fleet;
pub mod lives;
pub mod peers;
pub mod program;
pub mod scenario;

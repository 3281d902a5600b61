//! Scripted peers, load generators and scenarios around the real programs, all on loopback. Integration tests use the
//! scripted peers; the `test-harness` binary runs the scenarios.
#![forbid(unsafe_code)]

pub mod comeback;
pub mod crowd;
pub mod demo;
pub mod fleet;
pub mod local_cluster;
pub mod peers;
pub mod planners;
mod planning_cost;
pub mod program;
pub mod renamed_services;
pub mod request_lifecycle;
pub mod scale;
pub mod scenario;
pub mod services;
pub mod tcp_proxy;
pub mod trial;
pub mod udp_relay;
pub mod upgrade;
pub mod view;

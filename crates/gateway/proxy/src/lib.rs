//! I/O of a gateway: sockets of clients (front) and of backends (upstream), and the driver of the engine between them.
//! A program defines what requests mean with a [`fronts::http1::RequestHandler`], and how backends are addressed with a
//! [`backends::UpstreamProtocol`]; no decisions are made here. Two programs use this crate: `granitethread` and the data
//! plane of the whole system.
#![forbid(unsafe_code)]

pub mod backends;
pub mod driver;
pub mod fronts;
pub mod handover;
pub mod list;

//! A gateway's sockets: clients in front, backends behind, the engine between them. What a request means, and how
//! backends are addressed, a program defines by a [`fronts::http1::RequestHandler`] and a [`backends::UpstreamProtocol`]; nothing is decided
//! here. There are two such programs: `granitethread`, and the data plane of the whole system.
#![forbid(unsafe_code)]

pub mod backends;
pub mod driver;
pub mod fronts;
pub mod handover;
pub mod list;

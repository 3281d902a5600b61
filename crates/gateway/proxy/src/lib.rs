//! A gateway's sockets: clients in front, backends behind, the engine between them. What a request means and how
//! backends are spoken to the program says, by a [`fronts::http1::Door`] and a [`backends::Wire`]; nothing is decided
//! here. The program in service and the data plane of the whole system are two such programs.
#![forbid(unsafe_code)]

pub mod backends;
pub mod driver;
pub mod fronts;
pub mod handover;
pub mod list;

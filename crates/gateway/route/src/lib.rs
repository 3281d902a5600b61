//! Routing before the decision module picks a server: the route of a request, its pool, and the subset of the pool's
//! servers to which this gateway keeps connections.
//!
//! No I/O, no clock and no random numbers: requests, server lists, customers and time are passed in.
//!
//! | module | decides |
//! | --- | --- |
//! | [`table`] | the route for a host, path, method, class and headers; compiled once, replaced as a whole |
//! | [`split`] | the pool among several, sticky by customer; which requests are shadowed |
//! | [`pool`] | which servers belong to a pool, by label |
//! | [`subset`] | which of them this gateway connects to, and how the subset widens |
//! | [`zone`] | the share of requests that leaves the gateway's own zone |
//! | [`eject`] | which outliers are ejected, and when all servers are used regardless (panic) |
#![forbid(unsafe_code)]

pub mod eject;
pub mod pool;
pub mod split;
pub mod subset;
pub mod table;
pub mod zone;

pub use pool::{Labels, Selector};
pub use split::{Shadow, Split};
pub use subset::Subset;
pub use table::{Error, Match, Route, RouteQuery, Table};

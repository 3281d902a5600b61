//! Where a request goes before the decision module picks a server: a route, a pool, and of a pool's servers those
//! that this gateway keeps connections to.
//!
//! No I/O, no clock, no chance of its own: requests, lists, customers and figures are handed in.
//!
//! | module | decides |
//! | --- | --- |
//! | [`table`] | host, path, method, class and headers -> a pool; compiled once, swapped whole |
//! | [`split`] | which pool of several, sticky by customer; which requests are shadowed |
//! | [`pool`] | which servers are a pool's, by label |
//! | [`subset`] | which of them this gateway keeps, and how that widens |
//! | [`zone`] | how much leaves its own zone |
//! | [`eject`] | which outliers are left alone, and when all are used all the same |
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

//! The configuration: reading and validating it, and what it says of a request. No I/O.
//!
//! What an operator sends is validated once, where it is committed ([`validate`], with the schema of
//! `schema/configuration.json`); all others are handed the same bytes and read them with [`Configuration::parse`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod model;
mod route_table;
#[cfg(feature = "check")]
mod validation;

pub use error::ConfigurationError;
pub use model::{ClientLimits, Configuration, Route, RouteKind, Service, Tenant, Trial, WeightedTarget};
pub use route_table::RouteTable;
#[cfg(feature = "check")]
pub use validation::{validate, Validator};

/// A configuration's version: eight hexadecimal digits on the wire.
pub type Version = u32;

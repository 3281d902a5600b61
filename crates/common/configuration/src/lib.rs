//! The configuration: its data model, validation, and the lookup of a request's route, service and tenant. No I/O.
//!
//! A configuration is validated once, when it is committed ([`validate`], with the schema in
//! `schema/configuration.json`). All other components receive the same bytes and read them with
//! [`Configuration::parse`].
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

/// The version of a configuration; written as eight hexadecimal digits on the wire.
pub type Version = u32;

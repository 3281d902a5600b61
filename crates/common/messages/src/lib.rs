//! Messages between processes of the system, and the frames that carry them on a connection.
//!
//! The first message on a connection is a [`Greeting`], which tells whose it is and in which format it speaks; a greeting
//! of another format ends the connection.
//!
//! `rmp-serde` writes an enum's variants by name and a struct's fields by place. A variant whose name in the code has
//! changed since [`MESSAGE_FORMAT`] 4 was fixed keeps its old name in `serde(rename)`, so that processes of two versions
//! understand each other while machines are changed one at a time; `crates/testing/compatibility` holds the bytes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod control_message;
pub mod frame;
mod gateway_message;
mod greeting;
mod query;

pub use control_message::ControlMessage;
pub use gateway_message::{FleetChange, FleetSnapshot, GatewayMessage, GatewayUpdate};
pub use greeting::{Greeting, MESSAGE_FORMAT};
pub use query::{Query, QueryAnswer, QueryResponse, TrialReport};

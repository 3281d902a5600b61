//! Messages between the processes of the system, and the frames that carry them on a connection.
//!
//! The first message on a connection is a [`Greeting`], which identifies the peer and its message format. A greeting
//! of another format ends the connection.
//!
//! `rmp-serde` writes enum variants by name and struct fields by position. A variant that was renamed in the code
//! after [`MESSAGE_FORMAT`] 4 was fixed keeps its wire name in `serde(rename)`, so that processes of two versions
//! understand each other during a rolling upgrade. `crates/testing/compatibility` checks the encoded bytes.
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

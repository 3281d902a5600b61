//! Messages between processes of the system, and the frames that carry them on a connection.
#![forbid(unsafe_code)]

pub mod frame;
pub mod message;

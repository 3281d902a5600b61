//! What every process of the system needs beside its own work: settings, the command line, the log, and sockets that notice
//! a peer that is gone. Nothing is decided here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command_line;
pub mod log_ring;
pub mod settings;
pub mod sockets;

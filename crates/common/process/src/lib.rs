//! What every process of the system needs beside its own work: settings, the command line and the log. Nothing is decided
//! here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command_line;
pub mod log_ring;
pub mod settings;

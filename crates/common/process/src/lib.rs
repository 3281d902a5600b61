//! Common parts of every process of the system: settings, command line and log. Contains no gateway or control plane
//! logic.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command_line;
pub mod log_ring;
pub mod settings;

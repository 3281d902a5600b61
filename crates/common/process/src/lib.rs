//! What every process of the system needs beside its own work: settings, the command line, the log, and sockets that notice
//! a peer that is gone. Nothing is decided here.
#![forbid(unsafe_code)]

pub mod command;
pub mod net;
pub mod ring;
pub mod settings;

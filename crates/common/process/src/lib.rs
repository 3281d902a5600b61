//! What both programs of the system share beside the stage: the settings that a process is told, the messages between
//! processes and their frames, the log's ring, sockets that notice a peer that is gone. Nothing is decided here.
#![forbid(unsafe_code)]

pub mod command;
pub mod frame;
pub mod message;
pub mod net;
pub mod ring;
pub mod settings;

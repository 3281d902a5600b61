//! Prompters as processes, over real sockets.

mod core;
mod followers;
mod orders;

//! The signals that the process listens for.

use crate::error::ControlPlaneError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT.
    Shutdown,
    /// SIGHUP: the settings file is to be read again.
    Reload,
    /// SIGUSR1: the log ring is to be written out.
    DumpLog,
}

/// The signals that the process listens for.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user_defined1: Signal,
}

impl Signals {
    /// Listens from now on.
    ///
    /// # Errors
    /// The system's.
    pub fn listen() -> Result<Self, ControlPlaneError> {
        let listen = |kind| signal(kind).map_err(ControlPlaneError::Signals);
        Ok(Signals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
            user_defined1: listen(SignalKind::user_defined1())?,
        })
    }

    /// The next signal.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Shutdown,
            _ = self.interrupt.recv() => SignalRequest::Shutdown,
            _ = self.hangup.recv() => SignalRequest::Reload,
            _ = self.user_defined1.recv() => SignalRequest::DumpLog,
        }
    }

    /// The next signal to end; others wait until [`Signals::next`].
    pub async fn shutdown(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

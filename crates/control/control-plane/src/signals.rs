//! Signals that the process handles.

use crate::error::ControlPlaneError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT.
    Shutdown,
    /// SIGHUP: read the settings file again.
    Reload,
    /// SIGUSR1: write out the log ring.
    DumpLog,
}

/// Streams of the handled signals.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user_defined1: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// The operating system's error if a handler cannot be installed.
    pub fn listen() -> Result<Self, ControlPlaneError> {
        let listen = |kind| signal(kind).map_err(ControlPlaneError::Signals);
        Ok(Signals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
            user_defined1: listen(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Shutdown,
            _ = self.interrupt.recv() => SignalRequest::Shutdown,
            _ = self.hangup.recv() => SignalRequest::Reload,
            _ = self.user_defined1.recv() => SignalRequest::DumpLog,
        }
    }

    /// Waits for a signal to shut down; other signals stay pending for [`Signals::next`].
    pub async fn shutdown(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

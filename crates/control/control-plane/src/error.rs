//! Errors that end the process.

use crate::storage::StorageError;
use displaydoc::Display;
use sockets::ListenError;
use std::io;
use tokio::task::JoinError;

/// An error that ends the process.
#[derive(Debug, Display)]
pub enum ControlPlaneError {
    /// cannot listen for signals: {0}
    Signals(io::Error),
    /// networkTerms.listenAddresses.controlPlane is not set
    NoControlAddress,
    /// {0}
    Listen(ListenError),
    /// {0}
    Storage(StorageError),
    /// cannot obtain random numbers: {0}
    Random(getrandom::Error),
    /// the consensus task ended unexpectedly: {0:?}
    ConsensusEnded(Result<(), JoinError>),
    /// the call server ended unexpectedly: {0:?}
    CallServerEnded(Result<(), JoinError>),
}

impl std::error::Error for ControlPlaneError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ControlPlaneError::Signals(error) => Some(error),
            ControlPlaneError::Listen(error) => Some(error),
            ControlPlaneError::Storage(error) => Some(error),
            ControlPlaneError::Random(error) => Some(error),
            ControlPlaneError::ConsensusEnded(Err(error))
            | ControlPlaneError::CallServerEnded(Err(error)) => Some(error),
            ControlPlaneError::NoControlAddress
            | ControlPlaneError::ConsensusEnded(Ok(()))
            | ControlPlaneError::CallServerEnded(Ok(())) => None,
        }
    }
}

impl From<ListenError> for ControlPlaneError {
    fn from(error: ListenError) -> Self {
        ControlPlaneError::Listen(error)
    }
}

impl From<StorageError> for ControlPlaneError {
    fn from(error: StorageError) -> Self {
        ControlPlaneError::Storage(error)
    }
}

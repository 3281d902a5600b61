//! Fatal errors of the data plane.

use displaydoc::Display;
use sockets::ListenError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// The failure that ended the process.
#[derive(Debug, Display)]
pub enum DataPlaneError {
    /// cannot listen for signals: {0}
    Signals(io::Error),
    /// no {0} listen address is configured
    NoAddress(&'static str),
    /// {0}
    Listen(ListenError),
    /// membership {0}: {1}
    MembershipSocket(SocketAddr, io::Error),
    /// membership: {0}
    MembershipKey(String),
    /// cannot obtain random bytes: {0}
    Random(getrandom::Error),
    /// the decision module: {0}
    Module(String),
    /// the driver ended: {0}
    DriverEnded(JoinError),
}

impl std::error::Error for DataPlaneError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            DataPlaneError::Signals(error) | DataPlaneError::MembershipSocket(_, error) => Some(error),
            DataPlaneError::Listen(error) => Some(error),
            DataPlaneError::Random(error) => Some(error),
            DataPlaneError::DriverEnded(error) => Some(error),
            DataPlaneError::NoAddress(_) | DataPlaneError::MembershipKey(_) | DataPlaneError::Module(_) => {
                None
            }
        }
    }
}

impl From<ListenError> for DataPlaneError {
    fn from(error: ListenError) -> Self {
        DataPlaneError::Listen(error)
    }
}

//! Errors of commands.

use displaydoc::Display;
use hyper::StatusCode;
use std::error::Error as StdError;
use std::net::SocketAddr;

/// Why a command failed. The operator sees only this text.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}; see --help
    Usage(getopts::Fail),
    /// --{option} {text}: {reason}
    Address { option: &'static str, text: String, reason: std::net::AddrParseError },
    /// cannot start the event loop: {0}
    Runtime(std::io::Error),
    /// {0}
    LineEditor(rustyline::error::ReadlineError),
    /// unknown command {0:?}; see help
    UnknownCommand(String),
    /// this command requires --{0} IP:PORT
    AddressMissing(&'static str),
    /// no control node answered at {0:?}
    NoNodeReached(Vec<SocketAddr>),
    /// {file}: {reason}
    File { file: String, reason: std::io::Error },
    /// {file}: {reason}
    InvalidFile { file: String, reason: configuration::ConfigurationError },
    /// {file}: {reason}
    NotJson { file: String, reason: serde_json::Error },
    /// {0}
    Call(CallError),
    /// {0}
    AnswerNotJson(serde_json::Error),
    /// {0}
    UnreadableConfiguration(configuration::ConfigurationError),
    /// {status} {body}
    UnexpectedAnswer { status: StatusCode, body: String },
    /// conflict with a newer version: {0}; read the configuration again
    Conflict(String),
    /// refused: {status} {reason}
    Refused { status: StatusCode, reason: String },
    /// there is no configuration yet
    NoConfiguration,
    /// version numbers are exhausted
    VersionsExhausted,
    /// too many conflicting changes; nothing was changed
    RetriesExhausted,
    /// {0}
    Trial(TrialError),
}

impl StdError for Error {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        match self {
            Error::Usage(error) => Some(error),
            Error::Address { reason, .. } => Some(reason),
            Error::Runtime(error) | Error::File { reason: error, .. } => Some(error),
            Error::LineEditor(error) => Some(error),
            Error::InvalidFile { reason, .. } | Error::UnreadableConfiguration(reason) => Some(reason),
            Error::NotJson { reason, .. } | Error::AnswerNotJson(reason) => Some(reason),
            Error::Call(error) => Some(error),
            Error::Trial(error) => Some(error),
            Error::UnknownCommand(_)
            | Error::AddressMissing(_)
            | Error::NoNodeReached(_)
            | Error::UnexpectedAnswer { .. }
            | Error::Conflict(_)
            | Error::Refused { .. }
            | Error::NoConfiguration
            | Error::VersionsExhausted
            | Error::RetriesExhausted => None,
        }
    }
}

impl From<getopts::Fail> for Error {
    fn from(error: getopts::Fail) -> Self {
        Error::Usage(error)
    }
}

impl From<rustyline::error::ReadlineError> for Error {
    fn from(error: rustyline::error::ReadlineError) -> Self {
        Error::LineEditor(error)
    }
}

impl From<CallError> for Error {
    fn from(error: CallError) -> Self {
        Error::Call(error)
    }
}

impl From<TrialError> for Error {
    fn from(error: TrialError) -> Self {
        Error::Trial(error)
    }
}

/// Why a call to the control interface failed: the result of the last attempt.
#[derive(Debug, Display)]
pub enum CallError {
    /// no attempt was made
    NotAttempted,
    /// {node}: {status} {body}
    ServerError { node: SocketAddr, status: StatusCode, body: String },
    /// {node}: {reason}
    Http { node: SocketAddr, reason: HttpError },
    /// {node}: timed out
    TimedOut { node: SocketAddr },
}

impl StdError for CallError {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        match self {
            CallError::Http { reason, .. } => Some(reason),
            CallError::NotAttempted | CallError::ServerError { .. } | CallError::TimedOut { .. } => None,
        }
    }
}

/// Why an HTTP request failed.
#[derive(Debug, Display)]
pub enum HttpError {
    /// {0}
    Connect(std::io::Error),
    /// {0}
    Exchange(hyper::Error),
    /// {0}
    Request(hyper::http::Error),
}

impl StdError for HttpError {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        match self {
            HttpError::Connect(error) => Some(error),
            HttpError::Exchange(error) => Some(error),
            HttpError::Request(error) => Some(error),
        }
    }
}

impl From<std::io::Error> for HttpError {
    fn from(error: std::io::Error) -> Self {
        HttpError::Connect(error)
    }
}

impl From<hyper::Error> for HttpError {
    fn from(error: hyper::Error) -> Self {
        HttpError::Exchange(error)
    }
}

impl From<hyper::http::Error> for HttpError {
    fn from(error: hyper::http::Error) -> Self {
        HttpError::Request(error)
    }
}

/// Why a trial cannot be set.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TrialError {
    /// the configuration has no tenants
    NoTenants,
    /// no tenant is named {0}
    UnknownTenant(String),
    /// ends=TIME, pace=N, wait=MS, or off is wanted
    NothingToSet,
    /// {0:?} is not one of ends=, pace=, wait=
    UnknownField(String),
    /// {0:?} has no valid number
    NotANumber(String),
}

impl StdError for TrialError {}

//! What can go wrong while a command is carried out.

use hyper::StatusCode;
use std::net::SocketAddr;

/// Why a command has no answer. Its text is all that the operator is shown.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}; --help says what is known")]
    Usage(#[from] getopts::Fail),
    #[error("--{option} {text}: {reason}")]
    Address { option: &'static str, text: String, reason: std::net::AddrParseError },
    #[error("cannot start the event loop: {0}")]
    Runtime(std::io::Error),
    #[error(transparent)]
    LineEditor(#[from] rustyline::error::ReadlineError),
    #[error("{0:?} is no query; help names them")]
    UnknownCommand(String),
    #[error("--{0} IP:PORT is wanted for that")]
    AddressMissing(&'static str),
    #[error("nobody was reached at {0:?}")]
    NobodyReached(Vec<SocketAddr>),
    #[error("{file}: {reason}")]
    File { file: String, reason: std::io::Error },
    #[error("{file}: {reason}")]
    InvalidFile { file: String, reason: configuration::ConfigurationError },
    #[error("{file}: {reason}")]
    NotJson { file: String, reason: serde_json::Error },
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("{0}")]
    UnreadableConfiguration(String),
    #[error("{status} {body}")]
    UnexpectedAnswer { status: StatusCode, body: String },
    #[error("overtaken: {0}; read it again")]
    Conflict(String),
    #[error("refused: {status} {reason}")]
    Refused { status: StatusCode, reason: String },
    #[error("there is no configuration yet")]
    NoConfiguration,
    #[error("versions are used up")]
    VersionsExhausted,
    #[error("others change it all the time; nothing was changed here")]
    RetriesExhausted,
    #[error(transparent)]
    Trial(#[from] TrialError),
}

/// Why a call to the control interface was given up: what came of the last attempt.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("nobody was asked")]
    NotAttempted,
    #[error("{node}: {status} {body}")]
    ServerError { node: SocketAddr, status: StatusCode, body: String },
    #[error("{node}: {reason}")]
    Http { node: SocketAddr, reason: HttpError },
    #[error("{node}: it says nothing")]
    TimedOut { node: SocketAddr },
}

/// Why an HTTP request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
}

/// Why a trial cannot be set as it was asked for.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    #[error("it names no tenants")]
    NoTenants,
    #[error("no tenant is named {0}")]
    UnknownTenant(String),
    #[error("ends=TIME, pace=N, wait=MS, or off is wanted")]
    NothingToSet,
    #[error("{0:?} is none of ends=, pace=, wait=")]
    UnknownField(String),
    #[error("{0:?}: no number")]
    NotANumber(String),
}

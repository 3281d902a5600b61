//! Outcome of an attempt, and the HTTP mapping between the gateway and its backends.

use super::relay::Stream;
use super::Outgoing;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use interface::{Ending, Load, Name};
use lifecycle::upstream::{Echo, ExecutionStart};
use std::time::Duration;

/// Result of an attempt.
pub struct Outcome {
    pub ending: Ending,
    /// Response of a backend that is to be passed on.
    pub served: Option<Served>,
    /// Error response of a backend. It is passed on only if the request finally fails.
    pub failure: Option<Served>,
    /// Status with which a backend rejected the request itself, so that no other backend would accept it.
    pub rejected: Option<StatusCode>,
    pub settled: f64,
    pub metered: Option<f64>,
    pub load: Option<Load>,
}

/// Body of a response.
pub enum Content {
    Complete(Bytes),
    /// A body that is still arriving.
    Stream(Stream),
}

/// Response to pass on to the client.
pub struct Served {
    pub status: StatusCode,
    /// Only the headers that are passed on.
    pub headers: HeaderMap,
    pub content: Content,
}

impl Outcome {
    /// Returns the outcome of an attempt without a response.
    pub fn without_answer(ending: Ending) -> Self {
        Outcome {
            ending,
            served: None,
            failure: None,
            rejected: None,
            settled: 0.0,
            metered: None,
            load: None,
        }
    }
}

/// HTTP conventions between a gateway and its backends.
pub trait UpstreamProtocol {
    /// Sets the headers that are known only when an attempt is sent: the remaining time and the server.
    fn set_attempt_headers(&self, headers: &mut HeaderMap, wait: Duration, server: &Name);

    /// Returns the part of a request after which a backend may have started to execute it.
    fn execution_start(&self) -> ExecutionStart {
        ExecutionStart::FullRequest
    }

    /// Returns whether a response with this head echoes the request's id.
    fn echo(&self, _request: &Outgoing, _head: &Parts) -> Echo {
        Echo::Same
    }

    /// Whether this is a valid head of a backend's response.
    fn is_valid_head(&self, _request: &Outgoing, _head: &Parts) -> bool {
        true
    }

    /// Returns the keep-alive time that the backend announces for the connection after this response. `None`: the general
    /// limit applies.
    fn idle_time(&self, _head: &Parts) -> Option<Duration> {
        None
    }

    /// Whether a response with this head may be passed on before its end has arrived, if it is long, or slow and of
    /// unknown length. Any other response must fit in `MAX_BUFFERED_RESPONSE_BYTES`.
    fn is_streamable(&self, head: &Parts) -> bool {
        head.status == StatusCode::OK
    }

    /// Interprets a response of this backend.
    fn read(&self, request: &Outgoing, server: &Name, response: Response<Content>) -> Outcome;
}

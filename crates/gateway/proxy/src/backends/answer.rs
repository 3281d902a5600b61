//! What comes back of an attempt, and how it is worded towards backends.

use super::relay::Stream;
use super::Outgoing;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use interface::{Ending, Load, Name};
use lifecycle::upstream::{Echo, ExecutionStart};
use std::time::Duration;

/// How an attempt ended and what came back.
pub struct Outcome {
    pub ending: Ending,
    /// The answer of a backend that is to be passed on.
    pub served: Option<Served>,
    /// A backend's own failure: it is passed on if the request ends as failed, but not before.
    pub failure: Option<Served>,
    /// The status by which a backend found fault with the request itself: no other would take it.
    pub rejected: Option<StatusCode>,
    pub settled: f64,
    pub metered: Option<f64>,
    pub load: Option<Load>,
}

/// The bytes of an answer.
pub enum Content {
    Complete(Bytes),
    /// Still to come.
    Stream(Stream),
}

/// An answer as it goes on to the client.
pub struct Served {
    pub status: StatusCode,
    /// Those that are passed on, and no others.
    pub headers: HeaderMap,
    pub content: Content,
}

impl Outcome {
    /// The outcome of an attempt that brought no answer.
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

/// How requests and answers are worded between a gateway and its backends.
pub trait UpstreamProtocol {
    /// Sets the headers that are known only when a request goes out: how long is left, and to whom it goes.
    fn set_attempt_headers(&self, headers: &mut HeaderMap, wait: Duration, server: &Name);

    /// From how much of a request on a backend may have begun to work on it.
    fn execution_start(&self) -> ExecutionStart {
        ExecutionStart::FullRequest
    }

    /// Whether the answer with this head bears this request's id.
    fn echo(&self, _request: &Outgoing, _head: &Parts) -> Echo {
        Echo::Same
    }

    /// Whether this can be the head of a backend's answer at all.
    fn is_valid_head(&self, _request: &Outgoing, _head: &Parts) -> bool {
        true
    }

    /// How long the backend says that it leaves the connection idle behind this answer; none: what holds for all.
    fn idle_time(&self, _head: &Parts) -> Option<Duration> {
        None
    }

    /// Whether an answer with this head may be passed on as it comes, if it is long.
    fn is_streamable(&self, head: &Parts) -> bool {
        head.status == StatusCode::OK
    }

    /// Reads an answer of this backend.
    fn read(&self, request: &Outgoing, server: &Name, answer: Response<Content>) -> Outcome;
}

//! The protocol between gateway and backends (`PROTOCOL.md`, Backends).

#[cfg(test)]
mod tests;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use interface::{Ending, Name};
use lifecycle::upstream::{Echo, ExecutionStart};
use proxy::backends::{Content, Outcome, Outgoing, Served, UpstreamProtocol};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Id of a client attempt, in the request and in its response.
pub const ATTEMPT: HeaderName = HeaderName::from_static("attempt-id");
/// Remaining time of the client in milliseconds.
pub const REMAINING: HeaderName = HeaderName::from_static("remaining-time");
/// Instance id of the backend that a request is addressed to.
pub const TARGET: HeaderName = HeaderName::from_static("target-instance");
/// Name of the tenant, for backends.
pub const TENANT: HeaderName = HeaderName::from_static("tenant-name");
/// API key of a client.
pub const CREDENTIAL: HeaderName = HeaderName::from_static("credential");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Present in each complete response of a backend.
const SEAL: HeaderName = HeaderName::from_static("server-seal");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");

/// Hop-by-hop headers (RFC 9110, 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    hyper::header::CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::TRANSFER_ENCODING,
    hyper::header::UPGRADE,
    hyper::header::CONTENT_LENGTH,
];

/// Removes the hop-by-hop headers and those listed in `Connection`, except for the headers that prove which request
/// and backend a response belongs to.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| ![ATTEMPT, SEAL].contains(name))
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Ids of backends at whose address another backend answered.
pub type Misdirected = Rc<RefCell<Vec<Name>>>;

/// The protocol between gateway and backends.
#[derive(Default)]
pub struct BackendProtocol {
    /// Backends to be removed from the view.
    pub misdirected: Misdirected,
    /// Number of responses that carried the id of another attempt.
    mismatched_responses: Cell<u64>,
}

/// What a response tells about its request, read from the status and headers only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerMeaning {
    /// The response of an execution, to be passed on.
    Success,
    /// A failed execution.
    Failed,
    /// A failed execution with a status that promises clients that the request was not executed; it must not reach
    /// them.
    Misleading,
    /// The backend rejected the request without executing it.
    Rejected,
    /// Another backend answered at this address.
    OtherInstance,
    /// The response cannot originate from the backend.
    Invalid,
}

/// Returns whether the response proves that the request was not executed. Nothing else proves it.
fn is_not_executed(head: &Parts) -> bool {
    head.headers.contains_key(NOT_EXECUTED) || head.status == StatusCode::MISDIRECTED_REQUEST
}

fn interpret(head: &Parts) -> AnswerMeaning {
    let headers = &head.headers;
    let is_complete = !headers.contains_key(CONTENT_ENCODING) && headers.contains_key(SEAL);
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => AnswerMeaning::OtherInstance,
        _ if is_not_executed(head) => AnswerMeaning::Rejected,
        status if status.is_success() && !is_complete => AnswerMeaning::Invalid,
        status if status.is_success() => AnswerMeaning::Success,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            AnswerMeaning::Misleading
        }
        status if status.is_server_error() => AnswerMeaning::Failed,
        _ => AnswerMeaning::Success,
    }
}

/// Compares the attempt id of a response with that of the request. A response with two ids matches none.
fn echo(attempt: Option<&HeaderValue>, head: &Parts) -> Echo {
    let mut ids = head.headers.get_all(ATTEMPT).iter();
    match (ids.next(), ids.next()) {
        (None, _) => Echo::Missing { is_rejection: is_not_executed(head) },
        (Some(id), None) if Some(id) == attempt => Echo::Same,
        _ => Echo::Other,
    }
}

/// Returns the `timeout` parameter of a `Keep-Alive` header, which is given in seconds.
fn keep_alive_timeout(head: &Parts) -> Option<Duration> {
    let text = head.headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeouts = text.split(',').filter_map(|parameter| parameter.trim().strip_prefix("timeout="));
    timeouts.filter_map(|seconds| seconds.trim().parse().ok()).map(Duration::from_secs).min()
}

impl UpstreamProtocol for BackendProtocol {
    fn set_attempt_headers(&self, headers: &mut HeaderMap, wait: Duration, server: &Name) {
        headers.insert(REMAINING, HeaderValue::from(wait.as_millis() as u64));
        // Instance ids come from backends as text. An id that is not a valid header value is not sent.
        if let Ok(target) = HeaderValue::try_from(&**server) {
            headers.insert(TARGET, target);
        }
    }

    fn execution_start(&self) -> ExecutionStart {
        ExecutionStart::FullHead
    }

    fn echo(&self, request: &Outgoing, head: &Parts) -> Echo {
        let echo = echo(request.headers.get(ATTEMPT), head);
        if echo == Echo::Other {
            self.mismatched_responses.set(self.mismatched_responses.get() + 1);
            let count = self.mismatched_responses.get();
            log::info!("backends: dropped a response to another request, {count} so far");
        }
        echo
    }

    fn is_valid_head(&self, _: &Outgoing, head: &Parts) -> bool {
        interpret(head) != AnswerMeaning::Invalid
    }

    fn idle_time(&self, head: &Parts) -> Option<Duration> {
        keep_alive_timeout(head)
    }

    fn is_streamable(&self, head: &Parts) -> bool {
        head.status.is_success() && interpret(head) == AnswerMeaning::Success
    }

    fn read(&self, _: &Outgoing, server: &Name, answer: Response<Content>) -> Outcome {
        let (mut head, content) = answer.into_parts();
        let meaning = interpret(&head);
        let ending = match meaning {
            AnswerMeaning::Success if head.status.is_success() => Ending::Success,
            AnswerMeaning::Success => Ending::Cancelled,
            AnswerMeaning::Failed | AnswerMeaning::Misleading => Ending::Failure,
            AnswerMeaning::Rejected => Ending::Overloaded,
            AnswerMeaning::OtherInstance => Ending::Stale,
            AnswerMeaning::Invalid => Ending::Unreadable,
        };
        let mut outcome = Outcome::without_answer(ending);
        if meaning == AnswerMeaning::OtherInstance {
            self.misdirected.borrow_mut().push(server.clone());
        }
        if matches!(meaning, AnswerMeaning::Success | AnswerMeaning::Failed) {
            strip_hop_by_hop_headers(&mut head.headers);
            let served = Some(Served { status: head.status, headers: head.headers, content });
            // The decision to retry a failure elsewhere is made by the caller.
            if meaning == AnswerMeaning::Success {
                outcome.served = served;
            } else {
                outcome.failure = served;
            }
        }
        outcome
    }
}

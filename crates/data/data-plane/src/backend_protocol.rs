//! How backends of the system are spoken to (`PROTOCOL.md`, Backends).

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

/// A try of a client, on the request and on its answer.
pub const ATTEMPT: HeaderName = HeaderName::from_static("attempt-id");
/// How long the client waits, in milliseconds.
pub const REMAINING: HeaderName = HeaderName::from_static("remaining-time");
/// The backend that a request is meant for.
pub const TARGET: HeaderName = HeaderName::from_static("target-instance");
/// The tenant's name, for backends.
pub const TENANT: HeaderName = HeaderName::from_static("tenant-name");
/// A client's API key.
pub const CREDENTIAL: HeaderName = HeaderName::from_static("credential");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// On each whole answer of a backend's.
const SEAL: HeaderName = HeaderName::from_static("server-seal");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");

/// Headers that concern one connection only (RFC 9110, 7.6.1).
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

/// Removes the headers that concern one connection only, and those that `Connection` names; those that prove whose an answer
/// is stay.
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

/// Backends at whose address another one answered.
pub type Misdirected = Rc<RefCell<Vec<Name>>>;

/// How backends are spoken to.
#[derive(Default)]
pub struct BackendProtocol {
    /// To be taken out.
    pub misdirected: Misdirected,
    /// Answers of other requests so far.
    foreign_answers: Cell<u64>,
}

/// What an answer's head proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerMeaning {
    /// It is the answer of a run, to be passed on.
    Success,
    /// A failure of a run.
    Failed,
    /// A failure of a run, with a status that promises clients that nothing has run: it must not reach them.
    Misleading,
    /// The backend rejected the request.
    Rejected,
    /// Another backend is there.
    OtherInstance,
    /// It cannot be the backend's.
    Invalid,
}

/// Only these prove that a request has not run.
fn is_not_executed(head: &Parts) -> bool {
    head.headers.contains_key(NOT_EXECUTED) || head.status == StatusCode::MISDIRECTED_REQUEST
}

fn interpret(head: &Parts) -> AnswerMeaning {
    let headers = &head.headers;
    let is_whole = !headers.contains_key(CONTENT_ENCODING) && headers.contains_key(SEAL);
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => AnswerMeaning::OtherInstance,
        _ if is_not_executed(head) => AnswerMeaning::Rejected,
        status if status.is_success() && !is_whole => AnswerMeaning::Invalid,
        status if status.is_success() => AnswerMeaning::Success,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            AnswerMeaning::Misleading
        }
        status if status.is_server_error() => AnswerMeaning::Failed,
        _ => AnswerMeaning::Success,
    }
}

/// Whose id an answer echoes. Two ids are none that could be compared.
fn echo(attempt: Option<&HeaderValue>, head: &Parts) -> Echo {
    let mut ids = head.headers.get_all(ATTEMPT).iter();
    match (ids.next(), ids.next()) {
        (None, _) => Echo::Missing { is_rejection: is_not_executed(head) },
        (Some(id), None) if Some(id) == attempt => Echo::Same,
        _ => Echo::Other,
    }
}

/// `timeout` of a `Keep-Alive` header, in seconds.
fn keep_alive_timeout(head: &Parts) -> Option<Duration> {
    let text = head.headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeouts = text.split(',').filter_map(|parameter| parameter.trim().strip_prefix("timeout="));
    timeouts.filter_map(|seconds| seconds.trim().parse().ok()).map(Duration::from_secs).min()
}

impl UpstreamProtocol for BackendProtocol {
    fn set_attempt_headers(&self, headers: &mut HeaderMap, wait: Duration, server: &Name) {
        headers.insert(REMAINING, HeaderValue::from(wait.as_millis() as u64));
        // Ids come from backends and were read as text; one that is no header value names nobody.
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
            self.foreign_answers.set(self.foreign_answers.get() + 1);
            let count = self.foreign_answers.get();
            log::info!("backends: an answer to another request was dropped, {count} so far");
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
            // Whether a failure may be tried elsewhere is not decided here.
            if meaning == AnswerMeaning::Success {
                outcome.served = served;
            } else {
                outcome.failure = served;
            }
        }
        outcome
    }
}

//! How backends of the system are spoken to (`PROTOCOL.md`, Backends).

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use interface::{Ending, Name};
use lifecycle::upstream::{Begins, Echo};
use proxy::backends::{Content, Outcome, Outgoing, Served, Wire};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

pub const ATTEMPT: HeaderName = HeaderName::from_static("attempt-id");
pub const REMAINING: HeaderName = HeaderName::from_static("remaining-time");
pub const TARGET: HeaderName = HeaderName::from_static("target-instance");
pub const TENANT: HeaderName = HeaderName::from_static("tenant-name");
pub const CREDENTIAL: HeaderName = HeaderName::from_static("credential");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
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

/// Takes out what concerns one connection only, and what `Connection` names; what says whose an answer is stays.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| ![ATTEMPT, SEAL].contains(name))
        .collect();
    HOP_BY_HOP_HEADERS.iter().chain(&named).for_each(|name| drop(headers.remove(name)));
}

/// Backends whose address has another owner now: they said so.
pub type Misdirected = Rc<RefCell<Vec<Name>>>;

#[derive(Default)]
pub struct BackendProtocol {
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
    /// A failure of a run, by a status that promises clients that it has not run: it must not reach them.
    Misleading,
    /// It turned the request away.
    Rejected,
    /// Another stands there.
    OtherInstance,
    /// It cannot be the backend's.
    Invalid,
}

/// Only these prove that a request has not run.
fn is_not_executed(head: &Parts) -> bool {
    head.headers.contains_key(NOT_EXECUTED) || head.status == StatusCode::MISDIRECTED_REQUEST
}

fn interpret(head: &Parts) -> AnswerMeaning {
    let h = &head.headers;
    let whole = !h.contains_key(CONTENT_ENCODING) && h.contains_key(SEAL);
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => AnswerMeaning::OtherInstance,
        _ if is_not_executed(head) => AnswerMeaning::Rejected,
        s if s.is_success() && !whole => AnswerMeaning::Invalid,
        s if s.is_success() => AnswerMeaning::Success,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            AnswerMeaning::Misleading
        }
        s if s.is_server_error() => AnswerMeaning::Failed,
        _ => AnswerMeaning::Success,
    }
}

/// Whose id an answer bears. Two are none that could be compared.
fn echo(attempt: Option<&HeaderValue>, head: &Parts) -> Echo {
    let mut ids = head.headers.get_all(ATTEMPT).iter();
    match (ids.next(), ids.next()) {
        (None, _) => Echo::Missing { turned_away: is_not_executed(head) },
        (Some(id), None) if Some(id) == attempt => Echo::Same,
        _ => Echo::Other,
    }
}

/// `timeout` of a `Keep-Alive` header, in seconds.
fn keep_alive_timeout(head: &Parts) -> Option<Duration> {
    let text = head.headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let told = text.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    told.filter_map(|seconds| seconds.trim().parse().ok()).map(Duration::from_secs).min()
}

impl Wire for BackendProtocol {
    fn stamp(&self, headers: &mut HeaderMap, wait: Duration, server: &Name) {
        headers.insert(REMAINING, HeaderValue::from(wait.as_millis() as u64));
        // Ids come from backends and were read as text; one that is no header value names nobody.
        if let Ok(target) = HeaderValue::try_from(&**server) {
            headers.insert(TARGET, target);
        }
    }

    fn begins(&self) -> Begins {
        Begins::Head
    }

    fn echo(&self, request: &Outgoing, head: &Parts) -> Echo {
        let echo = echo(request.headers.get(ATTEMPT), head);
        if echo == Echo::Other {
            self.foreign_answers.set(self.foreign_answers.get() + 1);
            log::info!(
                "answers: one of another request came and goes to nobody, {} so far",
                self.foreign_answers.get()
            );
        }
        echo
    }

    fn is_sound(&self, _: &Outgoing, head: &Parts) -> bool {
        interpret(head) != AnswerMeaning::Invalid
    }

    fn idle_time(&self, head: &Parts) -> Option<Duration> {
        keep_alive_timeout(head)
    }

    fn is_good(&self, head: &Parts) -> bool {
        head.status.is_success() && interpret(head) == AnswerMeaning::Success
    }

    fn read(&self, _: &Outgoing, server: &Name, answer: Response<Content>) -> Outcome {
        let (mut head, content) = answer.into_parts();
        let says = interpret(&head);
        let ending = match says {
            AnswerMeaning::Success if head.status.is_success() => Ending::Pass,
            AnswerMeaning::Success => Ending::Undone,
            AnswerMeaning::Failed | AnswerMeaning::Misleading => Ending::Fault,
            AnswerMeaning::Rejected => Ending::Full,
            AnswerMeaning::OtherInstance => Ending::Stale,
            AnswerMeaning::Invalid => Ending::Spoilt,
        };
        let mut outcome = Outcome::without_answer(ending);
        if says == AnswerMeaning::OtherInstance {
            self.misdirected.borrow_mut().push(server.clone());
        }
        if matches!(says, AnswerMeaning::Success | AnswerMeaning::Failed) {
            strip_hop_by_hop_headers(&mut head.headers);
            let served = Some(Served { status: head.status, headers: head.headers, content });
            // Whether a failure may be tried elsewhere is not settled here.
            if says == AnswerMeaning::Success {
                outcome.served = served;
            } else {
                outcome.failure = served;
            }
        }
        outcome
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head(status: u16, headers: &[(&'static str, &'static str)]) -> Parts {
        let mut answer = Response::builder().status(status);
        for (name, value) in headers {
            answer = answer.header(*name, *value);
        }
        answer.body(()).unwrap().into_parts().0
    }

    #[test]
    fn only_not_executed_and_421_promise_that_nothing_ran() {
        let said = |status, headers: &[(&'static str, &'static str)]| interpret(&head(status, headers));
        assert_eq!(said(200, &[("server-seal", "x")]), AnswerMeaning::Success);
        assert_eq!(said(200, &[]), AnswerMeaning::Invalid, "no seal");
        assert_eq!(said(200, &[("server-seal", "x"), ("content-encoding", "gzip")]), AnswerMeaning::Invalid);
        assert_eq!(said(503, &[("not-executed", "1")]), AnswerMeaning::Rejected);
        assert_eq!(said(421, &[("instance-id", "i-2")]), AnswerMeaning::OtherInstance);
        assert_eq!(
            (said(500, &[]), said(504, &[]), said(404, &[])),
            (AnswerMeaning::Failed, AnswerMeaning::Failed, AnswerMeaning::Success)
        );
        for promises in [408, 429, 503] {
            assert_eq!(said(promises, &[("server-seal", "x")]), AnswerMeaning::Misleading, "{promises}");
        }
    }

    #[test]
    fn only_an_echoed_attempt_id_matches() {
        let id = HeaderValue::from_static("9c41");
        let echoed =
            |status, headers: &[(&'static str, &'static str)]| echo(Some(&id), &head(status, headers));
        assert_eq!(echoed(200, &[("attempt-id", "9c41")]), Echo::Same);
        assert_eq!(echoed(200, &[("attempt-id", "9c42")]), Echo::Other, "a late one");
        assert_eq!(echoed(200, &[("attempt-id", "9c41"), ("attempt-id", "9c42")]), Echo::Other);
        assert_eq!(echoed(200, &[]), Echo::Missing { turned_away: false });
        assert_eq!(echoed(503, &[("not-executed", "1")]), Echo::Missing { turned_away: true });
        assert_eq!(echoed(503, &[("attempt-id", "9c42"), ("not-executed", "1")]), Echo::Other);
        assert_eq!(echo(None, &head(200, &[("attempt-id", "9c42")])), Echo::Other);
    }

    #[test]
    fn keep_alive_timeout_is_parsed() {
        let told = |text| keep_alive_timeout(&head(200, &[("keep-alive", text)]));
        assert_eq!(told("timeout=5, max=100"), Some(Duration::from_secs(5)));
        assert_eq!((told("max=100"), told("timeout=x")), (None, None));
    }

    #[test]
    fn hop_by_hop_headers_are_stripped() {
        let mut headers =
            head(200, &[("connection", "x-a, close"), ("x-a", "1"), ("x-b", "2"), ("te", "x")]).headers;
        strip_hop_by_hop_headers(&mut headers);
        assert_eq!(headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-b"]);
        let mut headers =
            head(200, &[("connection", "server-seal, attempt-id"), ("server-seal", "x")]).headers;
        strip_hop_by_hop_headers(&mut headers);
        assert!(headers.contains_key(SEAL), "a success without its seal is none");
    }
}

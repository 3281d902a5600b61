//! How backends of the system are spoken to (`PROTOCOL.md`, Backends).

use granite_interface::{Ending, Name};
use granite_stage::backends::{Content, Outcome, Outgoing, Served, Wire};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

pub const ATTEMPT: HeaderName = HeaderName::from_static("attempt-id");
pub const REMAINING: HeaderName = HeaderName::from_static("remaining-time");
pub const TARGET: HeaderName = HeaderName::from_static("target-instance");
pub const TENANT: HeaderName = HeaderName::from_static("tenant-name");
pub const CREDENTIAL: HeaderName = HeaderName::from_static("credential");
const SEAL: HeaderName = HeaderName::from_static("server-seal");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");

/// Headers that concern one connection only (RFC 9110, 7.6.1).
const HOPS: [HeaderName; 8] = [
    hyper::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::TRANSFER_ENCODING,
    hyper::header::UPGRADE,
    hyper::header::CONTENT_LENGTH,
];

/// Takes out what concerns one connection only, and what `Connection` names.
pub fn strip_hops(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    HOPS.iter().chain(&named).for_each(|name| drop(headers.remove(name)));
}

/// Backends whose address has another owner now: they said so.
pub type Misdirected = Rc<RefCell<Vec<Name>>>;

#[derive(Default)]
pub struct Backward {
    pub misdirected: Misdirected,
}

/// What an answer's head proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Says {
    /// It is the answer of a run, to be passed on.
    Good,
    /// A failure of a run.
    Failed,
    /// It turned the request away.
    Full,
    /// Another stands there.
    Other,
    /// It belongs to another request, or cannot be the backend's.
    Nothing,
}

fn says(attempt: Option<&HeaderValue>, head: &Parts) -> Says {
    let h = &head.headers;
    let ran = !h.contains_key(NOT_EXECUTED) && head.status != StatusCode::MISDIRECTED_REQUEST;
    match h.get(ATTEMPT) {
        // What did not run may be without an id; what ran echoes it.
        Some(id) if Some(id) != attempt => return Says::Nothing,
        None if ran => return Says::Nothing,
        _ => {}
    }
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => Says::Other,
        _ if !ran => Says::Full,
        s if s.is_success() && (!h.contains_key(SEAL) || h.contains_key(CONTENT_ENCODING)) => Says::Nothing,
        s if s.is_success() => Says::Good,
        s if s.is_server_error() => Says::Failed,
        _ => Says::Good,
    }
}

impl Wire for Backward {
    fn stamp(&self, headers: &mut HeaderMap, wait: Duration, server: &Name) {
        headers.insert(REMAINING, HeaderValue::from(wait.as_millis() as u64));
        // Ids come from backends and were read as text; one that is no header value names nobody.
        if let Ok(target) = HeaderValue::try_from(&**server) {
            headers.insert(TARGET, target);
        }
    }

    fn answers(&self, request: &Outgoing, head: &Parts) -> bool {
        says(request.headers.get(ATTEMPT), head) != Says::Nothing
    }

    fn is_good(&self, head: &Parts) -> bool {
        head.status.is_success() && says(head.headers.get(ATTEMPT), head) == Says::Good
    }

    fn read(&self, request: &Outgoing, server: &Name, answer: Response<Content>) -> Outcome {
        let (mut head, content) = answer.into_parts();
        let says = says(request.headers.get(ATTEMPT), &head);
        let repeatable = request.method.is_safe();
        let ending = match says {
            Says::Good if head.status.is_success() => Ending::Pass,
            Says::Good => Ending::Undone,
            Says::Failed => Ending::Fault,
            Says::Full => Ending::Full,
            Says::Other => Ending::Stale,
            Says::Nothing => Ending::Spoilt,
        };
        let mut outcome = Outcome::without_answer(ending);
        if says == Says::Other {
            self.misdirected.borrow_mut().push(server.clone());
        }
        // A failure that may be tried elsewhere is not passed on at once.
        if says == Says::Good || says == Says::Failed && !repeatable {
            strip_hops(&mut head.headers);
            outcome.served = Some(Served { status: head.status, headers: head.headers, content });
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
    fn only_what_says_so_has_not_run_and_only_the_echoed_id_is_ours() {
        let id = HeaderValue::from_static("9c41");
        let said = |status, headers: &[(&'static str, &'static str)]| says(Some(&id), &head(status, headers));
        assert_eq!(said(200, &[("attempt-id", "9c41"), ("server-seal", "x")]), Says::Good);
        assert_eq!(said(200, &[("attempt-id", "9c42"), ("server-seal", "x")]), Says::Nothing, "a late one");
        assert_eq!(said(200, &[("server-seal", "x")]), Says::Nothing);
        assert_eq!(said(200, &[("attempt-id", "9c41")]), Says::Nothing, "no seal");
        let coded = [("attempt-id", "9c41"), ("server-seal", "x"), ("content-encoding", "gzip")];
        assert_eq!(said(200, &coded), Says::Nothing);
        assert_eq!(said(503, &[("not-executed", "1")]), Says::Full);
        assert_eq!(said(503, &[("attempt-id", "9c41")]), Says::Failed, "nothing says that it has not run");
        assert_eq!(said(421, &[("instance-id", "i-2")]), Says::Other);
        assert_eq!(said(503, &[("attempt-id", "9c42"), ("not-executed", "1")]), Says::Nothing);
    }

    #[test]
    fn what_concerns_one_connection_goes_no_further() {
        let mut headers =
            head(200, &[("connection", "x-a, close"), ("x-a", "1"), ("x-b", "2"), ("te", "x")]).headers;
        strip_hops(&mut headers);
        assert_eq!(headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-b"]);
    }
}

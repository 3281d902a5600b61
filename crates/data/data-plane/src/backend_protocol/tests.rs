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
    let meaning = |status, headers: &[(&'static str, &'static str)]| interpret(&head(status, headers));
    assert_eq!(meaning(200, &[("server-seal", "x")]), AnswerMeaning::Success);
    assert_eq!(meaning(200, &[]), AnswerMeaning::Invalid, "no seal");
    assert_eq!(meaning(200, &[("server-seal", "x"), ("content-encoding", "gzip")]), AnswerMeaning::Invalid);
    assert_eq!(meaning(503, &[("not-executed", "1")]), AnswerMeaning::Rejected);
    assert_eq!(meaning(421, &[("instance-id", "i-2")]), AnswerMeaning::OtherInstance);
    assert_eq!(
        (meaning(500, &[]), meaning(504, &[]), meaning(404, &[])),
        (AnswerMeaning::Failed, AnswerMeaning::Failed, AnswerMeaning::Success)
    );
    for status in [408, 429, 503] {
        assert_eq!(meaning(status, &[("server-seal", "x")]), AnswerMeaning::Misleading, "{status}");
    }
}

#[test]
fn only_an_echoed_attempt_id_matches() {
    let id = HeaderValue::from_static("9c41");
    let echoed = |status, headers: &[(&'static str, &'static str)]| echo(Some(&id), &head(status, headers));
    assert_eq!(echoed(200, &[("attempt-id", "9c41")]), Echo::Same);
    assert_eq!(echoed(200, &[("attempt-id", "9c42")]), Echo::Other, "a late response");
    assert_eq!(echoed(200, &[("attempt-id", "9c41"), ("attempt-id", "9c42")]), Echo::Other);
    assert_eq!(echoed(200, &[]), Echo::Missing { is_rejection: false });
    assert_eq!(echoed(503, &[("not-executed", "1")]), Echo::Missing { is_rejection: true });
    assert_eq!(echoed(503, &[("attempt-id", "9c42"), ("not-executed", "1")]), Echo::Other);
    assert_eq!(echo(None, &head(200, &[("attempt-id", "9c42")])), Echo::Other);
}

#[test]
fn keep_alive_timeout_is_parsed() {
    let timeout = |text| keep_alive_timeout(&head(200, &[("keep-alive", text)]));
    assert_eq!(timeout("timeout=5, max=100"), Some(Duration::from_secs(5)));
    assert_eq!((timeout("max=100"), timeout("timeout=x")), (None, None));
}

#[test]
fn hop_by_hop_headers_are_stripped() {
    let mut headers =
        head(200, &[("connection", "x-a, close"), ("x-a", "1"), ("x-b", "2"), ("te", "x")]).headers;
    strip_hop_by_hop_headers(&mut headers);
    assert_eq!(headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-b"]);
    let mut headers = head(200, &[("connection", "server-seal, attempt-id"), ("server-seal", "x")]).headers;
    strip_hop_by_hop_headers(&mut headers);
    assert!(headers.contains_key(SEAL), "a success without its seal is invalid");
}

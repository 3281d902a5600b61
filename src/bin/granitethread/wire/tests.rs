use super::*;
use bytes::Bytes;
use hyper::{Method, Uri};
use proxy::backends::Upload;
use std::cell::RefCell;

/// The `usage-percent` header is passed as a fraction. Billed units are passed unchanged if the request succeeded, and
/// as 0 otherwise.
#[test]
fn metered_usage_and_billed_units_are_converted_for_the_module() {
    let request = Outgoing {
        method: Method::GET,
        uri: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: RefCell::new(Upload::None),
        ..Outgoing::default()
    };
    let answer = |status: u16| {
        let answer = Response::builder().status(status).header("usage-percent", "85");
        let answer =
            answer.header("billed-units", "3").body(Content::Complete(Bytes::from_static(b"x"))).unwrap();
        BackendProtocol { max_units: 8.0 }.read(&request, &"s".into(), answer)
    };
    let good = answer(200);
    assert_eq!((good.metered, good.settled, good.ending), (Some(0.85), 3.0, Ending::Success));
    let bad = answer(500);
    assert_eq!((bad.metered, bad.settled, bad.ending), (Some(0.85), 0.0, Ending::Failure));
    assert!(bad.served.is_none());
}

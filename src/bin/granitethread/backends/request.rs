//! A client's request as it goes on to backends.

use crate::fronts::Part;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Method, Request, Uri};
use std::time::Duration;

/// A client's request as it goes on to backends.
pub struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    pub request_id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub content_type: Option<HeaderValue>,
    pub host: HeaderValue,
    pub body: Bytes,
    /// The memory that it takes, until all of its attempts are over.
    pub part: Option<Part>,
}

impl Outgoing {
    pub(super) fn to_backend(&self, wait: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.reserve(6);
        headers.insert(HOST, self.host.clone());
        headers.insert("request-id", self.request_id.clone());
        if let Some(key) = &self.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        if let Some(kind) = &self.content_type {
            headers.insert("content-type", kind.clone());
        }
        if let Ok(wait) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
            headers.insert("request-timeout", wait);
        }
        if self.method != Method::GET {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        request
    }
}

/// The bytes of a request on the wire: all that we ask for, with nothing of what hyper may add.
pub(super) fn size(request: &Request<Full<Bytes>>) -> usize {
    let line = request.method().as_str().len() + request.uri().path().len() + " HTTP/1.1\r\n".len() + 1;
    let query = request.uri().query().map_or(0, |q| q.len() + 1);
    let headers: usize = request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let body = request.body().size_hint().exact().unwrap_or(0) as usize;
    line + query + headers + 2 + body
}

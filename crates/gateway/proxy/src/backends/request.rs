//! A client's request as it goes on to backends.

use super::answer::UpstreamProtocol;
use super::upload::Sent;
use super::{Progress, Upload};
use hyper::header::{HeaderMap, CONTENT_LENGTH};
use hyper::{Method, Request, Uri};
use interface::Name;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A client's request as it goes on to backends.
#[derive(Default)]
pub struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    /// All but its length and what the wire's stamp adds to each attempt.
    pub headers: HeaderMap,
    pub body: RefCell<Upload>,
    /// How long the client waits from its last byte on, where that has yet to come; and when it came.
    pub timeout: Option<Duration>,
    pub completed_at: Cell<Option<Instant>>,
    /// Whether it must not run twice, so that what is lost of it is lost for good: it goes out on fresh connections,
    /// and its answer is awaited for as long as its client waits.
    pub at_most_once: bool,
    /// The connections that earlier attempts went out on: no more than there are attempts.
    pub earlier_connections: RefCell<Vec<u64>>,
}

impl Outgoing {
    /// Nothing will be sent again: what is kept for that can go.
    pub fn release(&self) {
        self.body.replace(Upload::Taken);
    }

    pub(super) fn to_backend(
        &self,
        wire: &dyn UpstreamProtocol,
        server: &Name,
        wait: Duration,
        progress: &Rc<Progress>,
    ) -> Request<Sent> {
        let body = self.body.borrow_mut().take(progress);
        let length = body.length();
        let mut request = Request::new(body);
        let wait = self.timeout.unwrap_or(wait);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        wire.set_attempt_headers(headers, wait, server);
        if let Some(length) = length.filter(|_| self.method != Method::GET) {
            headers.insert(CONTENT_LENGTH, length.into());
        }
        let size = head_size(&request);
        let execution_start = wire.execution_start();
        request.body_mut().behind(size, execution_start);
        progress.execution_start.set(execution_start.byte_count(size, length.map(|l| l as usize)));
        request
    }
}

/// The bytes of a request's head on the wire: all that we ask for, with nothing of what hyper may add.
fn head_size(request: &Request<Sent>) -> usize {
    let line = request.method().as_str().len() + request.uri().path().len() + " HTTP/1.1\r\n".len() + 1;
    let query = request.uri().query().map_or(0, |q| q.len() + 1);
    let headers: usize = request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    line + query + headers + 2
}

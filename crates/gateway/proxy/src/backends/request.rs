//! Upstream form of a client's request.

use super::response::UpstreamProtocol;
use super::upload::RequestBody;
use super::{Progress, Upload};
use hyper::header::{HeaderMap, CONTENT_LENGTH};
use hyper::{Method, Request, Uri};
use interface::Name;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Use of a pool by a request. Counted until it is dropped.
#[derive(Debug)]
pub struct PoolUse(Rc<Cell<usize>>);

impl PoolUse {
    /// Adds a use to the pool's count.
    pub fn new(users: Rc<Cell<usize>>) -> Self {
        users.set(users.get() + 1);
        PoolUse(users)
    }
}

impl Drop for PoolUse {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Client's request in the form that is sent to backends.
#[derive(Default)]
pub struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    /// All headers except the length and those that [`UpstreamProtocol::set_attempt_headers`] sets for each attempt.
    pub headers: HeaderMap,
    pub body: RefCell<Upload>,
    /// For a body that is still arriving: how long the client waits after its last byte, and when that byte arrived.
    pub timeout: Option<Duration>,
    pub completed_at: Cell<Option<Instant>>,
    /// Whether the request must not be executed twice, so a lost one cannot be retried. It is sent only on new or recently
    /// used connections, and its response is awaited for as long as the client waits.
    pub at_most_once: bool,
    /// Numbers of the connections that earlier attempts used. Bounded by the number of attempts.
    pub earlier_connections: RefCell<Vec<u64>>,
    /// The request's use of its pool, if pools are counted. It ends with the request and its attempts.
    pub pool_use: Option<PoolUse>,
}

impl Outgoing {
    /// Drops the buffered body when the request will not be sent again.
    pub fn release(&self) {
        self.body.replace(Upload::Taken);
    }

    pub(super) fn build_request(
        &self,
        protocol: &dyn UpstreamProtocol,
        server: &Name,
        wait: Duration,
        progress: &Rc<Progress>,
    ) -> Request<RequestBody> {
        let body = self.body.borrow_mut().take(progress);
        let length = body.length();
        let mut request = Request::new(body);
        let wait = self.timeout.unwrap_or(wait);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        protocol.set_attempt_headers(headers, wait, server);
        if let Some(length) = length.filter(|_| self.method != Method::GET) {
            headers.insert(CONTENT_LENGTH, length.into());
        }
        let head_bytes = head_size(&request);
        let execution_start = protocol.execution_start();
        request.body_mut().set_head_info(head_bytes, execution_start);
        progress.execution_start.set(execution_start.byte_count(head_bytes, length.map(|l| l as usize)));
        request
    }
}

/// Returns the size in bytes of a request on the wire, without headers that hyper may add. None if the length of its body
/// is unknown.
pub(super) fn request_size(request: &Request<RequestBody>) -> Option<usize> {
    let body_bytes = usize::try_from(request.body().length()?).ok()?;
    head_size(request).checked_add(body_bytes)
}

/// Returns the size in bytes of a request's head on the wire, without headers that hyper may add.
fn head_size(request: &Request<RequestBody>) -> usize {
    let line = request.method().as_str().len() + request.uri().path().len() + " HTTP/1.1\r\n".len() + 1;
    let query = request.uri().query().map_or(0, |q| q.len() + 1);
    let headers: usize = request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    line + query + headers + 2
}

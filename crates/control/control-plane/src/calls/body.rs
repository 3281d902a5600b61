//! Request bodies of calls, bounded individually and in total.

use super::{error_response, unavailable, HttpResponse, READ_TIMEOUT};
use crate::driver::Driver;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::timeout;

/// Maximum length of a call's body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Limit on the total bytes of bodies held by this server and the node; a body that would exceed it is refused as
/// temporarily unavailable.
const MAX_HELD_BODY_BYTES: usize = 24 << 20;

/// A call's body. Its bytes count towards the held total until it is dropped.
pub struct Body {
    bytes: Bytes,
    held_bytes: Rc<Cell<usize>>,
    counted_bytes: usize,
}

impl Body {
    /// Reads a whole body.
    ///
    /// # Errors
    /// Returns the error response if the body does not arrive, is too long or would exceed the limit on held bytes.
    pub async fn collect(
        driver: &Driver,
        held_bytes: Rc<Cell<usize>>,
        mut incoming: Incoming,
    ) -> Result<Body, HttpResponse> {
        let mut body = Body { bytes: Bytes::new(), held_bytes, counted_bytes: 0 };
        let mut collected = BytesMut::new();
        loop {
            let frame = match timeout(READ_TIMEOUT, incoming.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => {
                    return Err(error_response(StatusCode::BAD_REQUEST, "it is cut short"));
                }
                Ok(None) => break,
                Err(_) => return Err(error_response(StatusCode::REQUEST_TIMEOUT, "it did not come")),
            };
            let Ok(bytes) = frame.into_data() else { continue };
            if collected.len() + bytes.len() > MAX_BODY_BYTES {
                return Err(error_response(StatusCode::PAYLOAD_TOO_LARGE, "it is too long"));
            }
            let total_held_bytes = body.held_bytes.get() + driver.node().change_body_bytes();
            if total_held_bytes + bytes.len() > MAX_HELD_BODY_BYTES {
                return Err(unavailable());
            }
            body.count(bytes.len());
            collected.extend_from_slice(&bytes);
        }
        body.bytes = collected.freeze();
        Ok(body)
    }

    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    fn count(&mut self, bytes: usize) {
        self.held_bytes.set(self.held_bytes.get() + bytes);
        self.counted_bytes += bytes;
    }

    /// Releases the bytes to the node, which counts them from then on.
    pub fn release(mut self) -> Bytes {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.held_bytes.set(self.held_bytes.get() - self.counted_bytes);
    }
}

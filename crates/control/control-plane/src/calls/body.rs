//! Bodies of calls: bounded each, and all together.

use super::{error_response, unavailable, HttpResponse, READ_TIMEOUT};
use crate::driver::Driver;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::timeout;

/// The largest body of a call.
const MAX_BODY_BYTES: usize = 8 << 20;
/// The most bytes of bodies that are held at once, here and by the node: one more body is told to come later.
const MAX_HELD_BODY_BYTES: usize = 24 << 20;

/// A call's body, counted among all that are held for as long as it is.
pub struct Body {
    bytes: Bytes,
    held: Rc<Cell<usize>>,
    counted: usize,
}

impl Body {
    /// Reads a body whole.
    ///
    /// # Errors
    /// The response, if it did not arrive or there is no room for it.
    pub async fn collect(
        driver: &Driver,
        held: Rc<Cell<usize>>,
        mut incoming: Incoming,
    ) -> Result<Body, HttpResponse> {
        let mut body = Body { bytes: Bytes::new(), held, counted: 0 };
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
            let held_in_all = body.held.get() + driver.node().change_body_bytes();
            if held_in_all + bytes.len() > MAX_HELD_BODY_BYTES {
                return Err(unavailable());
            }
            body.count(bytes.len());
            collected.extend_from_slice(&bytes);
        }
        body.bytes = collected.freeze();
        Ok(body)
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    fn count(&mut self, bytes: usize) {
        self.held.set(self.held.get() + bytes);
        self.counted += bytes;
    }

    /// Counted by the node from now on.
    pub fn release(mut self) -> Bytes {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.counted);
    }
}

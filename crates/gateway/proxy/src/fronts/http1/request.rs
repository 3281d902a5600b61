//! Client request: its recorded head and its body.

use super::{MAX_DISCARDED_BYTES, MIN_BODY_BYTES_PER_SECOND, UPLOAD_READ_TIMEOUT};
use crate::backends::{MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES};
use crate::fronts::Reservation;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming as IncomingBody};
use hyper::StatusCode;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{timeout, timeout_at, Instant};

/// Whether a recorded head contains a Content-Length field.
pub(super) fn states_length(head: &[u8]) -> bool {
    let end = head.windows(2).position(|w| w == b"\n\n");
    let end = head.windows(3).position(|w| w == b"\n\r\n").into_iter().chain(end).min().unwrap_or(head.len());
    let name = b"content-length:";
    head[..end]
        .split(|b| *b == b'\n')
        .any(|line| line.len() >= name.len() && line[..name.len()].eq_ignore_ascii_case(name))
}

/// Pace at which a body must arrive: within `grace` of `start`, plus the time that the bytes received so far take at
/// the minimum rate; and without a pause longer than `grace`.
#[derive(Clone, Copy)]
pub(super) struct Pace {
    pub(super) start: Instant,
    pub(super) grace: Duration,
}

impl Pace {
    /// Returns the deadline for the next bytes, given the number of bytes received.
    fn deadline(self, received_bytes: usize) -> Instant {
        let earned = Duration::from_millis((received_bytes / (MIN_BODY_BYTES_PER_SECOND / 1000)) as u64);
        (Instant::now() + self.grace).min(self.start + self.grace + earned)
    }
}

/// End of a streamed body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Forwarded {
    /// The attempt has received all of it.
    Complete,
    /// The attempt ended first.
    AttemptEnded,
}

/// Reader of a body that is arriving.
pub(super) struct BodyReader {
    body: IncomingBody,
    pace: Pace,
    received_bytes: usize,
}

impl BodyReader {
    pub(super) fn new(body: IncomingBody, pace: Pace) -> Self {
        BodyReader { body, pace, received_bytes: 0 }
    }

    /// Reads the next bytes, or None at the end of the body.
    async fn next_data(&mut self) -> Result<Option<Bytes>, StatusCode> {
        loop {
            let frame = timeout_at(self.pace.deadline(self.received_bytes), self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| StatusCode::REQUEST_TIMEOUT)? else { return Ok(None) };
            let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
            self.received_bytes += data.len();
            if self.received_bytes > MAX_BODY_BYTES {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body if the budget allows, otherwise a first part. Returns whether more is to come.
    pub(super) async fn read(
        &mut self,
        mut reservation: Reservation,
    ) -> Result<(Bytes, Reservation, bool), StatusCode> {
        let stated_length = self.body.size_hint().lower() as usize;
        let mut buffer = BytesMut::with_capacity(stated_length.min(MAX_BUFFERED_RESPONSE_BYTES));
        while let Some(data) = self.next_data().await? {
            buffer.extend_from_slice(&data);
            // Bodies up to this size need no budget: their memory is bounded by the number of descriptors.
            let has_budget = reservation.grow(data.len()) && buffer.len() <= reservation.max();
            if !has_budget && buffer.len() > MAX_BUFFERED_RESPONSE_BYTES {
                return Ok((buffer.freeze(), reservation, true));
            }
        }
        Ok((buffer.freeze(), reservation, false))
    }

    pub(super) fn length(&self) -> Option<u64> {
        // The remaining length and the bytes received so far.
        self.body.size_hint().exact().map(|left| left + self.received_bytes as u64)
    }

    /// Streams the rest of the body, followed by an empty frame. A backend must also read within a time limit. If the
    /// attempt ends first, the rest is discarded, so that the client can read its response.
    pub(super) async fn forward(mut self, to: mpsc::Sender<Bytes>) -> Result<Forwarded, StatusCode> {
        loop {
            let data = self.next_data().await?;
            let is_end = data.is_none();
            let wait_start = Instant::now();
            match timeout(UPLOAD_READ_TIMEOUT, to.send(data.unwrap_or_default())).await {
                Err(_) => return Err(StatusCode::GATEWAY_TIMEOUT),
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    while !is_end && matches!(self.next_data().await, Ok(Some(_))) {}
                    return Ok(Forwarded::AttemptEnded);
                }
            }
            if is_end {
                return Ok(Forwarded::Complete);
            }
            // The time that the backend took is not charged to the client.
            self.pace.start += wait_start.elapsed();
        }
    }
}

/// Discards the rest of a body, so that the client can read its response.
pub(super) async fn discard(mut body: IncomingBody) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

#[cfg(test)]
mod tests;

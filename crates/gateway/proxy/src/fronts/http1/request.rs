//! A client's request: its recorded head, and its body.

use super::{MAX_DISCARD, MIN_BODY_RATE, UPLOAD_READ_TIMEOUT};
use crate::backends::{MAX_BODY, MAX_BUFFERED_ANSWER};
use crate::fronts::Reservation;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming as IncomingBody};
use hyper::StatusCode;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{timeout, timeout_at, Instant};

/// Whether a recorded head states a length.
pub(super) fn states_length(raw: &[u8]) -> bool {
    let end = raw.windows(2).position(|w| w == b"\n\n");
    let end = raw.windows(3).position(|w| w == b"\n\r\n").into_iter().chain(end).min().unwrap_or(raw.len());
    let name = b"content-length:";
    raw[..end]
        .split(|b| *b == b'\n')
        .any(|l| l.len() >= name.len() && l[..name.len()].eq_ignore_ascii_case(name))
}

/// How fast a body must arrive.
#[derive(Clone, Copy)]
pub(super) struct Pace {
    pub(super) start: Instant,
    pub(super) grace: Duration,
}

impl Pace {
    /// When more of it must have arrived, now that `came` bytes have.
    fn until(self, came: usize) -> Instant {
        let earned = Duration::from_millis((came / (MIN_BODY_RATE / 1000)) as u64);
        (Instant::now() + self.grace).min(self.start + self.grace + earned)
    }
}

/// A body that is arriving.
pub(super) struct Coming {
    body: IncomingBody,
    pace: Pace,
    came: usize,
}

impl Coming {
    pub(super) fn new(body: IncomingBody, pace: Pace) -> Self {
        Coming { body, pace, came: 0 }
    }

    /// Its next bytes; none at its end.
    async fn next(&mut self) -> Result<Option<Bytes>, StatusCode> {
        loop {
            let frame = timeout_at(self.pace.until(self.came), self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| StatusCode::REQUEST_TIMEOUT)? else { return Ok(None) };
            let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
            self.came += data.len();
            if self.came > MAX_BODY {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// The whole body within the reservation; or as much as the budget allows, if it stays open.
    pub(super) async fn read(
        &mut self,
        mut part: Reservation,
    ) -> Result<(Bytes, Reservation, bool), StatusCode> {
        let told = self.body.size_hint().lower() as usize;
        let mut came = BytesMut::with_capacity(told.min(MAX_BUFFERED_ANSWER));
        while let Some(data) = self.next().await? {
            came.extend_from_slice(&data);
            // Up to the usual size there is always memory: it is bounded by the descriptors.
            let room = part.grow(data.len()) && came.len() <= part.max();
            if !room && came.len() > MAX_BUFFERED_ANSWER {
                return Ok((came.freeze(), part, true));
            }
        }
        Ok((came.freeze(), part, false))
    }

    pub(super) fn length(&self) -> Option<u64> {
        // What remains of it, and what has arrived.
        self.body.size_hint().exact().map(|left| left + self.came as u64)
    }

    /// Streams the rest; an empty frame marks its end. A backend that does not read has a time limit too.
    pub(super) async fn pass(&mut self, to: &mpsc::Sender<Bytes>) -> Result<(), StatusCode> {
        loop {
            let data = self.next().await?;
            let whole = data.is_none();
            let waits = Instant::now();
            match timeout(UPLOAD_READ_TIMEOUT, to.send(data.unwrap_or_default())).await {
                Err(_) => return Err(StatusCode::GATEWAY_TIMEOUT),
                Ok(Ok(())) => {}
                // The attempt is over, and the answer is on its way.
                Ok(Err(_)) => std::future::pending().await,
            }
            if whole {
                return Ok(());
            }
            // That was the backend's time, not the client's.
            self.pace.start += waits.elapsed();
        }
    }
}

/// Discards what still arrives, so that the client gets to read its answer.
pub(super) async fn discard(mut body: IncomingBody) {
    let mut thrown = 0;
    while let Some(Ok(frame)) = body.frame().await {
        thrown += frame.data_ref().map_or(0, Bytes::len);
        if thrown > MAX_DISCARD {
            return;
        }
    }
}

#[cfg(test)]
mod tests;

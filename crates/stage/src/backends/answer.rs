//! What comes back of an attempt, and what is read out of it.

use super::relay::Stream;
use bytes::Bytes;
use granitehub::{Ending, Load};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use serde::Deserialize;

/// No customer uses so many times its rate, and no server holds so many requests: such figures are noise.
const MAX_USE: f64 = 1e3;
const MAX_LOAD: f64 = 1e6;

/// How an attempt ended and what came back.
pub struct Outcome {
    pub ending: Ending,
    /// The answer of a backend that served the request.
    pub served: Option<Served>,
    /// The status by which a backend found fault with the request itself: no other would take it.
    pub turned: Option<StatusCode>,
    pub settled: f64,
    pub metered: Option<f64>,
    pub load: Option<Load>,
}

/// The bytes of a good answer.
pub enum Content {
    Whole(Bytes),
    /// Still to come.
    Stream(Stream),
}

pub struct Served {
    pub content: Content,
    pub content_type: Option<HeaderValue>,
    pub content_encoding: Option<HeaderValue>,
}

impl Outcome {
    pub fn without_answer(ending: Ending) -> Self {
        Outcome { ending, served: None, turned: None, settled: 0.0, metered: None, load: None }
    }
}

impl Outcome {
    /// Reads an answer. `most_units`: the most that it may bill.
    pub(super) fn read(answer: Response<Content>, most_units: f64) -> Self {
        let (answer, content) = answer.into_parts();
        let headers = &answer.headers;
        let status = answer.status;
        let not_started = headers.get("not-started").is_some_and(|v| v == "1");
        let (ending, turned) = match status.as_u16() {
            200 => (Ending::Pass, None),
            503 | 504 if not_started => (Ending::Full, None),
            400 | 404 => (Ending::Undone, Some(status)),
            _ => (Ending::Fault, None),
        };
        // What can't be right is left out, and the answer counts all the same.
        let number = |name: &str, most: f64| {
            let text = headers.get(name)?.to_str().ok()?;
            text.trim().parse::<f64>().ok().filter(|v| (0.0..=most).contains(v))
        };
        let settled = number("billed-units", most_units);
        let metered = number("usage-percent", 100.0 * MAX_USE);
        let load = headers.get("server-load").and_then(load);
        let served = (ending == Ending::Pass).then(|| Served {
            content_type: headers.get("content-type").cloned(),
            content_encoding: headers.get("content-encoding").cloned(),
            content,
        });
        Outcome {
            ending,
            settled: settled.filter(|_| served.is_some()).unwrap_or(0.0),
            metered: metered.map(|percent| percent / 100.0),
            load,
            served,
            turned,
        }
    }
}

fn load(report: &HeaderValue) -> Option<Load> {
    #[derive(Deserialize)]
    struct Report {
        inflight: Option<f64>,
        queue: Option<f64>,
        latency_ms: Option<f64>,
    }
    let r: Report = serde_json::from_slice(report.as_bytes()).ok()?;
    let sound = |figure: Option<f64>| figure.filter(|v| (0.0..=MAX_LOAD).contains(v));
    Some(Load { inflight: sound(r.inflight), queue: sound(r.queue), latency_ms: sound(r.latency_ms) })
}

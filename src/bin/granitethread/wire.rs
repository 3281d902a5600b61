//! How this gateway's backends are spoken to.

use granitehub::{Ending, Load, Name};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING, CONTENT_TYPE};
use hyper::Response;
use proxy::backends::{Content, Outcome, Outgoing, Served, UpstreamProtocol};
use serde::Deserialize;
use std::time::Duration;

/// No customer uses so many times its rate, and no server holds so many requests: such figures are noise.
const MAX_USE: f64 = 1e3;
const MAX_LOAD: f64 = 1e6;

/// How requests and answers look between the gateway and its backends.
pub struct Backward {
    /// The most units that an answer may bill.
    pub most_units: f64,
}

impl UpstreamProtocol for Backward {
    fn set_attempt_headers(&self, headers: &mut HeaderMap, wait: Duration, _: &Name) {
        if let Ok(wait) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
            headers.insert("request-timeout", wait);
        }
    }

    fn read(&self, _: &Outgoing, _: &Name, answer: Response<Content>) -> Outcome {
        let (answer, content) = answer.into_parts();
        let headers = &answer.headers;
        let status = answer.status;
        let not_started = headers.get("not-started").is_some_and(|v| v == "1");
        let (ending, turned) = match status.as_u16() {
            200 => (Ending::Success, None),
            503 | 504 if not_started => (Ending::Overloaded, None),
            400 | 404 => (Ending::Cancelled, Some(status)),
            _ => (Ending::Failure, None),
        };
        // What can't be right is left out, and the answer counts all the same.
        let number = |name: &str, most: f64| {
            let text = headers.get(name)?.to_str().ok()?;
            text.trim().parse::<f64>().ok().filter(|v| (0.0..=most).contains(v))
        };
        let settled = number("billed-units", self.most_units);
        let metered = number("usage-percent", 100.0 * MAX_USE);
        let load = headers.get("server-load").and_then(load);
        let served = (ending == Ending::Success).then(|| {
            let kept = [CONTENT_TYPE, CONTENT_ENCODING].into_iter();
            let kept = kept.filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
            Served { status, headers: kept.collect(), content }
        });
        Outcome {
            ending,
            settled: settled.filter(|_| served.is_some()).unwrap_or(0.0),
            metered: metered.map(|percent| percent / 100.0),
            load,
            served,
            failure: None,
            rejected: turned,
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

#[cfg(test)]
mod tests;

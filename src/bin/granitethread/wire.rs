//! Protocol between this gateway and its backends: the headers of attempts and of answers.

use granitehub::{Ending, Load, Name};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING, CONTENT_TYPE};
use hyper::Response;
use proxy::backends::{Content, Outcome, Outgoing, Served, UpstreamProtocol};
use serde::Deserialize;
use std::time::Duration;

/// Larger values are discarded as noise: no customer uses this many times its rate, and no server holds this many requests.
const MAX_USAGE: f64 = 1e3;
const MAX_LOAD: f64 = 1e6;

/// Translates requests and answers between the gateway and its backends.
pub struct BackendProtocol {
    /// Maximum number of units that an answer may bill.
    pub max_units: f64,
}

impl UpstreamProtocol for BackendProtocol {
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
        let (ending, rejection) = match status.as_u16() {
            200 => (Ending::Success, None),
            503 | 504 if not_started => (Ending::Overloaded, None),
            400 | 404 => (Ending::Cancelled, Some(status)),
            _ => (Ending::Failure, None),
        };
        // Implausible values are ignored; the answer itself still counts.
        let number = |name: &str, max: f64| {
            let text = headers.get(name)?.to_str().ok()?;
            text.trim().parse::<f64>().ok().filter(|v| (0.0..=max).contains(v))
        };
        let settled = number("billed-units", self.max_units);
        let metered = number("usage-percent", 100.0 * MAX_USAGE);
        let load = headers.get("server-load").and_then(load);
        let served = (ending == Ending::Success).then(|| {
            let headers_kept = [CONTENT_TYPE, CONTENT_ENCODING].into_iter();
            let headers_kept =
                headers_kept.filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
            Served { status, headers: headers_kept.collect(), content }
        });
        Outcome {
            ending,
            settled: settled.filter(|_| served.is_some()).unwrap_or(0.0),
            metered: metered.map(|percent| percent / 100.0),
            load,
            served,
            failure: None,
            rejected: rejection,
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
    let plausible = |value: Option<f64>| value.filter(|v| (0.0..=MAX_LOAD).contains(v));
    Some(Load {
        inflight: plausible(r.inflight),
        queue: plausible(r.queue),
        latency_ms: plausible(r.latency_ms),
    })
}

#[cfg(test)]
mod tests;

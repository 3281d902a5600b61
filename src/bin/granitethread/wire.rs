//! How this gateway's backends are spoken to.

use granitehub::{Ending, Load, Name};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING, CONTENT_TYPE};
use hyper::Response;
use proxy::backends::{Content, Outcome, Outgoing, Served, Wire};
use serde::Deserialize;
use std::time::Duration;

/// No customer uses so many times its rate, and no server holds so many requests: such figures are noise.
const MAX_USE: f64 = 1e3;
const MAX_LOAD: f64 = 1e6;

pub struct Backward {
    /// The most units that an answer may bill.
    pub most_units: f64,
}

impl Wire for Backward {
    fn stamp(&self, headers: &mut HeaderMap, wait: Duration, _: &Name) {
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
        let settled = number("billed-units", self.most_units);
        let metered = number("usage-percent", 100.0 * MAX_USE);
        let load = headers.get("server-load").and_then(load);
        let served = (ending == Ending::Pass).then(|| {
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

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;
    use hyper::{Method, Uri};
    use proxy::backends::Upload;
    use std::cell::RefCell;

    /// The header is the simulator's figure less 1, in percent; units are the true ones.
    #[test]
    fn the_meter_and_the_bill_reach_the_module_in_its_units() {
        let request = Outgoing {
            method: Method::GET,
            uri: Uri::from_static("/api"),
            headers: HeaderMap::new(),
            body: RefCell::new(Upload::None),
            ..Outgoing::default()
        };
        let answer = |status: u16| {
            let answer = Response::builder().status(status).header("usage-percent", "85");
            let answer =
                answer.header("billed-units", "3").body(Content::Whole(Bytes::from_static(b"x"))).unwrap();
            Backward { most_units: 8.0 }.read(&request, &"s".into(), answer)
        };
        let good = answer(200);
        assert_eq!((good.metered, good.settled, good.ending), (Some(0.85), 3.0, Ending::Pass));
        let bad = answer(500);
        assert_eq!((bad.metered, bad.settled, bad.ending), (Some(0.85), 0.0, Ending::Fault));
        assert!(bad.served.is_none());
    }
}

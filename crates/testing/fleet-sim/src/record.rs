//! Measurements of a run beside its counters: latencies, work by server, and one entry per second.

use hdrhistogram::Histogram;
use interface::Time;
use serde::{Deserialize, Serialize};

/// Histogram limit: latencies up to one minute in microseconds, with three significant digits.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Quantiles at which a latency distribution is written out.
pub const QUANTILES: [f64; 15] =
    [0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0];

/// Tries counted in one second of simulated time: those that started, and those served, refused or
/// failed, which may have started earlier. Other outcomes are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    pub asked: u64,
    pub served_in_aim: u64,
    pub served_late: u64,
    pub refused: u64,
    pub failed: u64,
}

/// Measurements of one run.
#[derive(Clone, Debug)]
pub struct Record {
    /// Time from a request's first try to its response, of requests served, in microseconds.
    pub latency: Histogram<u64>,
    /// Work of all jobs that each server started during the run, finished or not, in nanoseconds of a warm
    /// core.
    pub work: Vec<f64>,
    pub seconds: Vec<Second>,
}

impl Default for Record {
    fn default() -> Self {
        Record::new(0)
    }
}

impl Record {
    pub fn new(servers: usize) -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("these bounds are sound");
        Record { latency, work: vec![0.0; servers], seconds: Vec::new() }
    }

    /// Returns the entry for the second that contains `now`; adds it and those missing before it.
    pub fn second(&mut self, now: Time) -> &mut Second {
        let n = (now / 1_000_000_000) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, Second::default());
        }
        &mut self.seconds[n]
    }

    /// Records a request served.
    pub fn served(&mut self, now: Time, took: Time, in_aim: bool) {
        self.latency.saturating_record(took / 1000);
        let second = self.second(now);
        if in_aim {
            second.served_in_aim += 1;
        } else {
            second.served_late += 1;
        }
    }

    /// Returns the busiest server's work divided by the mean of all servers; 0 if no work was done.
    pub fn spread(&self) -> f64 {
        let sum: f64 = self.work.iter().sum();
        let busiest = self.work.iter().fold(0.0, |a: f64, b| a.max(*b));
        if sum > 0.0 {
            busiest * self.work.len() as f64 / sum
        } else {
            0.0
        }
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub fn quantile(&self, q: f64) -> f64 {
        self.latency.value_at_quantile(q) as f64 / 1000.0
    }
}

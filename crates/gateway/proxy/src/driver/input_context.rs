//! Data that accompanies an input of the engine.

use super::Answer;
use crate::backends::Served;
use engine::FinalAnswer;
use hyper::StatusCode;
use plan::message::Report;
use std::time::Duration;

/// Data of an input that the engine does not need, and results of its outputs.
#[derive(Default)]
pub(super) struct InputContext {
    pub(super) served: Option<Served>,
    pub(super) rejected: Option<StatusCode>,
    /// Reason for a failure of discovery.
    pub(super) discovery_failure: Option<String>,
    pub(super) reports: Vec<(usize, Report)>,
}

impl InputContext {
    /// Returns the answer for the client. None if the response to pass on is not there.
    pub(super) fn answer(&mut self, answer: FinalAnswer, failure: Option<Served>) -> Option<Answer> {
        match answer {
            FinalAnswer::Served => self.served.take().map(Answer::Served),
            FinalAnswer::Rejected => self.rejected.map(Answer::Rejected),
            FinalAnswer::Refused { tried, advice } => {
                Some(Answer::Refused { tried, retry_after: Duration::from_nanos(advice) })
            }
            FinalAnswer::Failed { late } => Some(failure.map_or(Answer::Failed { late }, Answer::Served)),
        }
    }
}

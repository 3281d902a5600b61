//! Operators: each has an order or a read under way, sends it again until it is answered, at times long after, and
//! through whichever machine.

use crate::change_history::{Change, Reply, Request};
use crate::{Time, MS};
use configuration::Version;
use fastrand::Rng;

/// A caller goes on to another machine after so much silence.
pub const CALL_TIMEOUT: Time = 1000 * MS;
/// A caller follows so many answers that name another machine.
const HOPS: u32 = 2;
/// Of what was sent so many are remembered, to be sent again.
const REMEMBERED: usize = 400;

pub struct PendingRequest {
    pub request: Request,
    pub began: Time,
    /// The try that is under way; answers to others are nobody's.
    pub call: u64,
    pub attempts: u32,
    hops: u32,
    /// The machines that are still to be tried.
    line: Vec<usize>,
}

pub struct Operator {
    /// The newest that it knows of.
    pub base: Version,
    pub job: Option<PendingRequest>,
    /// What it sent: for certain taken, or nothing is known of it.
    sent: Vec<Change>,
    reads_next: bool,
    /// It gives up after so many tries.
    max_attempts: u32,
}

/// What an operator does now.
pub enum Next {
    /// Sends its call to this machine.
    Send(usize),
    /// Pauses, then sends it to another.
    Pause(Time),
    /// Has done with it.
    Ended,
}

impl Operator {
    pub fn new(rng: &mut Rng) -> Self {
        Operator { base: 0, job: None, sent: Vec::new(), reads_next: false, max_attempts: rng.u32(4..60) }
    }

    /// What it wants next. `nonce`: new; `acknowledged`: the newest that anybody was told of.
    pub fn start_request(&mut self, rng: &mut Rng, now: Time, nonce: u64, bytes: u32, acknowledged: Version) {
        let reads = std::mem::take(&mut self.reads_next);
        let ask = match rng.u8(..10) {
            _ if reads => Request::Read(acknowledged),
            0 => Request::Read(acknowledged),
            1 if !self.sent.is_empty() => {
                // Mostly one of late.
                let most = if rng.bool() { self.sent.len() } else { self.sent.len().min(3) };
                Request::Replace(self.sent[self.sent.len() - 1 - rng.usize(..most)])
            }
            _ => {
                let version = self.base + 1 + rng.u32(..2);
                let alike = rng.bool();
                Request::Replace(Change { base: self.base, version, nonce, bytes, alike })
            }
        };
        self.job = Some(PendingRequest {
            request: ask,
            began: now,
            call: 0,
            attempts: 0,
            hops: 0,
            line: Vec::new(),
        });
    }

    /// The next machine of the list, in an order of its own; a new try.
    pub fn next(&mut self, rng: &mut Rng, call: u64, listed: &[usize]) -> Option<usize> {
        let job = self.job.as_mut()?;
        if job.line.is_empty() {
            job.line = listed.to_vec();
            rng.shuffle(&mut job.line);
        }
        (job.call, job.hops) = (call, 0);
        job.attempts += 1;
        job.line.pop()
    }

    /// A try was answered, or not at all.
    pub fn on_reply(&mut self, reply: Option<&Reply>, place: impl Fn(&str) -> usize) -> Next {
        let Some(job) = &mut self.job else { return Next::Ended };
        let pause = Next::Pause(((50 * MS) << job.attempts.min(4)).min(500 * MS));
        match (reply, &job.request) {
            (Some(Reply::Redirect(name)), _) if job.hops < HOPS => {
                job.hops += 1;
                return Next::Send(place(name));
            }
            (None | Some(Reply::Redirect(_) | Reply::Unavailable), ask) => {
                if job.attempts < self.max_attempts {
                    return pause;
                }
                // Nothing is known of it; it may be sent again some day.
                if let Request::Replace(order) = *ask {
                    self.remember(order);
                    self.reads_next = true;
                }
            }
            (Some(Reply::Acknowledged), Request::Replace(order)) => {
                let order = *order;
                self.base = self.base.max(order.version);
                self.remember(order);
            }
            (Some(Reply::Current(held)), _) => self.base = held.as_ref().map_or(0, |(v, _)| *v),
            (Some(Reply::Conflict | Reply::Invalid | Reply::Acknowledged), _) => self.reads_next = true,
        }
        self.job = None;
        Next::Ended
    }

    fn remember(&mut self, order: Change) {
        if !self.sent.contains(&order) {
            self.sent.push(order);
        }
        if self.sent.len() > REMEMBERED {
            self.sent.remove(0);
        }
    }
}

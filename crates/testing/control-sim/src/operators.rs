//! Operators: each has one change or read in progress and retries it through any machine until it is answered; some
//! changes are sent again long afterwards.

use crate::change_history::{Change, Reply, Request};
use crate::{Time, MS};
use configuration::Version;
use fastrand::Rng;

/// Time without an answer after which a caller tries another machine.
pub const CALL_TIMEOUT: Time = 1000 * MS;
/// Maximum number of redirects that a caller follows in a row.
const MAX_REDIRECTS: u32 = 2;
/// Maximum number of sent changes that are remembered to be sent again.
const MAX_REMEMBERED: usize = 400;

/// A request that is retried until it is answered.
pub struct PendingRequest {
    pub request: Request,
    pub began_at: Time,
    /// The current attempt; answers to other attempts are ignored.
    pub call: u64,
    pub attempts: u32,
    redirects: u32,
    /// The machines that are still to be tried.
    untried: Vec<usize>,
}

/// An operator and the request that it has in progress.
pub struct Operator {
    /// The newest version that it knows of.
    pub base: Version,
    pub pending: Option<PendingRequest>,
    /// Changes that it sent: acknowledged, or of unknown outcome.
    sent: Vec<Change>,
    read_next: bool,
    /// Number of attempts after which it gives up.
    max_attempts: u32,
}

/// The next action of an operator.
pub enum Next {
    /// Send the call to this machine.
    Send(usize),
    /// Pause, then send it to another machine.
    Pause(Time),
    /// The request is finished.
    Ended,
}

impl Operator {
    pub fn new(rng: &mut Rng) -> Self {
        Operator { base: 0, pending: None, sent: Vec::new(), read_next: false, max_attempts: rng.u32(4..60) }
    }

    /// Starts the next request. `nonce` is unused so far; `acknowledged` is the newest version acknowledged to
    /// anybody.
    pub fn start_request(&mut self, rng: &mut Rng, now: Time, nonce: u64, bytes: u32, acknowledged: Version) {
        let must_read = std::mem::take(&mut self.read_next);
        let request = match rng.u8(..10) {
            _ if must_read => Request::Read(acknowledged),
            0 => Request::Read(acknowledged),
            1 if !self.sent.is_empty() => {
                // Mostly a recent one.
                let candidates = if rng.bool() { self.sent.len() } else { self.sent.len().min(3) };
                Request::Replace(self.sent[self.sent.len() - 1 - rng.usize(..candidates)])
            }
            _ => {
                let version = self.base + 1 + rng.u32(..2);
                let alike = rng.bool();
                Request::Replace(Change { base: self.base, version, nonce, bytes, alike })
            }
        };
        self.pending = Some(PendingRequest {
            request,
            began_at: now,
            call: 0,
            attempts: 0,
            redirects: 0,
            untried: Vec::new(),
        });
    }

    /// Starts a new attempt: returns the next machine of the list, in a shuffled order.
    pub fn next(&mut self, rng: &mut Rng, call: u64, listed: &[usize]) -> Option<usize> {
        let pending = self.pending.as_mut()?;
        if pending.untried.is_empty() {
            pending.untried = listed.to_vec();
            rng.shuffle(&mut pending.untried);
        }
        (pending.call, pending.redirects) = (call, 0);
        pending.attempts += 1;
        pending.untried.pop()
    }

    /// Processes the answer to an attempt, or its absence.
    pub fn on_reply(&mut self, reply: Option<&Reply>, machine_index: impl Fn(&str) -> usize) -> Next {
        let Some(pending) = &mut self.pending else { return Next::Ended };
        let pause = Next::Pause(((50 * MS) << pending.attempts.min(4)).min(500 * MS));
        match (reply, &pending.request) {
            (Some(Reply::Redirect(name)), _) if pending.redirects < MAX_REDIRECTS => {
                pending.redirects += 1;
                return Next::Send(machine_index(name));
            }
            (None | Some(Reply::Redirect(_) | Reply::Unavailable), request) => {
                if pending.attempts < self.max_attempts {
                    return pause;
                }
                // The outcome is unknown; the change may be sent again later.
                if let Request::Replace(change) = *request {
                    self.remember(change);
                    self.read_next = true;
                }
            }
            (Some(Reply::Acknowledged), Request::Replace(change)) => {
                let change = *change;
                self.base = self.base.max(change.version);
                self.remember(change);
            }
            (Some(Reply::Current(current)), _) => self.base = current.as_ref().map_or(0, |(v, _)| *v),
            (Some(Reply::Conflict | Reply::Invalid | Reply::Acknowledged), _) => self.read_next = true,
        }
        self.pending = None;
        Next::Ended
    }

    fn remember(&mut self, change: Change) {
        if !self.sent.contains(&change) {
            self.sent.push(change);
        }
        if self.sent.len() > MAX_REMEMBERED {
            self.sent.remove(0);
        }
    }
}

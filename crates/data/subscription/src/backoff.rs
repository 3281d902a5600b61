//! Back-off of control nodes to which a connection failed.

use crate::{Time, MS};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A connection that lasted this long resets the node's failure count.
const STABLE_CONNECTION: Time = 2000 * MS;
/// A failure this long after the end of the last back-off starts a new sequence of failures: an election each minute
/// is no sign of a failing node.
const FAILURE_MEMORY: Time = 10_000 * MS;
/// Maximum number of times that the back-off of a node is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The back-off of one node.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    since: Time,
    until: Time,
    consecutive_failures: u32,
    /// The connection timed out. The cause may have been the isolation of this gateway, unless the node was retried
    /// since.
    timed_out: bool,
    retried: bool,
    /// The latest attempt timed out, whatever the cause.
    timed_out_last: bool,
}

/// The control nodes to which a connection failed, also those whose back-off has ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs(BTreeMap<IpAddr, Backoff>);

impl Backoffs {
    /// Removes all nodes except the given ones.
    pub fn retain(&mut self, nodes: &BTreeSet<IpAddr>) {
        self.0.retain(|ip, _| nodes.contains(ip));
    }

    /// Returns whether a node is in back-off.
    pub fn is_backed_off(&self, ip: &IpAddr, now: Time) -> bool {
        self.0.get(ip).is_some_and(|backoff| backoff.until > now)
    }

    /// Returns whether the latest attempt to connect to a node timed out.
    pub fn timed_out_last(&self, ip: &IpAddr) -> bool {
        self.0.get(ip).is_some_and(|backoff| backoff.timed_out_last)
    }

    /// Returns when a connection to a node last failed. `None` sorts first.
    pub fn since(&self, ip: &IpAddr) -> Option<Time> {
        self.0.get(ip).map(|backoff| backoff.since)
    }

    /// Records the failure of a connection that was opened at `started`. The back-off restarts at `delay` if the
    /// connection was stable or the last failure was long ago; otherwise it doubles with each failure in a row.
    pub fn on_failure(&mut self, now: Time, ip: IpAddr, started: Time, delay: Time, timed_out: bool) {
        let existing = self.0.get(&ip);
        let was_stable = now.saturating_sub(started) >= STABLE_CONNECTION;
        let previous = existing.filter(|backoff| !was_stable && now < backoff.until + FAILURE_MEMORY);
        let failures = previous.map_or(0, |backoff| backoff.consecutive_failures);
        let retried = existing.is_some_and(|backoff| backoff.retried);
        let backoff = Backoff {
            since: now,
            until: now + (delay << failures.min(MAX_BACKOFF_DOUBLINGS)),
            consecutive_failures: failures + 1,
            timed_out: timed_out && !retried,
            retried,
            timed_out_last: timed_out,
        };
        self.0.insert(ip, backoff);
    }

    /// Allows nodes that time out from now on to be retried once more: this gateway may have been isolated again.
    pub fn allow_retries(&mut self) {
        self.0.values_mut().for_each(|backoff| backoff.retried = false);
    }

    /// Ends the back-off of nodes that timed out before `connected`, once for each: they may have been up while this
    /// gateway was isolated.
    pub fn retry_timed_out(&mut self, now: Time, connected: Time) {
        let timed_out = |backoff: &&mut Backoff| backoff.timed_out && backoff.since < connected;
        for backoff in self.0.values_mut().filter(timed_out) {
            backoff.until = now;
            backoff.timed_out = false;
            backoff.retried = true;
        }
    }

    /// Returns the nodes in back-off.
    pub fn backed_off(&self, now: Time) -> impl Iterator<Item = IpAddr> + '_ {
        self.0.iter().filter(move |(_, backoff)| backoff.until > now).map(|(ip, _)| *ip)
    }

    /// Ends the back-off of a node.
    pub fn end(&mut self, now: Time, ip: &IpAddr) {
        if let Some(backoff) = self.0.get_mut(ip) {
            backoff.until = backoff.until.min(now);
        }
    }
}

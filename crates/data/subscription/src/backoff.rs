//! Control nodes that are not tried for a while, because a connection to them failed.

use crate::{Time, MS};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A connection that lasted so long did well.
const STABLE_CONNECTION: Time = 2000 * MS;
/// A failure this long after the last back-off ended is not in a row with it: an election each minute says nothing of a node.
const FAILURE_MEMORY: Time = 10_000 * MS;
/// How often the time for which a node is not tried is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// A node that is not tried for a while.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    since: Time,
    until: Time,
    failures_in_a_row: u32,
    /// It did not answer at all: that may have been this gateway's fault, unless it was retried since.
    timed_out: bool,
    retried: bool,
}

/// The nodes that are not tried for a while.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs(BTreeMap<IpAddr, Backoff>);

impl Backoffs {
    /// Forgets nodes that are not among these.
    pub fn retain(&mut self, nodes: &BTreeSet<IpAddr>) {
        self.0.retain(|ip, _| nodes.contains(ip));
    }

    /// Whether a node is not to be tried now.
    pub fn is_backed_off(&self, ip: &IpAddr, now: Time) -> bool {
        self.0.get(ip).is_some_and(|backoff| backoff.until > now)
    }

    /// When a node was last tried in vain; none sorts first.
    pub fn since(&self, ip: &IpAddr) -> Option<Time> {
        self.0.get(ip).map(|backoff| backoff.since)
    }

    /// A connection that was begun at `started` has failed. A node that did well for a while, or was not tried for long,
    /// begins anew; one that fails again and again is left alone for longer.
    pub fn on_failure(&mut self, now: Time, ip: IpAddr, started: Time, delay: Time, timed_out: bool) {
        let before = self.0.get(&ip);
        let did_well = now.saturating_sub(started) >= STABLE_CONNECTION;
        let in_a_row = before.filter(|backoff| !did_well && now < backoff.until + FAILURE_MEMORY);
        let failures = in_a_row.map_or(0, |backoff| backoff.failures_in_a_row);
        let retried = before.is_some_and(|backoff| backoff.retried);
        let backoff = Backoff {
            since: now,
            until: now + (delay << failures.min(MAX_BACKOFF_DOUBLINGS)),
            failures_in_a_row: failures + 1,
            timed_out: timed_out && !retried,
            retried,
        };
        self.0.insert(ip, backoff);
    }

    /// This gateway may have been isolated anew: nodes that time out from now on may be retried again.
    pub fn allow_retries(&mut self) {
        self.0.values_mut().for_each(|backoff| backoff.retried = false);
    }

    /// Nodes that timed out before `connected` may have been there, and this gateway isolated: each is tried once more.
    pub fn retry_timed_out(&mut self, now: Time, connected: Time) {
        let timed_out = |backoff: &&mut Backoff| backoff.timed_out && backoff.since < connected;
        for backoff in self.0.values_mut().filter(timed_out) {
            backoff.until = now;
            backoff.timed_out = false;
            backoff.retried = true;
        }
    }

    /// The nodes that are not to be tried now.
    pub fn backed_off(&self, now: Time) -> impl Iterator<Item = IpAddr> + '_ {
        self.0.iter().filter(move |(_, backoff)| backoff.until > now).map(|(ip, _)| *ip)
    }

    /// A node may be tried from now on.
    pub fn end(&mut self, now: Time, ip: &IpAddr) {
        if let Some(backoff) = self.0.get_mut(ip) {
            backoff.until = backoff.until.min(now);
        }
    }
}

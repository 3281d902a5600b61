//! The rules that are checked after each step.

use crate::{trial_configuration, Time};
use control_state::{Command, LogIndex};
use quota::{TrialPace, PHASE_GAP, PHASE_NOTICE, REQUEST_INTERVAL};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use trial::UnixMillis;

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Two nodes have different entries at the same index of the committed log.
    Agreed(LogIndex),
    /// A node applied an index out of order.
    Order(LogIndex),
    /// A read missed a configuration that was acknowledged before the read was sent.
    Stale { read: u32, acknowledged: u32 },
    /// Two changes with the same base version were both acknowledged.
    Twice(u32),
    /// The drain of this backend was acknowledged but not committed, or a read sent after its acknowledgement does not
    /// know of it.
    Drain(String),
    /// Two quota coordinators are active at the same time.
    TwoLend(u64, u64),
    /// More of a tenant's requests passed within five seconds than its limit allows.
    Quota { passed: u32, most: f64 },
    /// A gateway that is not isolated refused a tenant because of its pace within 100 ms of another gateway passing it
    /// at full speed.
    Both { refuses: usize, full: usize },
    /// A tenant passed at full speed this long after its trial was committed as expired, in ms.
    Full { after: u64 },
    /// More throttled requests passed within five seconds than the tenant's pace allows.
    Pace { passed: u32, most: f64 },
    /// A trial was expired this many ms before its end.
    TooEarly { by: u64 },
    /// A trial's end is long past, and it has not been expired.
    NeverOver,
    /// A node that could hear all others for a second lacks a configuration acknowledged before.
    Behind(String),
    /// A change was acknowledged that is not committed.
    NotAgreed(u32),
    /// Two changes with the same version were both acknowledged, or a read returned other bytes for an acknowledged
    /// version.
    Number(u32),
    /// A committed change was refused when it was sent again.
    RefusedThoughTaken(u32),
    /// A refused change was committed later.
    TakenThoughRefused(u32),
    /// A valid change based on the current configuration was refused.
    RefusedOnNewest(u32),
    /// A node without a path to a majority for a long time acknowledged or refused a change, or answered a read.
    DecidedAlone(usize),
    /// So many messages are in flight at once, without end.
    Flood(usize),
    /// A node claims a contact with a majority that is later than any that it can have heard of.
    SaysInTouch(usize),
    /// A gateway that considers its view fresh has an old configuration.
    ServedOld { gateway: usize, version: u32, acknowledged: u32 },
    /// A gateway whose view is as of a time after a drain's acknowledgement still sends that backend new work.
    DrainUnknown { gateway: usize, id: String },
    /// A gateway was told that a backend has ended whose heartbeats were acknowledged throughout.
    EndedAlive { gateway: usize, id: String },
    /// A gateway does not know a backend whose heartbeats were acknowledged throughout, after a long calm period.
    LifeUnknown { gateway: usize, id: String },
    /// A gateway lacks a configuration that was acknowledged long ago, in a calm period.
    GatewayBehind { gateway: usize, version: u32, acknowledged: u32 },
    /// A removed gateway may still use its fallback share, which now belongs to the others.
    ShareTwice { gateway: usize },
    /// A request was not answered though the control plane was settled for a long time.
    NotAnswered(String),
    /// All machines have been back for a long time, and the voters are not the machines that exist.
    NotRepaired(String),
    /// No call of an operator had a definite answer throughout the calm period at the end.
    Stuck,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The window of the limit and the excess that it tolerates: the operators' own figures.
const WINDOW: Time = 5_000_000_000;
const OVERSHOOT: f64 = 0.1;
const SLACK_REQUESTS: f64 = 20.0;
/// Maximum deviation from true time of a clock that does not jump, in ms, with a small margin.
const MAX_CLOCK_SKEW_MS: u64 = 60;
/// Maximum delay between the committed expiry of a trial and its effect: the notice before a phase change, behind that
/// of a preceding change still in progress; a gateway learns of each with the answer to its next request.
const MAX_FULL_SPEED_DELAY: Time = 2 * (PHASE_NOTICE + REQUEST_INTERVAL);

/// Everything observed so far.
#[derive(Debug, Default)]
pub struct Observations {
    committed: BTreeMap<LogIndex, Vec<u8>>,
    /// Acknowledged configurations: base version by version.
    acknowledged_bases: BTreeMap<u32, u32>,
    drains: BTreeSet<String>,
    passed: VecDeque<Time>,
    trial_tenant: TrialObservations,
    pub acknowledged: u32,
    pub reads: u32,
    pub hot_passed: u32,
}

impl Observations {
    pub fn applied(&mut self, now: Time, index: LogIndex, command: &[u8]) -> Result<(), Violation> {
        let is_first = !self.committed.contains_key(&index);
        let known = self.committed.entry(index).or_insert_with(|| command.to_vec());
        if known != command {
            return Err(Violation::Agreed(index));
        }
        match Command::decode(command).filter(|_| is_first) {
            Some(Command::ExpireTrial { ends_at, .. }) => self.trial_tenant.expire(now, ends_at),
            Some(Command::ReplaceConfiguration { base, version, body })
                if base == self.trial_tenant.version =>
            {
                self.trial_tenant.version = version;
                self.trial_tenant.set_end(now, trial_configuration::trial_end(&body));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    pub fn newest(&self) -> u32 {
        self.acknowledged_bases.last_key_value().map_or(0, |(v, _)| *v)
    }

    pub fn drains(&self) -> BTreeSet<String> {
        self.drains.clone()
    }

    pub fn acknowledge(&mut self, command: &Command) -> Result<(), Violation> {
        self.acknowledged += 1;
        match command {
            Command::ReplaceConfiguration { base, version, .. }
            | Command::ConfigurationDelta { base, version, .. } => {
                let has_sibling = self.acknowledged_bases.iter().any(|(v, b)| b == base && v != version);
                self.acknowledged_bases.insert(*version, *base);
                if has_sibling {
                    return Err(Violation::Twice(*base));
                }
            }
            Command::Drain { instance } => drop(self.drains.insert(instance.clone())),
            Command::AddGateway { .. } | Command::RemoveGateway { .. } | Command::ExpireTrial { .. } => {}
        }
        Ok(())
    }

    /// Checks a read that was sent when `acknowledged` and `drains` were known.
    pub fn read(
        &mut self,
        read: u32,
        acknowledged: u32,
        knows: impl Fn(&str) -> bool,
        drains: &BTreeSet<String>,
    ) -> Result<(), Violation> {
        self.reads += 1;
        if read < acknowledged {
            return Err(Violation::Stale { read, acknowledged });
        }
        match drains.iter().find(|d| !knows(d)) {
            Some(missing) => Err(Violation::Drain(missing.clone())),
            None => Ok(()),
        }
    }

    /// Records a request of the hot tenant that passed.
    pub fn pass(&mut self, now: Time, rate: f64, burst: f64) -> Result<(), Violation> {
        self.hot_passed += 1;
        check_quota(&mut self.passed, now, rate, burst)
    }

    // ---- The trial tenant ----

    /// Records a request of the trial tenant that passed this gateway at full speed.
    pub fn pass_full_speed(
        &mut self,
        now: Time,
        gateway: usize,
        rate: f64,
        burst: f64,
    ) -> Result<(), Violation> {
        let trial = &mut self.trial_tenant;
        trial.counts.0 += 1;
        let is_conflicting = |(other, at): &&(usize, Time)| *other != gateway && now - at < PHASE_GAP;
        if let Some((refuses, _)) = trial.refused.iter().find(is_conflicting) {
            return Err(Violation::Both { refuses: *refuses, full: gateway });
        }
        let after = trial.expired_at.map_or(0, |since| now.saturating_sub(since));
        if after > MAX_FULL_SPEED_DELAY {
            return Err(Violation::Full { after: after / 1_000_000 });
        }
        record(&mut trial.full, now, gateway);
        check_quota(&mut trial.passed, now, rate, burst)
    }

    /// Records a request of the trial tenant that was refused because of its pace.
    pub fn refuse_throttled(
        &mut self,
        now: Time,
        gateway: usize,
        is_in_contact: bool,
    ) -> Result<(), Violation> {
        let trial = &mut self.trial_tenant;
        trial.counts.2 += 1;
        if !is_in_contact {
            return Ok(());
        }
        if let Some((full, _)) =
            trial.full.iter().find(|(other, at)| *other != gateway && now - at < PHASE_GAP)
        {
            return Err(Violation::Both { refuses: gateway, full: *full });
        }
        record(&mut trial.refused, now, gateway);
        Ok(())
    }

    /// Records a throttled request of the trial tenant that was admitted in its turn.
    pub fn pass_throttled(&mut self, now: Time, pace: TrialPace) -> Result<(), Violation> {
        let trial = &mut self.trial_tenant;
        trial.counts.1 += 1;
        let passed = count_in_window(&mut trial.paced, now);
        // Twice the maximum wait, as promised; a fifth of a second for each change of coordinator; and an allowance
        // for isolated gateways.
        let span = (WINDOW + 2 * pace.max_wait) as f64 / 1e9;
        let most = pace.rate * (span + 1.0) + 6.0;
        if f64::from(passed) > most {
            return Err(Violation::Pace { passed, most });
        }
        Ok(())
    }

    /// Checks at the end of a run, after a long calm period, that an ended trial was expired.
    pub fn check_trial_at_end(&self, now: Time) -> Result<(), Violation> {
        let trial = &self.trial_tenant;
        let passed = trial
            .ends_at
            .is_some_and(|ends_at| ends_at + 2000 < trial_configuration::EPOCH_UNIX_MS + now / 1_000_000);
        let is_long_ago = now.saturating_sub(trial.end_changed_at) > 2_000_000_000;
        if passed && is_long_ago && trial.expired_at.is_none() {
            return Err(Violation::NeverOver);
        }
        Ok(())
    }

    /// Returns how many of the trial tenant's requests passed at full speed, passed in their turn, and were refused
    /// because of the pace.
    pub fn trial_counts(&self) -> (u32, u32, u32) {
        self.trial_tenant.counts
    }
}

/// Observations of the trial tenant.
#[derive(Debug, Default)]
struct TrialObservations {
    version: u32,
    ends_at: Option<UnixMillis>,
    end_changed_at: Time,
    /// When the expiry of its trial was committed.
    expired_at: Option<Time>,
    full: VecDeque<(usize, Time)>,
    refused: VecDeque<(usize, Time)>,
    passed: VecDeque<Time>,
    paced: VecDeque<Time>,
    counts: (u32, u32, u32),
}

impl TrialObservations {
    fn expire(&mut self, now: Time, ends_at: UnixMillis) -> Result<(), Violation> {
        let true_now = trial_configuration::EPOCH_UNIX_MS + now / 1_000_000;
        if ends_at > true_now + MAX_CLOCK_SKEW_MS {
            return Err(Violation::TooEarly { by: ends_at - true_now });
        }
        if self.ends_at == Some(ends_at) {
            self.expired_at.get_or_insert(now);
        }
        Ok(())
    }

    fn set_end(&mut self, now: Time, ends_at: Option<UnixMillis>) {
        if std::mem::replace(&mut self.ends_at, ends_at) != ends_at {
            self.end_changed_at = now;
            // Only the latest end of a trial that passed is remembered.
            self.expired_at = None;
        }
    }
}

fn record(list: &mut VecDeque<(usize, Time)>, now: Time, gateway: usize) {
    list.push_back((gateway, now));
    while list.front().is_some_and(|(_, at)| now - at > PHASE_GAP) {
        list.pop_front();
    }
}

/// Records an event and returns the number of events within the last five seconds, including it.
fn count_in_window(list: &mut VecDeque<Time>, now: Time) -> u32 {
    list.push_back(now);
    while list.front().is_some_and(|at| now - at > WINDOW) {
        list.pop_front();
    }
    list.len() as u32
}

fn check_quota(list: &mut VecDeque<Time>, now: Time, rate: f64, burst: f64) -> Result<(), Violation> {
    let passed = count_in_window(list, now);
    let most = (rate * WINDOW as f64 / 1e9 + burst) * (1.0 + OVERSHOOT) + SLACK_REQUESTS;
    if f64::from(passed) > most {
        return Err(Violation::Quota { passed, most });
    }
    Ok(())
}

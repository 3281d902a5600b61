//! What must hold after each step.

use crate::{trial_configuration, Time};
use control_state::{Command, LogIndex};
use quota::{TrialPace, PHASE_GAP, PHASE_NOTICE, REQUEST_INTERVAL};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use trial::UnixMillis;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Two say different things of one place of the agreed log.
    Agreed(LogIndex),
    /// One applied a place out of its order.
    Order(LogIndex),
    /// A read missed what was acknowledged before it was asked for.
    Stale { read: u32, acknowledged: u32 },
    /// Two changes on one base were both acknowledged.
    Twice(u32),
    /// A drain that was acknowledged is not known to a later read.
    Drain(String),
    /// Two lend at the same time.
    TwoLend(u64, u64),
    /// More of a tenant's requests passed in five seconds than its limit allows.
    Quota { passed: u32, most: f64 },
    /// A gateway in touch refused a tenant for its pace within 100 ms of another's letting it go at full speed.
    Both { refuses: usize, full: usize },
    /// A tenant went at full speed that long after its trial was agreed to be over, in ms.
    Full { after: u64 },
    /// More than its pace allows passed in five seconds.
    Pace { passed: u32, most: f64 },
    /// A trial was over so many ms before its end.
    TooEarly { by: u64 },
    /// A trial's end has long passed, and it is not over.
    NeverOver,
    /// One that could hear all for a second does not know what was acknowledged before.
    Behind(String),
    /// An order was confirmed that is not agreed on.
    NotAgreed(u32),
    /// Two of one number were both acknowledged, or what was acknowledged under a number is read with other bytes.
    Number(u32),
    /// An order that had been taken was refused when it was sent again.
    RefusedThoughTaken(u32),
    /// An order that was refused was taken later.
    TakenThoughRefused(u32),
    /// A proper order on top of what stands was refused.
    RefusedOnNewest(u32),
    /// One that had no way to a majority for long confirmed, refused, or told what stands.
    DecidedAlone(usize),
    /// One that could not have heard of a majority for long told gateways that it is in touch.
    SaysInTouch(usize),
    /// A gateway that believes to be in touch has an old configuration.
    ServedOld { gateway: usize, version: u32, acknowledged: u32 },
    /// A gateway that was told of a time behind a drain's acknowledgement still gives that backend new work.
    DrainUnknown { gateway: usize, id: String },
    /// A gateway was told that a backend has ended which was heard all the time.
    EndedAlive { gateway: usize, id: String },
    /// A gateway does not know a backend that was heard all the time, though all was calm for long.
    LifeUnknown { gateway: usize, id: String },
    /// A gateway lacks what was acknowledged long ago, though all was calm.
    GatewayBehind { gateway: usize, version: u32, acknowledged: u32 },
    /// A gateway that was removed may use its fallback share, which has gone to the others.
    ShareTwice { gateway: usize },
    /// Nobody answered this though the core was settled for long.
    NotAnswered(String),
    /// All have been back for long, and the voters are not those that there are.
    NotRepaired(String),
    /// Nothing was agreed on though nothing was wrong for a long time.
    Stuck,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The window of the limit, and what it allows beyond: the operators' own figures.
const WINDOW: Time = 5_000_000_000;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// How far clocks that are not stepped are from true time, in ms, and a little.
const SKEW_MS: u64 = 60;
/// Behind the word that a trial is over: the step's lead, behind the one before if that is on its way, each seen with
/// the next ask that comes.
const FULL_BEHIND: Time = 2 * (PHASE_NOTICE + REQUEST_INTERVAL);

/// All that was seen so far.
#[derive(Debug, Default)]
pub struct Observations {
    agreed: BTreeMap<LogIndex, Vec<u8>>,
    /// Acknowledged configurations: base by version.
    taken: BTreeMap<u32, u32>,
    drains: BTreeSet<String>,
    passed: VecDeque<Time>,
    trial_tenant: TrialObservations,
    pub acknowledged: u32,
    pub reads: u32,
    pub through: u32,
}

impl Observations {
    pub fn applied(&mut self, now: Time, place: LogIndex, word: &[u8]) -> Result<(), Violation> {
        let first = !self.agreed.contains_key(&place);
        let known = self.agreed.entry(place).or_insert_with(|| word.to_vec());
        if known != word {
            return Err(Violation::Agreed(place));
        }
        match Command::decode(word).filter(|_| first) {
            Some(Command::ExpireTrial { ends_at: ends, .. }) => self.trial_tenant.over(now, ends),
            Some(Command::ReplaceConfiguration { base, version, body })
                if base == self.trial_tenant.version =>
            {
                self.trial_tenant.version = version;
                self.trial_tenant.moved(now, trial_configuration::trial_end(&body));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    pub fn newest(&self) -> u32 {
        self.taken.last_key_value().map_or(0, |(v, _)| *v)
    }

    pub fn drains(&self) -> BTreeSet<String> {
        self.drains.clone()
    }

    pub fn acknowledge(&mut self, word: &Command) -> Result<(), Violation> {
        self.acknowledged += 1;
        match word {
            Command::ReplaceConfiguration { base, version, .. }
            | Command::ConfigurationDelta { base, version, .. } => {
                let other = self.taken.iter().any(|(v, b)| b == base && v != version);
                self.taken.insert(*version, *base);
                if other {
                    return Err(Violation::Twice(*base));
                }
            }
            Command::Drain { instance } => drop(self.drains.insert(instance.clone())),
            Command::AddGateway { .. } | Command::RemoveGateway { .. } | Command::ExpireTrial { .. } => {}
        }
        Ok(())
    }

    /// A read that was asked for when `acknowledged` and `drains` were known.
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
            Some(forgotten) => Err(Violation::Drain(forgotten.clone())),
            None => Ok(()),
        }
    }

    /// One of the tenant's requests passed.
    pub fn pass(&mut self, now: Time, rate: f64, burst: f64) -> Result<(), Violation> {
        self.through += 1;
        quota(&mut self.passed, now, rate, burst)
    }

    // ---- The guest ----

    /// One of the trial tenant's requests passed at full speed, at this gateway.
    pub fn full(&mut self, now: Time, gateway: usize, rate: f64, burst: f64) -> Result<(), Violation> {
        let g = &mut self.trial_tenant;
        g.counts.0 += 1;
        let beside = |(other, at): &&(usize, Time)| *other != gateway && now - at < PHASE_GAP;
        if let Some((refuses, _)) = g.refused.iter().find(beside) {
            return Err(Violation::Both { refuses: *refuses, full: gateway });
        }
        let after = g.over_since.map_or(0, |since| now.saturating_sub(since));
        if after > FULL_BEHIND {
            return Err(Violation::Full { after: after / 1_000_000 });
        }
        record(&mut g.full, now, gateway);
        quota(&mut g.passed, now, rate, burst)
    }

    /// One was refused for the pace.
    pub fn refused(&mut self, now: Time, gateway: usize, in_touch: bool) -> Result<(), Violation> {
        let g = &mut self.trial_tenant;
        g.counts.2 += 1;
        if !in_touch {
            return Ok(());
        }
        if let Some((full, _)) = g.full.iter().find(|(other, at)| *other != gateway && now - at < PHASE_GAP) {
            return Err(Violation::Both { refuses: gateway, full: *full });
        }
        record(&mut g.refused, now, gateway);
        Ok(())
    }

    /// One passed in its turn.
    pub fn paced(&mut self, now: Time, slow: TrialPace) -> Result<(), Violation> {
        let g = &mut self.trial_tenant;
        g.counts.1 += 1;
        let passed = window(&mut g.paced, now);
        // Twice the wait by what is promised, a fifth of a second for each change of the coordinator's, and those
        // alone.
        let span = (WINDOW + 2 * slow.max_wait) as f64 / 1e9;
        let most = slow.rate * (span + 1.0) + 6.0;
        if f64::from(passed) > most {
            return Err(Violation::Pace { passed, most });
        }
        Ok(())
    }

    /// At the end of a world that was calm for long.
    pub fn trial_at_the_end(&self, now: Time) -> Result<(), Violation> {
        let g = &self.trial_tenant;
        let passed =
            g.ends.is_some_and(|ends| ends + 2000 < trial_configuration::START_OF_TIME + now / 1_000_000);
        let long = now.saturating_sub(g.moved_at) > 2_000_000_000;
        if passed && long && g.over_since.is_none() {
            return Err(Violation::NeverOver);
        }
        Ok(())
    }

    /// How many of the trial tenant's requests went at full speed, in their turn, and were refused for the pace.
    pub fn trial_counts(&self) -> (u32, u32, u32) {
        self.trial_tenant.counts
    }
}

/// What was seen of the tenant on trial.
#[derive(Debug, Default)]
struct TrialObservations {
    version: u32,
    ends: Option<UnixMillis>,
    moved_at: Time,
    /// Since when its trial is agreed to be over.
    over_since: Option<Time>,
    full: VecDeque<(usize, Time)>,
    refused: VecDeque<(usize, Time)>,
    passed: VecDeque<Time>,
    paced: VecDeque<Time>,
    counts: (u32, u32, u32),
}

impl TrialObservations {
    fn over(&mut self, now: Time, ends: UnixMillis) -> Result<(), Violation> {
        let true_now = trial_configuration::START_OF_TIME + now / 1_000_000;
        if ends > true_now + SKEW_MS {
            return Err(Violation::TooEarly { by: ends - true_now });
        }
        if self.ends == Some(ends) {
            self.over_since.get_or_insert(now);
        }
        Ok(())
    }

    fn moved(&mut self, now: Time, ends: Option<UnixMillis>) {
        if std::mem::replace(&mut self.ends, ends) != ends {
            self.moved_at = now;
            // The last end that passed is the one that is remembered.
            self.over_since = None;
        }
    }
}

fn record(list: &mut VecDeque<(usize, Time)>, now: Time, gateway: usize) {
    list.push_back((gateway, now));
    while list.front().is_some_and(|(_, at)| now - at > PHASE_GAP) {
        list.pop_front();
    }
}

/// How many there were in the last five seconds, with this one.
fn window(list: &mut VecDeque<Time>, now: Time) -> u32 {
    list.push_back(now);
    while list.front().is_some_and(|at| now - at > WINDOW) {
        list.pop_front();
    }
    list.len() as u32
}

fn quota(list: &mut VecDeque<Time>, now: Time, rate: f64, burst: f64) -> Result<(), Violation> {
    let passed = window(list, now);
    let most = (rate * WINDOW as f64 / 1e9 + burst) * (1.0 + OVERSHOOT) + SLACK;
    if f64::from(passed) > most {
        return Err(Violation::Quota { passed, most });
    }
    Ok(())
}

//! Which prompter a gateway follows: one of its own zone if it can be had, else any other; and what it makes of what that tells.

use crate::fold::{Fold, News};
use crate::touch::Touch;
use crate::{Time, MS};
use change_log::{Follower, Take};
use control_state::{Received, Receiver};
use messages::message::{Down, First, Up, FORM};
use quota::Lent;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A prompter says something each 200 ms; a long word is no silence while its bytes come, for so long at the most.
pub const SILENT: Time = 700 * MS;
pub const LONG_WORD: Time = 10_000 * MS;
/// A prompter that cannot prove what it tells for so long, in ms, is left.
const STALE: u32 = 1000;
/// One that was stale, or not there, is not tried again so soon while there are others.
const SHUNNED: Time = 600 * MS;
/// Nor one that refused the connection: it may be just starting.
const REFUSED: Time = 60 * MS;
/// Nor one that did not answer at all.
const UNHEARD: Time = 700 * MS;
/// Through another gateway it is followed for so long before a prompter is tried again.
const THROUGH: Time = 2000 * MS;
/// A link that lasted so long did well; and how often the time for which one is shunned is doubled.
const DID_WELL: Time = 2000 * MS;
const MOST_DOUBLED: u32 = 3;
/// So many in a row that did not answer: this gateway is cut off, not they.
const CUT_OFF: u32 = 2;
/// What was in doubt for too long is looked at so often.
const SWEEP: Time = 1000 * MS;

/// Who the gateway is.
#[derive(Clone, Debug)]
pub struct Setup {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It broke or fell silent.
    Lost,
    /// The prompter has lost the majority.
    Stale,
    /// Another is nearer.
    Nearer,
    /// The connection was refused.
    Refused,
    /// There was no answer at all.
    Unheard,
}

/// What is to be done about what a prompter tells, in order.
#[derive(Debug)]
pub enum Effect {
    News(Vec<News>),
    Lent(Lent),
    /// To the prompter.
    Say(Up),
    /// The link is to be ended.
    Leave(End),
}

/// A prompter that is let be for a while.
#[derive(Clone, Copy, Debug)]
struct Shunned {
    since: Time,
    until: Time,
    /// How often in a row it came to that.
    times: u32,
    /// It did not answer at all: that may have been this gateway's fault, unless it was tried once more since.
    unheard: bool,
    again: bool,
}

/// The link that stands.
#[derive(Debug)]
struct Link {
    ip: IpAddr,
    /// Not through another gateway.
    direct: bool,
    begun: Time,
    parts: Receiver,
    sweeps_at: Time,
}

#[derive(Debug)]
pub struct Follow {
    setup: Setup,
    fold: Fold,
    touch: Touch,
    /// Prompters by address, with their zones as far as they are known.
    known: BTreeMap<IpAddr, String>,
    /// Those that are not tried while there are others.
    shunned: BTreeMap<IpAddr, Shunned>,
    follower: Follower,
    /// What was last told of gateways that are missed.
    missing: Vec<String>,
    /// Prompters in a row that did not answer at all.
    unheard: u32,
    link: Option<Link>,
}

impl Follow {
    pub fn new(setup: Setup) -> Self {
        Follow {
            setup,
            fold: Fold::default(),
            touch: Touch::default(),
            known: BTreeMap::new(),
            shunned: BTreeMap::new(),
            follower: Follower::default(),
            missing: Vec::new(),
            unheard: 0,
            link: None,
        }
    }

    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    pub fn touch(&self) -> &Touch {
        &self.touch
    }

    /// Something that this gateway has seen itself.
    pub fn seen(&mut self, act: impl FnOnce(&mut Fold) -> Vec<News>) -> Vec<News> {
        act(&mut self.fold)
    }

    /// Whom to follow next, of these seeds and all that were heard of: one of the own zone first; of the others, any. Whether it is
    /// one that is not shunned: where all are, the one that was tried longest ago. `draw`: a number below that.
    pub fn next(
        &mut self,
        now: Time,
        seeds: &[IpAddr],
        mut draw: impl FnMut(usize) -> usize,
    ) -> Option<(IpAddr, bool)> {
        let all: BTreeSet<IpAddr> = self.known.keys().chain(seeds).copied().collect();
        self.shunned.retain(|ip, _| all.contains(ip));
        let open = || all.iter().copied().filter(|ip| !self.is_shunned(ip, now));
        let near: Vec<IpAddr> = open().filter(|ip| self.is_near(ip)).collect();
        let open: Vec<IpAddr> = if near.is_empty() { open().collect() } else { near };
        if !open.is_empty() {
            return Some((open[draw(open.len())], true));
        }
        all.into_iter().min_by_key(|ip| self.shunned.get(ip).map(|s| s.since)).map(|ip| (ip, false))
    }

    fn is_shunned(&self, ip: &IpAddr, now: Time) -> bool {
        self.shunned.get(ip).is_some_and(|s| s.until > now)
    }

    fn is_near(&self, ip: &IpAddr) -> bool {
        *ip == self.setup.ip || self.known.get(ip) == Some(&self.setup.zone)
    }

    /// A link to this prompter begins, `direct` or through another gateway: the first word on it.
    pub fn begin(&mut self, now: Time, ip: IpAddr, direct: bool) -> First {
        self.missing.clear();
        self.fold.linked(now);
        self.link = Some(Link { ip, direct, begun: now, parts: Receiver::default(), sweeps_at: now });
        First::Gateway {
            form: FORM,
            name: self.setup.name.clone(),
            zone: self.setup.zone.clone(),
            place: self.follower.place(),
            holds: self.holds(),
            contact: self.touch.ask(now),
        }
    }

    /// Where the configuration that it holds stands in the agreed log; 0: there is none.
    pub fn holds(&self) -> u64 {
        self.fold.held().map_or(0, |c| c.place)
    }

    /// The try to follow this prompter itself, which began then, has ended. Whether this gateway seems to be cut off from prompters, so
    /// that it is to go through other gateways.
    pub fn ended(&mut self, now: Time, ip: IpAddr, began: Time, end: End) -> bool {
        self.link = None;
        let shun = match end {
            End::Nearer => return false,
            End::Refused => REFUSED,
            End::Unheard => UNHEARD,
            End::Lost | End::Stale => SHUNNED,
        };
        self.unheard = if end == End::Unheard { self.unheard + 1 } else { 0 };
        // One that did well for a while begins anew; one that fails again and again is left alone for longer.
        let well = now.saturating_sub(began) >= DID_WELL;
        let before = if well { 0 } else { self.shunned.get(&ip).map_or(0, |s| s.times) };
        let until = now + (shun << before.min(MOST_DOUBLED));
        if end == End::Lost {
            // This gateway may have been cut off anew.
            self.shunned.values_mut().for_each(|s| s.again = false);
        }
        let again = self.shunned.get(&ip).is_some_and(|s| s.again);
        let unheard = end == End::Unheard && !again;
        self.shunned.insert(ip, Shunned { since: now, until, times: before + 1, unheard, again });
        self.unheard >= CUT_OFF
    }

    /// What the prompter tells. `missing`: gateways that this one misses.
    pub fn hear(&mut self, now: Time, down: Down, missing: impl FnOnce() -> Vec<String>) -> Vec<Effect> {
        let Some(link) = &mut self.link else { return Vec::new() };
        let mut effects = Vec::new();
        match down {
            Down::Scene { place, scene } => {
                self.follower.begun(place);
                effects.push(Effect::News(self.fold.scene(now, *scene)));
            }
            Down::Changes { from, changes } => match self.follower.told(from, changes.len()) {
                Take::From(known) => {
                    let news = changes.into_iter().skip(known).flat_map(|c| self.fold.change(c));
                    effects.push(Effect::News(news.collect()));
                }
                Take::Snapshot => {
                    // It begins anew without a place.
                    self.follower = Follower::default();
                    return vec![Effect::Leave(End::Lost)];
                }
            },
            Down::Lent(lent) => effects.push(Effect::Lent(lent)),
            Down::Configuration(part) => {
                let held = self.fold.held().cloned();
                let up = match link.parts.receive(held.as_deref(), part) {
                    Received::More { place, bytes } => Up::Got { place, bytes },
                    Received::Whole { configuration, bytes } => {
                        let place = configuration.place;
                        effects.push(Effect::News(self.fold.configuration(configuration)));
                        self.touch.holds(self.fold.held().map_or(0, |c| c.place));
                        Up::Got { place, bytes }
                    }
                    Received::Lacks => Up::Lacks,
                    Received::Wrong => return vec![Effect::Leave(End::Lost)],
                };
                effects.push(Effect::Say(up));
            }
            Down::Pulse { contact, touch_ms, newest, prompters } => {
                for (name, zone) in prompters {
                    if let Ok(ip) = name.parse() {
                        self.known.insert(ip, zone);
                    }
                }
                self.touch.told(contact, u64::from(touch_ms) * MS, newest);
                if let Some(end) = self.pulse(now, touch_ms) {
                    return vec![Effect::Leave(end)];
                }
                effects.push(Effect::Say(Up::Contact { number: self.touch.ask(now) }));
            }
        }
        if let Some(link) = self.link.as_mut().filter(|l| l.sweeps_at <= now) {
            link.sweeps_at = now + SWEEP;
            effects.push(Effect::News(self.fold.sweep(now)));
            let missing = missing();
            if missing != self.missing {
                self.missing.clone_from(&missing);
                effects.push(Effect::Say(Up::Company { missing }));
            }
        }
        effects
    }

    /// How long ago the prompter was in contact with a majority. Whether it is to be left.
    fn pulse(&mut self, now: Time, touch_ms: u32) -> Option<End> {
        let Link { ip, direct, begun, ref parts, .. } = *self.link.as_ref()?;
        let is_under_way = parts.is_under_way();
        if touch_ms > STALE && self.holds() == 0 && is_under_way {
            // Behind a loss of all that control is, what was in force is better than nothing until somebody can prove more.
            return None;
        }
        if touch_ms > STALE {
            // Those that were not heard before this link stood may have been there, and this gateway cut off: each is tried once more.
            for shunned in self.shunned.values_mut().filter(|s| s.unheard && s.since < begun) {
                (shunned.until, shunned.unheard, shunned.again) = (now, false, true);
            }
        }
        let mut others = self.known.keys().filter(|other| **other != ip && !self.is_shunned(other, now));
        if touch_ms > STALE {
            // Where nobody has a majority any one is as good.
            return others.next().map(|_| End::Stale);
        }
        // A configuration that is on its way would have to begin anew elsewhere.
        let settled = (direct || now.saturating_sub(begun) >= THROUGH) && !is_under_way;
        let nearer = settled && !self.is_near(&ip) && others.any(|other| self.is_near(other));
        nearer.then_some(End::Nearer)
    }
}

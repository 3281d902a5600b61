//! The first start of all: the seeds agree on who votes ([`consensus::Founding`]). The first by name stands once it has heard
//! of all seeds and of nobody new for a while, the next ones if nothing comes of that. All who are to vote found then, each on
//! its own disk. A machine that begins again, or whose disk was lost, is not at its first start.

use crate::{Prompter, Setup, Time, MS};
use consensus::{Founding, FoundingSaid, Id, Input, Members};
use messages::message::Peer;
use std::collections::{BTreeMap, BTreeSet};

const LOOK: Time = 50 * MS;
/// The core is founded when nobody new has been heard of for so long, by the first seed; by each next one so much later.
const SETTLED: Time = 900 * MS;
const SUCCESSION: Time = 1000 * MS;
/// A seed that has not been heard by then is not waited for.
const MISSING: Time = 3000 * MS;

pub(crate) struct Founder {
    founding: Founding,
    seeds: BTreeSet<String>,
    /// Its place among the seeds; none: it stands for nothing.
    rank: Option<u64>,
    /// Those that are at their first start: the disk's id, if they have one.
    heard: BTreeMap<String, Option<u64>>,
    began: Time,
    /// When somebody new was last heard of.
    since: Time,
    counted: usize,
    looks_at: Time,
}

impl Founder {
    /// At the first start of all alone.
    pub fn new(setup: &Setup, now: Time) -> Option<Self> {
        if !setup.first {
            return None;
        }
        let (me, seeds) = (&setup.me.name, setup.seeds.iter().cloned().collect::<BTreeSet<String>>());
        let rank = seeds.iter().position(|s| s == me).map(|rank| rank as u64);
        Some(Founder {
            founding: Founding::new(me, seeds.iter().cloned()),
            rank,
            seeds,
            heard: [(me.clone(), setup.votes.then_some(setup.me.disk))].into(),
            began: now,
            since: now,
            counted: 0,
            looks_at: if rank.is_some() { now + LOOK } else { Time::MAX },
        })
    }

    pub fn next_due(&self) -> Time {
        self.looks_at
    }

    /// Somebody is at the first start, too.
    pub fn hear(&mut self, name: &str, disk: Option<u64>) {
        self.heard.insert(name.into(), disk);
    }

    /// Whether it is this one's turn to stand.
    fn is_due(&mut self, now: Time) -> bool {
        let Some(rank) = self.rank else { return false };
        if std::mem::replace(&mut self.counted, self.heard.len()) != self.heard.len() {
            self.since = now;
        }
        let all = self.seeds.iter().all(|s| self.heard.contains_key(s));
        let turn = SETTLED + SUCCESSION * rank;
        (all || now.saturating_sub(self.began) >= MISSING) && now.saturating_sub(self.since) >= turn
    }

    /// Those with a disk.
    fn voters(&self) -> Members {
        self.heard.iter().filter_map(|(name, disk)| Some((name.clone(), (*disk)?))).collect()
    }
}

impl Prompter {
    /// Looks whether this one is to found.
    pub(crate) fn found(&mut self) {
        let now = self.now;
        let Some(founder) = self.founder.as_mut().filter(|f| f.looks_at <= now) else { return };
        if !self.duty.members.is_empty() || self.duty.leader.is_some() {
            founder.looks_at = Time::MAX;
            return;
        }
        founder.looks_at = now + LOOK;
        if founder.is_due(now) {
            founder.looks_at = now + 5 * LOOK;
            self.stand();
        }
    }

    /// Tells all voters that are agreed on to found; else stands for those that are known.
    fn stand(&mut self) {
        let Some(founder) = &mut self.founder else { return };
        let Some(members) = founder.founding.agreed().cloned() else {
            let voters = founder.voters();
            if voters.is_empty() {
                return log::error!("no prompter has a disk: nothing can be agreed on");
            }
            log::info!("stands for founding with {} voters", voters.len());
            let said = founder.founding.stand(voters);
            return self.tell_seeds(said);
        };
        log::info!("{} voters are to found", members.len());
        for name in members.keys() {
            if *name == self.setup.me.name {
                self.put(Input::Found { members: members.clone() });
            } else {
                self.tell(name, Peer::Found { members: members.clone() });
            }
        }
    }

    fn tell_seeds(&mut self, said: Vec<(String, FoundingSaid)>) {
        said.into_iter().for_each(|(to, said)| self.tell(&to, Peer::Founding(said)));
    }

    pub(crate) fn founding_said(&mut self, from: &Id, said: FoundingSaid) {
        if let Some(founder) = &mut self.founder {
            let answers = founder.founding.hear(from, said);
            self.tell_seeds(answers);
        }
    }
}

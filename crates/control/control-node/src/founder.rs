//! The first start of all: the seeds agree on who votes ([`consensus::Founding`]). The first by name stands once it has heard
//! of all seeds and of nobody new for a while, the next ones if nothing comes of that. All who are to vote found then, each on
//! its own disk. A machine that begins again, or whose disk was lost, is not at its first start.

use crate::{ControlNode, NodeConfig, Time, MS};
use consensus::{Bootstrap, BootstrapMessage, Input, NodeId, VoterSet};
use messages::message::ControlMessage;
use std::collections::{BTreeMap, BTreeSet};

const POLL_INTERVAL: Time = 50 * MS;
/// The core is founded when nobody new has been heard of for so long, by the first seed; by each next one so much later.
const SETTLING_TIME: Time = 900 * MS;
const RANK_DELAY: Time = 1000 * MS;
/// A seed that has not been heard by then is not waited for.
const SEED_TIMEOUT: Time = 3000 * MS;

pub(crate) struct Bootstrapper {
    consensus: Bootstrap,
    seeds: BTreeSet<String>,
    /// Its place among the seeds; none: it stands for nothing.
    rank: Option<u64>,
    /// Those that are at their first start: the disk's id, if they have one.
    starting_nodes: BTreeMap<String, Option<u64>>,
    started: Time,
    /// When somebody new was last heard of.
    last_new_node: Time,
    node_count: usize,
    next_poll: Time,
}

impl Bootstrapper {
    /// At the first start of all alone.
    pub fn new(setup: &NodeConfig, now: Time) -> Option<Self> {
        if !setup.initial_start {
            return None;
        }
        let (me, seeds) = (&setup.id.name, setup.seeds.iter().cloned().collect::<BTreeSet<String>>());
        let rank = seeds.iter().position(|s| s == me).map(|rank| rank as u64);
        Some(Bootstrapper {
            consensus: Bootstrap::new(me, seeds.iter().cloned()),
            rank,
            seeds,
            starting_nodes: [(me.clone(), setup.can_vote.then_some(setup.id.disk_id))].into(),
            started: now,
            last_new_node: now,
            node_count: 0,
            next_poll: if rank.is_some() { now + POLL_INTERVAL } else { Time::MAX },
        })
    }

    pub fn next_due(&self) -> Time {
        self.next_poll
    }

    /// Somebody is at the first start, too.
    pub fn on_hello(&mut self, name: &str, disk: Option<u64>) {
        self.starting_nodes.insert(name.into(), disk);
    }

    /// Whether it is this one's turn to stand.
    fn is_due(&mut self, now: Time) -> bool {
        let Some(rank) = self.rank else { return false };
        if std::mem::replace(&mut self.node_count, self.starting_nodes.len()) != self.starting_nodes.len() {
            self.last_new_node = now;
        }
        let all = self.seeds.iter().all(|s| self.starting_nodes.contains_key(s));
        let turn = SETTLING_TIME + RANK_DELAY * rank;
        (all || now.saturating_sub(self.started) >= SEED_TIMEOUT)
            && now.saturating_sub(self.last_new_node) >= turn
    }

    /// Those with a disk.
    fn voters(&self) -> VoterSet {
        self.starting_nodes.iter().filter_map(|(name, disk)| Some((name.clone(), (*disk)?))).collect()
    }
}

impl ControlNode {
    /// Looks whether this one is to found.
    pub(crate) fn try_bootstrap(&mut self) {
        let now = self.now;
        let Some(founder) = self.bootstrapper.as_mut().filter(|f| f.next_poll <= now) else { return };
        if !self.leadership.voters.is_empty() || self.leadership.leader.is_some() {
            founder.next_poll = Time::MAX;
            return;
        }
        founder.next_poll = now + POLL_INTERVAL;
        if founder.is_due(now) {
            founder.next_poll = now + 5 * POLL_INTERVAL;
            self.propose_voters();
        }
    }

    /// Tells all voters that are agreed on to found; else stands for those that are known.
    fn propose_voters(&mut self) {
        let Some(founder) = &mut self.bootstrapper else { return };
        let Some(members) = founder.consensus.chosen().cloned() else {
            let voters = founder.voters();
            if voters.is_empty() {
                return log::error!("no prompter has a disk: nothing can be agreed on");
            }
            log::info!("stands for founding with {} voters", voters.len());
            let said = founder.consensus.propose(voters);
            return self.send_bootstrap_messages(said);
        };
        log::info!("{} voters are to found", members.len());
        for name in members.keys() {
            if *name == self.config.id.name {
                self.enqueue(Input::Bootstrap { voters: members.clone() });
            } else {
                self.send_to(name, ControlMessage::BootstrapChosen { voters: members.clone() });
            }
        }
    }

    fn send_bootstrap_messages(&mut self, said: Vec<(String, BootstrapMessage)>) {
        said.into_iter().for_each(|(to, said)| self.send_to(&to, ControlMessage::Bootstrap(said)));
    }

    pub(crate) fn on_bootstrap_message(&mut self, from: &NodeId, said: BootstrapMessage) {
        if let Some(founder) = &mut self.bootstrapper {
            let answers = founder.consensus.on_message(from, said);
            self.send_bootstrap_messages(answers);
        }
    }
}

//! Members on a simulated network with clocks, link delays, bandwidth limits and partitions. Each running member
//! sends join requests to all others twice a second.

use super::{id, Member, Observations, MS};
use consensus::{Input, Message, MessageBody, NodeId, Output, Time, VoterSet};
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

const STEP: Time = 10 * MS;

pub struct Net {
    pub now: Time,
    pub members: Vec<Member>,
    pub observations: Observations,
    /// Directed links, from sender to recipient, that drop all messages.
    pub partitions: BTreeSet<(String, String)>,
    /// Bandwidth of slow directed links in bytes per second. Other links are unlimited.
    pub bandwidth: BTreeMap<(String, String), u64>,
    free_at: BTreeMap<(String, String), Time>,
    delivery_queue: BinaryHeap<Reverse<(Time, u64)>>,
    in_flight: BTreeMap<u64, Message>,
    next_id: u64,
    rng: Rng,
    /// Bytes sent to each member.
    pub sent_bytes: BTreeMap<String, u64>,
    pub applied_count: u64,
    /// Interval between proposed commands; 0 for none.
    pub proposal_interval: Time,
    pub command_size: usize,
    /// Number of log entries above which a member compacts its log.
    pub max_log_entries: usize,
    /// Names of the members that were told to shut down. They ask for no vote.
    shutting_down: BTreeSet<String>,
    /// Number of voters below which the members do not shrink the set.
    pub min_voters: Option<usize>,
}

fn message_bytes(message: &Message) -> u64 {
    60 + match &message.body {
        MessageBody::AppendEntries { entries, .. } => entries
            .iter()
            .map(|e| match &e.payload {
                consensus::EntryPayload::Command(command) => command.len() as u64 + 16,
                _ => 64,
            })
            .sum(),
        MessageBody::Chunk { bytes, .. } => bytes.len() as u64,
        _ => 0,
    }
}

impl Net {
    pub fn empty(seed: u64) -> Self {
        Net {
            now: 0,
            members: Vec::new(),
            observations: Observations::default(),
            partitions: BTreeSet::new(),
            bandwidth: BTreeMap::new(),
            free_at: BTreeMap::new(),
            delivery_queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            next_id: 0,
            rng: Rng::with_seed(seed),
            sent_bytes: BTreeMap::new(),
            applied_count: 0,
            proposal_interval: 0,
            command_size: 8,
            max_log_entries: 24,
            shutting_down: BTreeSet::new(),
            min_voters: Some(3),
        }
    }

    /// Creates a cluster of voters with these names that has bootstrapped and elected a leader.
    pub fn bootstrapped(seed: u64, names: &[&str]) -> Self {
        let mut net = Net::empty(seed);
        net.bootstrap(names);
        net
    }

    /// Bootstraps an empty cluster with voters of these names, and lets it elect a leader.
    pub fn bootstrap(&mut self, names: &[&str]) {
        names.iter().for_each(|name| self.start_with_empty_disk(name));
        let voters: VoterSet = self.members.iter().map(|m| (m.id.name.clone(), m.id.disk_id)).collect();
        for n in 0..names.len() {
            self.handle(n, Input::Bootstrap { voters: voters.clone() });
        }
        self.run(3_000);
    }

    /// Starts a member with an empty disk. Replaces a member of the same name, whose disk is lost.
    pub fn start_with_empty_disk(&mut self, name: &str) {
        self.next_id += 1;
        let id = id(name, 1000 + self.next_id);
        self.members.retain(|m| m.id.name != name);
        self.shutting_down.remove(name);
        self.observations.unavailable.remove(name);
        let mut member = Member::new(id, self.now, self.rng.u64(..), None);
        member.set_min_voters(self.min_voters);
        self.members.push(member);
    }

    pub fn index_of(&self, name: &str) -> usize {
        self.members.iter().position(|m| m.id.name == name).expect("unknown member")
    }

    pub fn member(&self, name: &str) -> &Member {
        &self.members[self.index_of(name)]
    }

    pub fn stop(&mut self, name: &str) {
        let n = self.index_of(name);
        self.members[n].node = None;
        self.shutting_down.remove(name);
        self.observations.unavailable.insert(name.to_string());
    }

    pub fn start(&mut self, name: &str) {
        let (n, seed) = (self.index_of(name), self.rng.u64(..));
        self.members[n].now = self.now;
        self.members[n].start(seed, None);
        self.observations.unavailable.remove(name);
    }

    /// Shuts a member down gracefully: repeats the shutdown input for one second, then stops it.
    pub fn terminate(&mut self, name: &str) {
        for _ in 0..10 {
            self.request_shutdown(name);
            self.run(100);
        }
        self.stop(name);
    }

    /// Tells a member once that it is to shut down.
    pub fn request_shutdown(&mut self, name: &str) {
        self.observations.unavailable.insert(name.to_string());
        self.shutting_down.insert(name.to_string());
        let n = self.index_of(name);
        self.handle(n, Input::Shutdown);
    }

    /// Isolates a member from all others, or reconnects it.
    pub fn set_isolated(&mut self, name: &str, isolated: bool) {
        if isolated {
            self.observations.unavailable.insert(name.to_string());
        } else {
            self.observations.unavailable.remove(name);
        }
        let names: Vec<String> = self.members.iter().map(|m| m.id.name.clone()).collect();
        for other in names.into_iter().filter(|o| o != name) {
            for pair in [(name.to_string(), other.clone()), (other, name.to_string())] {
                if isolated {
                    self.partitions.insert(pair);
                } else {
                    self.partitions.remove(&pair);
                }
            }
        }
    }

    pub fn leader(&self) -> Option<&Member> {
        let leaders = self.members.iter().filter(|m| m.is_leader());
        leaders.max_by_key(|m| m.node.as_ref().map(|node| node.term()))
    }

    /// Returns the names of the leader's voters, separated by spaces.
    pub fn voters(&self) -> String {
        let voters = self.leader().and_then(|l| l.node.as_ref()).map(|node| node.voters().keys().cloned());
        voters.map(|v| v.collect::<Vec<_>>().join(" ")).unwrap_or_default()
    }

    pub fn term(&self) -> u64 {
        self.leader().and_then(|l| l.node.as_ref()).map_or(0, |node| node.term())
    }

    pub fn handle(&mut self, n: usize, input: Input) {
        self.members[n].now = self.now;
        let last_index_before = self.members[n].last_index();
        let (sent_messages, outputs) = self.members[n].handle(input);
        let checked = self.observations.check(&self.members, n, last_index_before);
        if let Err(violation) = checked.and_then(|()| self.observations.record(&self.members[n], &outputs)) {
            panic!("{violation:?} at {} ms by {}", self.now / MS, self.members[n].id);
        }
        self.applied_count += outputs.iter().filter(|o| matches!(o, Output::Apply { .. })).count() as u64;
        self.members[n].compact(self.max_log_entries);
        sent_messages.into_iter().for_each(|message| self.send(message));
    }

    fn send(&mut self, message: Message) {
        let link = (message.from.name.clone(), message.to.name.clone());
        if self.partitions.contains(&link) {
            return;
        }
        let size = message_bytes(&message);
        *self.sent_bytes.entry(link.1.clone()).or_default() += size;
        let link_free_at = self.free_at.get(&link).copied().unwrap_or(0).max(self.now);
        let link_free_at = link_free_at + self.bandwidth.get(&link).map_or(0, |rate| size * 1000 * MS / rate);
        self.free_at.insert(link, link_free_at);
        // Messages arrive in order on each link.
        let arrives_at = link_free_at + 2 * MS;
        self.next_id += 1;
        self.delivery_queue.push(Reverse((arrives_at, self.next_id)));
        self.in_flight.insert(self.next_id, message);
    }

    /// Runs the simulation for `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while self.now < end {
            self.now += STEP;
            while self.delivery_queue.peek().is_some_and(|Reverse((arrives_at, _))| *arrives_at <= self.now) {
                let Some(Reverse((_, message_id))) = self.delivery_queue.pop() else { break };
                let Some(message) = self.in_flight.remove(&message_id) else { continue };
                let link = (message.from.name.clone(), message.to.name.clone());
                let to = self.members.iter().position(|m| m.id.name == message.to.name);
                if let Some(to) = to.filter(|_| !self.partitions.contains(&link)) {
                    self.handle(to, Input::Message(message));
                }
            }
            for n in 0..self.members.len() {
                if self.members[n].node.as_ref().is_some_and(|node| node.next_due() <= self.now) {
                    self.handle(n, Input::Tick);
                }
            }
            if self.now.is_multiple_of(500 * MS) {
                self.send_join_requests();
            }
            if self.proposal_interval > 0 && self.now.is_multiple_of(self.proposal_interval) {
                self.propose();
            }
        }
    }

    /// Proposes a command to the leader, if there is one.
    pub fn propose(&mut self) {
        let Some(n) = self.leader().map(|l| self.index_of(&l.id.name)) else { return };
        self.next_id += 1;
        let mut command = vec![0; self.command_size];
        command[..8].copy_from_slice(&self.next_id.to_be_bytes());
        self.handle(n, Input::Propose { tag: 0, command });
    }

    fn send_join_requests(&mut self) {
        let running: Vec<NodeId> =
            self.members.iter().filter(|m| m.node.is_some()).map(|m| m.id.clone()).collect();
        for from in &running {
            for to in &running {
                let link = (from.name.clone(), to.name.clone());
                if from.name != to.name && !self.partitions.contains(&link) {
                    let n = self.index_of(&to.name);
                    let wants_vote = !self.shutting_down.contains(&from.name);
                    self.handle(n, Input::Join { id: from.clone(), wants_vote });
                }
            }
        }
    }

    /// Proposes commands until one is applied. Returns whether that took at most `ms` milliseconds.
    pub fn commits_within(&mut self, ms: u64) -> bool {
        let before = self.observations.last_applied_index();
        for _ in 0..ms / 100 {
            self.propose();
            self.run(100);
            if self.observations.last_applied_index() > before {
                return true;
            }
        }
        false
    }
}

//! Nodes on a simulated network with clocks: delays, bandwidth, partitions, and requests to join twice a second.

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
    /// Those that cannot reach each other, one way.
    pub partitions: BTreeSet<(String, String)>,
    /// Bytes a second from one to the other, where they are few.
    pub slow: BTreeMap<(String, String), u64>,
    busy: BTreeMap<(String, String), Time>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    in_flight: BTreeMap<u64, Message>,
    next: u64,
    rng: Rng,
    /// How many bytes went to each.
    pub sent: BTreeMap<String, u64>,
    pub committed: u64,
    /// The interval between proposed commands; 0 for none.
    pub every: Time,
    pub size: usize,
    /// The log is compacted beyond this many entries.
    pub compact: usize,
}

fn bytes(message: &Message) -> u64 {
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
            slow: BTreeMap::new(),
            busy: BTreeMap::new(),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            next: 0,
            rng: Rng::with_seed(seed),
            sent: BTreeMap::new(),
            committed: 0,
            every: 0,
            size: 8,
            compact: 24,
        }
    }

    /// Voters of these names that have bootstrapped and elected a leader.
    pub fn bootstrapped(seed: u64, names: &[&str]) -> Self {
        let mut net = Net::empty(seed);
        names.iter().for_each(|name| net.join(name));
        let members: VoterSet = net.members.iter().map(|m| (m.id.name.clone(), m.id.disk_id)).collect();
        for n in 0..names.len() {
            net.take(n, Input::Bootstrap { voters: members.clone() });
        }
        net.run(3_000);
        net
    }

    /// A machine with an empty disk begins.
    pub fn join(&mut self, name: &str) {
        self.next += 1;
        let id = id(name, 1000 + self.next);
        self.members.retain(|m| m.id.name != name);
        self.members.push(Member::new(id, self.now, self.rng.u64(..), None));
    }

    pub fn at(&self, name: &str) -> usize {
        self.members.iter().position(|m| m.id.name == name).expect("it is there")
    }

    pub fn member(&self, name: &str) -> &Member {
        &self.members[self.at(name)]
    }

    pub fn stop(&mut self, name: &str) {
        let n = self.at(name);
        self.members[n].core = None;
    }

    pub fn start(&mut self, name: &str) {
        let (n, seed) = (self.at(name), self.rng.u64(..));
        self.members[n].now = self.now;
        self.members[n].start(seed, None);
    }

    /// It is told to end, and ends a second later.
    pub fn terminate(&mut self, name: &str) {
        for _ in 0..10 {
            let n = self.at(name);
            self.take(n, Input::Shutdown);
            self.run(100);
        }
        self.stop(name);
    }

    /// It is isolated from all others, or joined again.
    pub fn cut(&mut self, name: &str, off: bool) {
        let names: Vec<String> = self.members.iter().map(|m| m.id.name.clone()).collect();
        for other in names.into_iter().filter(|o| o != name) {
            for pair in [(name.to_string(), other.clone()), (other, name.to_string())] {
                if off {
                    self.partitions.insert(pair);
                } else {
                    self.partitions.remove(&pair);
                }
            }
        }
    }

    pub fn leader(&self) -> Option<&Member> {
        let leaders = self.members.iter().filter(|m| m.is_leader());
        leaders.max_by_key(|m| m.core.as_ref().map(|c| c.term()))
    }

    /// The voters that the leader knows.
    pub fn voters(&self) -> String {
        let voters = self.leader().and_then(|l| l.core.as_ref()).map(|c| c.voters().keys().cloned());
        voters.map(|v| v.collect::<Vec<_>>().join(" ")).unwrap_or_default()
    }

    pub fn term(&self) -> u64 {
        self.leader().and_then(|l| l.core.as_ref()).map_or(0, |c| c.term())
    }

    pub fn take(&mut self, n: usize, input: Input) {
        self.members[n].now = self.now;
        let before = self.members[n].last();
        let (sent_messages, done) = self.members[n].take(input);
        let checked = self.observations.check(&self.members, n, before);
        if let Err(violation) = checked.and_then(|()| self.observations.record(&self.members[n], &done)) {
            panic!("{violation:?} at {} ms by {}", self.now / MS, self.members[n].id);
        }
        self.committed += done.iter().filter(|o| matches!(o, Output::Apply { .. })).count() as u64;
        self.members[n].compact(self.compact);
        sent_messages.into_iter().for_each(|message| self.send(message));
    }

    fn send(&mut self, message: Message) {
        let link = (message.from.name.clone(), message.to.name.clone());
        if self.partitions.contains(&link) {
            return;
        }
        let size = bytes(&message);
        *self.sent.entry(link.1.clone()).or_default() += size;
        let free = self.busy.get(&link).copied().unwrap_or(0).max(self.now);
        let free = free + self.slow.get(&link).map_or(0, |rate| size * 1000 * MS / rate);
        self.busy.insert(link, free);
        // In order on each link.
        let at = free + 2 * MS;
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.in_flight.insert(self.next, message);
    }

    /// So many milliseconds go by.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while self.now < end {
            self.now += STEP;
            while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
                let Some(Reverse((_, key))) = self.queue.pop() else { break };
                let Some(message) = self.in_flight.remove(&key) else { continue };
                let link = (message.from.name.clone(), message.to.name.clone());
                let to = self.members.iter().position(|m| m.id.name == message.to.name);
                if let Some(to) = to.filter(|_| !self.partitions.contains(&link)) {
                    self.take(to, Input::Message(message));
                }
            }
            for n in 0..self.members.len() {
                if self.members[n].core.as_ref().is_some_and(|c| c.next_due() <= self.now) {
                    self.take(n, Input::Tick);
                }
            }
            if self.now.is_multiple_of(500 * MS) {
                self.send_join_requests();
            }
            if self.every > 0 && self.now.is_multiple_of(self.every) {
                self.propose();
            }
        }
    }

    /// A command is proposed to whoever leads.
    pub fn propose(&mut self) {
        let Some(n) = self.leader().map(|l| self.at(&l.id.name)) else { return };
        self.next += 1;
        let mut command = vec![0; self.size];
        command[..8].copy_from_slice(&self.next.to_be_bytes());
        self.take(n, Input::Propose { tag: 0, command });
    }

    fn send_join_requests(&mut self) {
        let up: Vec<NodeId> =
            self.members.iter().filter(|m| m.core.is_some()).map(|m| m.id.clone()).collect();
        for from in &up {
            for to in &up {
                let link = (from.name.clone(), to.name.clone());
                if from.name != to.name && !self.partitions.contains(&link) {
                    let n = self.at(&to.name);
                    self.take(n, Input::Join { id: from.clone(), wants_vote: true });
                }
            }
        }
    }

    /// Something new is agreed on within so many milliseconds.
    pub fn commits_within(&mut self, ms: u64) -> bool {
        let before = self.observations.newest();
        for _ in 0..ms / 100 {
            self.propose();
            self.run(100);
            if self.observations.newest() > before {
                return true;
            }
        }
        false
    }
}

//! Small worlds explored whole: three voters and a newcomer, each order in which messages come or are lost for good, with so
//! many elections, changes, exchanges, wipes and restarts. Chance and clocks are left out: a node starts an election
//! at the worst moment. The rules are looked at after each step.

mod common;

use common::{id, Member, Observations, Violation, MS};
use consensus::{Defect, Input, Message, MessageBody, NodeId, VoterSet};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// How often each may happen in a world.
#[derive(Clone, Copy, Debug, Hash)]
struct Budget {
    elections: u8,
    changes: u8,
    join_requests: u8,
    leaves: u8,
    wipes: u8,
    restarts: u8,
    heartbeats: u8,
}

#[derive(Clone)]
struct World {
    /// Each with its digest; those of other worlds are shared.
    members: Vec<Arc<Member>>,
    digests: Vec<u64>,
    /// What is under way from one to another, in order.
    links: BTreeMap<(usize, usize), VecDeque<DigestedMessage>>,
    left: Budget,
    observations: Arc<Observations>,
    /// A defect: who loses its disk comes back as the voter that it was.
    wiped_votes: bool,
    /// Who may stand for election.
    candidates: &'static [usize],
}

/// A message, and its digest.
type DigestedMessage = (u64, Arc<Message>);

#[derive(Clone, Debug)]
enum Step {
    /// What is under way on this link comes; what is answered comes back at once, or never. That some of it comes later is
    /// the same as that the rest of it was sent later.
    Deliver(usize, usize, bool),
    StartElection(usize),
    Propose(usize),
    RequestJoin(usize, usize),
    Leave(usize, usize),
    Wipe(usize),
    Restart(usize),
    Heartbeat(usize),
}

fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Rounds tell times alone, which are left out here.
fn digested(message: Message) -> DigestedMessage {
    let mut plain = message.clone();
    match &mut plain.body {
        MessageBody::AppendEntries { round, .. }
        | MessageBody::AppendAccepted { round, .. }
        | MessageBody::AppendRejected { round, .. }
        | MessageBody::Chunk { round, .. }
        | MessageBody::ChunkReceived { round, .. } => *round = 0,
        _ => {}
    }
    (digest(&plain), Arc::new(message))
}

impl World {
    /// Three voters that have bootstrapped, the first of which leads, and a newcomer with an empty disk.
    fn new(left: Budget, defect: Option<Defect>) -> Self {
        let names = ["a", "b", "c", "d"];
        let member = |(n, name): (usize, &&str)| Member::new(id(name, n as u64 + 1), 0, n as u64, defect);
        let members: Vec<_> = names.iter().enumerate().map(member).map(Arc::new).collect();
        let (digests, links) = (vec![0; members.len()], BTreeMap::new());
        let mut world = World {
            members,
            digests,
            links,
            left,
            observations: Arc::default(),
            wiped_votes: false,
            candidates: &[0, 1, 2, 3],
        };
        let voters: VoterSet = (0..3).map(|n| (names[n].to_string(), n as u64 + 1)).collect();
        for n in 0..3 {
            world.take(n, Input::Bootstrap { voters: voters.clone() }).expect("nothing is wrong yet");
        }
        while let Some((from, to)) = world.links.keys().next().copied() {
            world.execute(&Step::Deliver(from, to, true)).expect("nothing is wrong yet");
        }
        assert!(world.members[0].is_leader());
        world
    }

    /// The newcomer has caught up, and waits.
    fn with_a_waiting_node(left: Budget, defect: Option<Defect>) -> Self {
        let mut world = World::new(Budget { join_requests: 1, ..left }, defect);
        world.execute(&Step::RequestJoin(0, 3)).expect("nothing is wrong yet");
        while let Some((from, to)) = world.links.keys().next().copied() {
            world.execute(&Step::Deliver(from, to, true)).expect("nothing is wrong yet");
        }
        world.left = left;
        world
    }

    /// An answer comes.
    fn deliver_response(&mut self, message: Message) -> Result<(), Violation> {
        let to = self.members.iter().position(|m| m.id == message.to);
        to.map_or(Ok(()), |n| self.take(n, Input::Message(message)).map(drop))
    }

    /// What it sends: requests are under way then, answers are given back.
    fn take(&mut self, n: usize, input: Input) -> Result<Vec<Message>, Violation> {
        let mut answers = Vec::new();
        let before = self.members[n].last();
        let (sent_messages, done) = Arc::make_mut(&mut self.members[n]).take(input);
        self.changed(n);
        for message in sent_messages {
            let is_answer = matches!(
                message.body,
                MessageBody::AppendAccepted { .. }
                    | MessageBody::AppendRejected { .. }
                    | MessageBody::ChunkReceived { .. }
                    | MessageBody::VoteResponse { .. }
            );
            if is_answer {
                answers.push(message);
                continue;
            }
            // What is meant for a disk that is gone is nobody's.
            if let Some(to) = self.members.iter().position(|m| m.id == message.to) {
                self.links.entry((n, to)).or_default().push_back(digested(message));
            }
        }
        self.observations.check(&self.members, n, before)?;
        if self.observations.is_new(&self.members[n], &done) {
            Arc::make_mut(&mut self.observations).record(&self.members[n], &done)?;
        }
        // What nobody would do anything about any more.
        let term = self.members[n].core.as_ref().map_or(0, |c| c.term());
        self.links.retain(|(_, to), lines| {
            if *to == n {
                lines.retain(|(_, message)| message.term >= term);
            }
            !lines.is_empty()
        });
        Ok(answers)
    }

    fn steps(&self) -> Vec<Step> {
        let left = &self.left;
        let mut steps = Vec::new();
        for ((from, to), lines) in &self.links {
            steps.push(Step::Deliver(*from, *to, true));
            // Whether a pulse is answered tells of times alone.
            let is_heartbeat = |m: &Message| matches!(&m.body, MessageBody::AppendEntries { entries, .. } if entries.is_empty());
            if !lines.iter().all(|(_, m)| is_heartbeat(m)) {
                steps.push(Step::Deliver(*from, *to, false));
            }
        }
        for (n, member) in self.members.iter().enumerate() {
            let Some(core) = &member.core else { continue };
            let voter = core.voters().get(&member.id.name) == Some(&member.id.disk_id);
            if core.is_leader() {
                steps.extend((left.changes > 0).then_some(Step::Propose(n)));
                steps.extend((left.heartbeats > 0).then_some(Step::Heartbeat(n)));
                for m in (0..self.members.len()).filter(|m| *m != n) {
                    let known =
                        core.voters().get(&self.members[m].id.name) == Some(&self.members[m].id.disk_id);
                    steps.extend((left.join_requests > 0 && !known).then_some(Step::RequestJoin(n, m)));
                    // The second and the third are alike.
                    steps.extend((left.leaves > 0 && known && m != 1).then_some(Step::Leave(n, m)));
                }
            } else if voter {
                let may_campaign = left.elections > 0 && self.candidates.contains(&n);
                steps.extend(may_campaign.then_some(Step::StartElection(n)));
            }
            steps.extend((left.wipes > 0 && voter).then_some(Step::Wipe(n)));
            steps.extend((left.restarts > 0).then_some(Step::Restart(n)));
        }
        steps
    }

    fn execute(&mut self, step: &Step) -> Result<(), Violation> {
        match *step {
            Step::Deliver(from, to, answered) => {
                let lines = self.links.remove(&(from, to)).unwrap_or_default();
                let mut answers = Vec::new();
                for (_, message) in lines {
                    answers.extend(self.take(to, Input::Message(Message::clone(&message)))?);
                }
                answers.into_iter().filter(|_| answered).try_for_each(|answer| self.deliver_response(answer))
            }
            // Nothing is more daring than to stand at once and to be heard by all, as who is named may.
            Step::StartElection(n) => {
                self.left.elections -= 1;
                let to = self.members[n].id.clone();
                let term = self.members[n].core.as_ref().map_or(0, |c| c.term());
                let from = NodeId { name: "-".into(), disk_id: 0 };
                self.take(n, Input::Message(Message { from, to, term, body: MessageBody::TimeoutNow }))
                    .map(drop)
            }
            Step::Propose(n) => {
                self.left.changes -= 1;
                let command = vec![self.left.changes];
                self.take(n, Input::Propose { tag: 0, command }).map(drop)
            }
            Step::RequestJoin(n, m) => {
                self.left.join_requests -= 1;
                let id = self.members[m].id.clone();
                self.take(n, Input::Join { id, wants_vote: true })?;
                self.send_heartbeat(n)
            }
            Step::Leave(n, m) => {
                self.left.leaves -= 1;
                let (from, to) = (self.members[m].id.clone(), self.members[n].id.clone());
                let term = self.members[n].core.as_ref().map_or(0, |c| c.term());
                self.take(n, Input::Message(Message { from, to, term, body: MessageBody::LeaveRequest }))
                    .map(drop)
            }
            Step::Wipe(n) => {
                self.left.wipes -= 1;
                let (mut new, now) = (self.members[n].id.clone(), self.members[n].now);
                if !self.wiped_votes {
                    new.disk_id += 10;
                }
                let defect = None;
                self.members[n] = Arc::new(Member::new(new, now, 9, defect));
                self.links.retain(|(_, to), _| *to != n);
                self.changed(n);
                Ok(())
            }
            Step::Restart(n) => {
                self.left.restarts -= 1;
                let member = Arc::make_mut(&mut self.members[n]);
                member.now += 600 * MS;
                member.start(7, None);
                self.changed(n);
                Ok(())
            }
            Step::Heartbeat(n) => {
                self.left.heartbeats -= 1;
                self.send_heartbeat(n)
            }
        }
    }

    /// The clocks of a leader go on by a round, others' stand still.
    fn send_heartbeat(&mut self, n: usize) -> Result<(), Violation> {
        Arc::make_mut(&mut self.members[n]).now += consensus::HEARTBEAT_INTERVAL;
        self.take(n, Input::Tick).map(drop)
    }

    fn changed(&mut self, n: usize) {
        let mut hasher = DefaultHasher::new();
        self.members[n].digest(&mut hasher);
        self.digests[n] = hasher.finish();
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.digests.hash(&mut hasher);
        for (link, lines) in &self.links {
            link.hash(&mut hasher);
            lines.iter().for_each(|l| l.0.hash(&mut hasher));
        }
        (self.left, &self.observations).hash(&mut hasher);
        hasher.finish()
    }
}

/// The leader has begun to exchange the third for the newcomer.
fn during_replacement(left: Budget, defect: Option<Defect>) -> World {
    let mut world = World::with_a_waiting_node(Budget { leaves: 1, ..left }, defect);
    world.execute(&Step::Leave(0, 2)).expect("nothing is wrong yet");
    world
}

/// All worlds that can come of this one, or the first that breaks a rule. How many there were.
fn explore(first: World, most: usize) -> Result<usize, (Violation, Vec<Step>)> {
    let left = first.left;
    let mut known = HashSet::from([first.digest()]);
    let mut next = VecDeque::from([(first, 0usize)]);
    // Where each world came from, to tell the story.
    let mut predecessors: Vec<(usize, Step)> = vec![(0, Step::Heartbeat(0))];
    while let Some((world, at)) = next.pop_front() {
        for step in world.steps() {
            let mut new = world.clone();
            if let Err(violation) = new.execute(&step) {
                let (mut story, mut at) = (vec![step], at);
                while at > 0 {
                    story.push(predecessors[at].1.clone());
                    at = predecessors[at].0;
                }
                story.reverse();
                return Err((violation, story));
            }
            if known.insert(new.digest()) {
                predecessors.push((at, step));
                next.push_back((new, predecessors.len() - 1));
            }
        }
        assert!(known.len() <= most, "more than {most} worlds, of {left:?}");
    }
    Ok(known.len())
}

const NO_EVENTS: Budget =
    Budget { elections: 0, changes: 0, join_requests: 0, leaves: 0, wipes: 0, restarts: 0, heartbeats: 0 };
/// So many worlds take some 25 seconds of a processor.
const MAX_WORLDS: usize = 400_000;

fn explore_all(first: World) {
    let (began, left) = (std::time::Instant::now(), first.left);
    match explore(first, MAX_WORLDS) {
        Ok(count) => println!("{count} worlds in {:?}: {left:?}", began.elapsed()),
        Err((violation, story)) => panic!("{violation:?}: {story:#?}"),
    }
}

/// The rule that a planted defect breaks.
fn first_violation(first: World) -> Option<Violation> {
    explore(first, MAX_WORLDS).err().map(|(violation, _)| violation)
}

#[test]
fn two_elections_and_a_change() {
    explore_all(World::new(Budget { elections: 2, changes: 1, ..NO_EVENTS }, None));
}

#[test]
fn learner_replaces_a_leaving_voter_during_a_change() {
    explore_all(World::new(Budget { join_requests: 1, leaves: 1, changes: 1, ..NO_EVENTS }, None));
}

#[test]
fn waiting_node_replaces_a_leaving_voter_during_two_changes() {
    explore_all(World::with_a_waiting_node(Budget { leaves: 1, changes: 2, ..NO_EVENTS }, None));
}

#[test]
fn waiting_node_replaces_a_leaving_voter_during_an_election() {
    explore_all(World::with_a_waiting_node(Budget { leaves: 1, elections: 1, ..NO_EVENTS }, None));
}

#[test]
fn replacement_continues_during_a_change_and_an_election() {
    let mut world = during_replacement(Budget { elections: 1, changes: 1, ..NO_EVENTS }, None);
    world.candidates = &[2, 3];
    explore_all(world);
}

#[test]
fn replacement_continues_during_two_elections() {
    let mut world = during_replacement(Budget { elections: 2, ..NO_EVENTS }, None);
    // The leaving voter, and its replacement.
    world.candidates = &[2, 3];
    explore_all(world);
}

#[test]
fn disk_lost_during_a_change_and_an_election() {
    explore_all(World::new(Budget { wipes: 1, elections: 1, changes: 1, ..NO_EVENTS }, None));
}

#[test]
fn disk_lost_right_after_a_replacement() {
    explore_all(World::with_a_waiting_node(Budget { leaves: 1, wipes: 1, elections: 1, ..NO_EVENTS }, None));
}

#[test]
fn each_node_restarts_at_the_worst_moment() {
    let mut world = during_replacement(Budget { restarts: 1, elections: 1, ..NO_EVENTS }, None);
    world.candidates = &[2, 3];
    explore_all(world);
}

#[test]
fn every_planted_defect_is_found() {
    for defect in Defect::ALL {
        let left = Budget { leaves: 1, elections: 2, changes: 1, ..NO_EVENTS };
        let violation = first_violation(World::with_a_waiting_node(left, Some(defect)));
        println!("{}: {violation:?}", defect.name());
        assert!(violation.is_some(), "{}", defect.name());
    }
    let mut world = World::new(Budget { wipes: 1, elections: 2, changes: 1, ..NO_EVENTS }, None);
    world.wiped_votes = true;
    let violation = first_violation(world);
    println!("wiped-votes: {violation:?}");
    assert!(violation.is_some(), "wiped-votes");
}

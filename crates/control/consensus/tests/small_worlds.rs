//! Exhaustive exploration (bounded model checking) of small clusters: three voters and a node with an empty
//! disk, every order in which messages are delivered or lost, and a bounded number of elections, proposals,
//! voter replacements, disk losses and restarts. Randomness and clocks are excluded: a node may start an
//! election at any moment. The safety invariants are checked after each step.

mod common;

use common::{id, Member, Observations, Violation, MS};
use consensus::{Defect, Input, Message, MessageBody, NodeId, VoterSet};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Number of times that each kind of step may still happen.
#[derive(Clone, Copy, Debug, Hash)]
struct Budget {
    elections: u8,
    /// Proposed commands.
    changes: u8,
    join_requests: u8,
    /// Leave requests of voters.
    leaves: u8,
    /// Lost disks.
    wipes: u8,
    restarts: u8,
    heartbeats: u8,
}

#[derive(Clone)]
struct ClusterState {
    /// The members. Unchanged members are shared with other states; `digests` has a digest of each.
    members: Vec<Arc<Member>>,
    digests: Vec<u64>,
    /// Messages in flight on each link from sender to recipient, in order.
    links: BTreeMap<(usize, usize), VecDeque<DigestedMessage>>,
    budget: Budget,
    observations: Arc<Observations>,
    /// A planted defect: a node that lost its disk returns with the same disk id, and thus still counts as a voter.
    wiped_votes: bool,
    /// Members that may start an election.
    candidates: &'static [usize],
}

/// The digest of a message, and the message.
type DigestedMessage = (u64, Arc<Message>);

#[derive(Clone, Debug)]
enum Step {
    /// Delivers all messages in flight on a link from sender to recipient. The responses are delivered
    /// immediately if the flag is set, and lost otherwise. Later delivery of some messages is equivalent to
    /// later sending of them.
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

/// Computes the digest without the heartbeat round, which only matters for times.
fn with_digest(message: Message) -> DigestedMessage {
    let mut without_round = message.clone();
    match &mut without_round.body {
        MessageBody::AppendEntries { round, .. }
        | MessageBody::AppendAccepted { round, .. }
        | MessageBody::AppendRejected { round, .. }
        | MessageBody::Chunk { round, .. }
        | MessageBody::ChunkReceived { round, .. } => *round = 0,
        _ => {}
    }
    (digest(&without_round), Arc::new(message))
}

impl ClusterState {
    /// Creates three bootstrapped voters, of which the first is the leader, and a node with an empty disk.
    fn new(budget: Budget, defect: Option<Defect>) -> Self {
        let names = ["a", "b", "c", "d"];
        let member = |(n, name): (usize, &&str)| Member::new(id(name, n as u64 + 1), 0, n as u64, defect);
        let members: Vec<_> = names.iter().enumerate().map(member).map(Arc::new).collect();
        let (digests, links) = (vec![0; members.len()], BTreeMap::new());
        let mut state = ClusterState {
            members,
            digests,
            links,
            budget,
            observations: Arc::default(),
            wiped_votes: false,
            candidates: &[0, 1, 2, 3],
        };
        let voters: VoterSet = (0..3).map(|n| (names[n].to_string(), n as u64 + 1)).collect();
        for n in 0..3 {
            state.handle(n, Input::Bootstrap { voters: voters.clone() }).expect("violation during setup");
        }
        while let Some((from, to)) = state.links.keys().next().copied() {
            state.execute(&Step::Deliver(from, to, true)).expect("violation during setup");
        }
        assert!(state.members[0].is_leader());
        state
    }

    /// Creates a state in which the fourth node has caught up as a learner and waits to become a voter.
    fn with_a_waiting_node(budget: Budget, defect: Option<Defect>) -> Self {
        let mut state = ClusterState::new(Budget { join_requests: 1, ..budget }, defect);
        state.execute(&Step::RequestJoin(0, 3)).expect("violation during setup");
        while let Some((from, to)) = state.links.keys().next().copied() {
            state.execute(&Step::Deliver(from, to, true)).expect("violation during setup");
        }
        state.budget = budget;
        state
    }

    /// Delivers a response.
    fn deliver_response(&mut self, message: Message) -> Result<(), Violation> {
        let to = self.members.iter().position(|m| m.id == message.to);
        to.map_or(Ok(()), |n| self.handle(n, Input::Message(message)).map(drop))
    }

    /// Handles an input. Puts the member's requests in flight, and returns its responses.
    fn handle(&mut self, n: usize, input: Input) -> Result<Vec<Message>, Violation> {
        let mut responses = Vec::new();
        let last_index_before = self.members[n].last_index();
        let (sent_messages, outputs) = Arc::make_mut(&mut self.members[n]).handle(input);
        self.update_digest(n);
        for message in sent_messages {
            let is_response = matches!(
                message.body,
                MessageBody::AppendAccepted { .. }
                    | MessageBody::AppendRejected { .. }
                    | MessageBody::ChunkReceived { .. }
                    | MessageBody::VoteResponse { .. }
            );
            if is_response {
                responses.push(message);
                continue;
            }
            // A message to a lost disk has no recipient.
            if let Some(to) = self.members.iter().position(|m| m.id == message.to) {
                self.links.entry((n, to)).or_default().push_back(with_digest(message));
            }
        }
        self.observations.check(&self.members, n, last_index_before)?;
        if self.observations.is_new(&self.members[n], &outputs) {
            Arc::make_mut(&mut self.observations).record(&self.members[n], &outputs)?;
        }
        // Messages of earlier terms have no effect any more.
        let term = self.members[n].node.as_ref().map_or(0, |node| node.term());
        self.links.retain(|(_, to), messages| {
            if *to == n {
                messages.retain(|(_, message)| message.term >= term);
            }
            !messages.is_empty()
        });
        Ok(responses)
    }

    fn steps(&self) -> Vec<Step> {
        let budget = &self.budget;
        let mut steps = Vec::new();
        for ((from, to), messages) in &self.links {
            steps.push(Step::Deliver(*from, *to, true));
            // Whether a heartbeat is answered only matters for times.
            let is_heartbeat = |m: &Message| matches!(&m.body, MessageBody::AppendEntries { entries, .. } if entries.is_empty());
            if !messages.iter().all(|(_, m)| is_heartbeat(m)) {
                steps.push(Step::Deliver(*from, *to, false));
            }
        }
        for (n, member) in self.members.iter().enumerate() {
            let Some(node) = &member.node else { continue };
            let is_voter = node.voters().get(&member.id.name) == Some(&member.id.disk_id);
            if node.is_leader() {
                steps.extend((budget.changes > 0).then_some(Step::Propose(n)));
                steps.extend((budget.heartbeats > 0).then_some(Step::Heartbeat(n)));
                for m in (0..self.members.len()).filter(|m| *m != n) {
                    let is_known_voter =
                        node.voters().get(&self.members[m].id.name) == Some(&self.members[m].id.disk_id);
                    steps.extend(
                        (budget.join_requests > 0 && !is_known_voter).then_some(Step::RequestJoin(n, m)),
                    );
                    // The second and the third member are equivalent.
                    steps
                        .extend((budget.leaves > 0 && is_known_voter && m != 1).then_some(Step::Leave(n, m)));
                }
            } else if is_voter {
                let may_campaign = budget.elections > 0 && self.candidates.contains(&n);
                steps.extend(may_campaign.then_some(Step::StartElection(n)));
            }
            steps.extend((budget.wipes > 0 && is_voter).then_some(Step::Wipe(n)));
            steps.extend((budget.restarts > 0).then_some(Step::Restart(n)));
        }
        steps
    }

    fn execute(&mut self, step: &Step) -> Result<(), Violation> {
        match *step {
            Step::Deliver(from, to, deliver_responses) => {
                let messages = self.links.remove(&(from, to)).unwrap_or_default();
                let mut responses = Vec::new();
                for (_, message) in messages {
                    responses.extend(self.handle(to, Input::Message(Message::clone(&message)))?);
                }
                responses
                    .into_iter()
                    .filter(|_| deliver_responses)
                    .try_for_each(|response| self.deliver_response(response))
            }
            // TimeoutNow is the least restricted way to campaign: at once and without pre-vote, and other
            // nodes respond even if they are in contact with the leader.
            Step::StartElection(n) => {
                self.budget.elections -= 1;
                let to = self.members[n].id.clone();
                let term = self.members[n].node.as_ref().map_or(0, |node| node.term());
                let from = NodeId { name: "-".into(), disk_id: 0 };
                self.handle(n, Input::Message(Message { from, to, term, body: MessageBody::TimeoutNow }))
                    .map(drop)
            }
            Step::Propose(n) => {
                self.budget.changes -= 1;
                let command = vec![self.budget.changes];
                self.handle(n, Input::Propose { tag: 0, command }).map(drop)
            }
            Step::RequestJoin(n, m) => {
                self.budget.join_requests -= 1;
                let id = self.members[m].id.clone();
                self.handle(n, Input::Join { id, wants_vote: true })?;
                self.send_heartbeat(n)
            }
            Step::Leave(n, m) => {
                self.budget.leaves -= 1;
                let (from, to) = (self.members[m].id.clone(), self.members[n].id.clone());
                let term = self.members[n].node.as_ref().map_or(0, |node| node.term());
                self.handle(n, Input::Message(Message { from, to, term, body: MessageBody::LeaveRequest }))
                    .map(drop)
            }
            Step::Wipe(n) => {
                self.budget.wipes -= 1;
                let (mut new, now) = (self.members[n].id.clone(), self.members[n].now);
                if !self.wiped_votes {
                    new.disk_id += 10;
                }
                let defect = None;
                self.members[n] = Arc::new(Member::new(new, now, 9, defect));
                self.links.retain(|(_, to), _| *to != n);
                self.update_digest(n);
                Ok(())
            }
            Step::Restart(n) => {
                self.budget.restarts -= 1;
                let member = Arc::make_mut(&mut self.members[n]);
                member.now += 600 * MS;
                member.start(7, None);
                self.update_digest(n);
                Ok(())
            }
            Step::Heartbeat(n) => {
                self.budget.heartbeats -= 1;
                self.send_heartbeat(n)
            }
        }
    }

    /// Advances the leader's clock by one heartbeat interval and lets it send a heartbeat. Other clocks do
    /// not advance.
    fn send_heartbeat(&mut self, n: usize) -> Result<(), Violation> {
        Arc::make_mut(&mut self.members[n]).now += consensus::HEARTBEAT_INTERVAL;
        self.handle(n, Input::Tick).map(drop)
    }

    fn update_digest(&mut self, n: usize) {
        let mut hasher = DefaultHasher::new();
        self.members[n].digest(&mut hasher);
        self.digests[n] = hasher.finish();
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.digests.hash(&mut hasher);
        for (link, messages) in &self.links {
            link.hash(&mut hasher);
            messages.iter().for_each(|message| message.0.hash(&mut hasher));
        }
        (self.budget, &self.observations).hash(&mut hasher);
        hasher.finish()
    }
}

/// Creates a state in which the leader has started to replace the third voter by the waiting node.
fn during_replacement(budget: Budget, defect: Option<Defect>) -> ClusterState {
    let mut state = ClusterState::with_a_waiting_node(Budget { leaves: 1, ..budget }, defect);
    state.execute(&Step::Leave(0, 2)).expect("violation during setup");
    state
}

/// Explores all states reachable from `first`. Returns their number, or the first violation with the steps
/// that lead to it.
fn explore(first: ClusterState, max_states: usize) -> Result<usize, (Violation, Vec<Step>)> {
    let budget = first.budget;
    let mut visited = HashSet::from([first.digest()]);
    let mut pending = VecDeque::from([(first, 0usize)]);
    // Predecessor of each state, from which the trace to a violation is built.
    let mut predecessors: Vec<(usize, Step)> = vec![(0, Step::Heartbeat(0))];
    while let Some((state, state_index)) = pending.pop_front() {
        for step in state.steps() {
            let mut new = state.clone();
            if let Err(violation) = new.execute(&step) {
                let (mut trace, mut index) = (vec![step], state_index);
                while index > 0 {
                    trace.push(predecessors[index].1.clone());
                    index = predecessors[index].0;
                }
                trace.reverse();
                return Err((violation, trace));
            }
            if visited.insert(new.digest()) {
                predecessors.push((state_index, step));
                pending.push_back((new, predecessors.len() - 1));
            }
        }
        assert!(visited.len() <= max_states, "more than {max_states} states for {budget:?}");
    }
    Ok(visited.len())
}

const NO_EVENTS: Budget =
    Budget { elections: 0, changes: 0, join_requests: 0, leaves: 0, wipes: 0, restarts: 0, heartbeats: 0 };
/// This many states take about 25 seconds of CPU time.
const MAX_STATES: usize = 400_000;

fn explore_all(first: ClusterState) {
    let (started, budget) = (std::time::Instant::now(), first.budget);
    match explore(first, MAX_STATES) {
        Ok(count) => println!("{count} states in {:?}: {budget:?}", started.elapsed()),
        Err((violation, trace)) => panic!("{violation:?}: {trace:#?}"),
    }
}

/// Returns the invariant that a planted defect violates, if any.
fn first_violation(first: ClusterState) -> Option<Violation> {
    explore(first, MAX_STATES).err().map(|(violation, _)| violation)
}

#[test]
fn two_elections_and_a_change() {
    explore_all(ClusterState::new(Budget { elections: 2, changes: 1, ..NO_EVENTS }, None));
}

#[test]
fn learner_replaces_a_leaving_voter_during_a_change() {
    explore_all(ClusterState::new(Budget { join_requests: 1, leaves: 1, changes: 1, ..NO_EVENTS }, None));
}

#[test]
fn waiting_node_replaces_a_leaving_voter_during_two_changes() {
    explore_all(ClusterState::with_a_waiting_node(Budget { leaves: 1, changes: 2, ..NO_EVENTS }, None));
}

#[test]
fn waiting_node_replaces_a_leaving_voter_during_an_election() {
    explore_all(ClusterState::with_a_waiting_node(Budget { leaves: 1, elections: 1, ..NO_EVENTS }, None));
}

#[test]
fn replacement_continues_during_a_change_and_an_election() {
    let mut state = during_replacement(Budget { elections: 1, changes: 1, ..NO_EVENTS }, None);
    state.candidates = &[2, 3];
    explore_all(state);
}

#[test]
fn replacement_continues_during_two_elections() {
    let mut state = during_replacement(Budget { elections: 2, ..NO_EVENTS }, None);
    // The leaving voter and its replacement.
    state.candidates = &[2, 3];
    explore_all(state);
}

#[test]
fn disk_lost_during_a_change_and_an_election() {
    explore_all(ClusterState::new(Budget { wipes: 1, elections: 1, changes: 1, ..NO_EVENTS }, None));
}

#[test]
fn disk_lost_right_after_a_replacement() {
    explore_all(ClusterState::with_a_waiting_node(
        Budget { leaves: 1, wipes: 1, elections: 1, ..NO_EVENTS },
        None,
    ));
}

#[test]
fn each_node_restarts_at_the_worst_moment() {
    let mut state = during_replacement(Budget { restarts: 1, elections: 1, ..NO_EVENTS }, None);
    state.candidates = &[2, 3];
    explore_all(state);
}

#[test]
fn every_planted_defect_is_found() {
    for defect in Defect::ALL {
        let budget = Budget { leaves: 1, elections: 2, changes: 1, ..NO_EVENTS };
        let violation = first_violation(ClusterState::with_a_waiting_node(budget, Some(defect)));
        println!("{}: {violation:?}", defect.name());
        assert!(violation.is_some(), "{}", defect.name());
    }
    let mut state = ClusterState::new(Budget { wipes: 1, elections: 2, changes: 1, ..NO_EVENTS }, None);
    state.wiped_votes = true;
    let violation = first_violation(state);
    println!("wiped-votes: {violation:?}");
    assert!(violation.is_some(), "wiped-votes");
}

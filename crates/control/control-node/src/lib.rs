//! One prompter as a value: the agreement and its disk, the book, calls of operators and backends, gateways that follow, rights,
//! the founding. Whoever drives it hands in what came, when, and what the disk said, and carries out the [`Effect`]s: the
//! program with sockets, a disk and a clock, `rehearsal` with its own. No I/O. `docs/design/prompter.md`.
#![forbid(unsafe_code)]

mod backends;
mod board;
mod calls;
mod contact;
mod defect;
mod drains;
mod duty;
mod followers;
mod founder;
mod orders;
mod peers;
mod rights;
mod standing;
mod turns;

pub use defect::Defect;
pub use duty::Leadership;
pub use followers::UPDATE_INTERVAL;
pub use peers::HELLO_INTERVAL;
pub use turns::{StorageRequest, LONG_RUN_BYTES};

use board::ChangeFeed;
use bytes::Bytes;
use change_log::QuorumContact;
use consensus::{Input, NodeId, Output, PersistedState, RaftNode};
use control_state::{CommittedConfiguration, ControlState};
use drains::PendingDrain;
use followers::Subscriber;
use founder::Bootstrapper;
use messages::message::{ControlMessage, GatewayUpdate};
use orders::Changes;
use quota::LeaseGrant;
use registry::{Heartbeat, ZoneRegistry};
use rights::QuotaState;
use std::collections::BTreeMap;
use std::sync::Arc;
use trial::{TenantTerms, UnixMillis};
use turns::PersistenceQueue;

/// Nanoseconds on the driver's steady clock.
pub type Time = consensus::Time;
pub(crate) const MS: Time = 1_000_000;

/// What a prompter is told at its start.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub id: NodeId,
    pub zone: String,
    /// It has a disk, and so a vote.
    pub can_vote: bool,
    /// The whole system starts for the first time.
    pub initial_start: bool,
    /// Addresses of prompters.
    pub seeds: Vec<String>,
    /// How often a backend is heard.
    pub heartbeat_interval: Time,
    /// What a configuration says of tenants.
    pub read_terms: fn(&[u8]) -> TenantTerms,
    /// Chance: of the agreement's time-outs, and this life's number.
    pub seed: u64,
}

/// What the driver is to do, in order.
#[derive(Debug)]
pub enum Effect {
    /// To another prompter, if there is a link and room on it: it may be lost.
    SendToNode { to: String, message: ControlMessage },
    /// The same to each prompter that there is a link to.
    Broadcast { message: ControlMessage },
    /// To a gateway that follows, if there is room: it may be lost.
    SendToGateway { gateway: String, update: GatewayUpdate },
    /// This gateway's link may have something to tell: [`Prompter::part`].
    ChunkWindowOpened { gateway: String },
    /// All who follow look again: [`Prompter::news`].
    NotifySubscribers,
    /// To the disk, if there is one; [`Prompter::written`] tells what came of it. One at a time.
    Persist { request: u64, work: StorageRequest },
    /// Whether this configuration is sound is wanted: [`Prompter::checked`].
    Validate { change: u64, body: Bytes },
    /// A call's answer.
    Reply { call: u64, reply: Reply },
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// It was taken, now or earlier.
    Acknowledged,
    /// Another version is current.
    Conflict { current: u32 },
    /// It is not sound, for this reason.
    Invalid(control_state::InvalidChange),
    /// What stands.
    Current(Option<Arc<CommittedConfiguration>>),
    /// This prompter leads.
    Redirect(String),
    /// Nobody can say now: another may.
    Unavailable,
}

/// What was applied, for whoever plays it.
#[cfg(feature = "simulation")]
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedRecord {
    Command(control_state::LogIndex, Vec<u8>),
    /// The book as a whole, as of this place.
    Snapshot(control_state::LogIndex),
}

pub struct ControlNode {
    config: NodeConfig,
    /// As of the latest call.
    now: Time,
    unix_ms: UnixMillis,
    raft: RaftNode,
    persistence: PersistenceQueue,
    leadership: Leadership,
    quorum_contact: QuorumContact,
    /// When the leader is asked for proof of contact next.
    next_contact_request: Time,
    state: ControlState,
    change_feed: ChangeFeed,
    registry: ZoneRegistry,
    /// When it was last looked at for those who are silent; when next.
    last_sweep: Time,
    next_sweep: Time,
    /// Beats heard first-hand since they were last passed on: those that say something new whole, of the others id and sequence.
    pending_heartbeats: (Vec<Heartbeat>, Vec<(String, u64)>),
    quota: QuotaState,
    /// Prompters that were ever heard of: names, and zones as far as they are known.
    known_nodes: BTreeMap<String, String>,
    bootstrapper: Option<Bootstrapper>,
    changes: Changes,
    drains: Vec<PendingDrain>,
    subscribers: BTreeMap<String, Subscriber>,
    last_link: u64,
    /// Told to end: when it says so again.
    next_leave_request: Option<Time>,
    effects: Vec<Effect>,
    #[cfg(feature = "simulation")]
    defect: Option<Defect>,
    /// What was applied, in order, since it was last taken.
    #[cfg(feature = "simulation")]
    pub applied_records: Vec<AppliedRecord>,
}

impl ControlNode {
    /// With what its disk held, and with backends as they were known before this process began.
    pub fn new(setup: NodeConfig, stored: PersistedState, cell: Vec<Heartbeat>, now: Time) -> Self {
        ControlNode::build(setup, stored, cell, now, None)
    }

    /// The same with a defect planted from the start.
    #[cfg(feature = "simulation")]
    pub fn with_defect(
        setup: NodeConfig,
        stored: PersistedState,
        cell: Vec<Heartbeat>,
        now: Time,
        defect: Option<Defect>,
    ) -> Self {
        ControlNode::build(setup, stored, cell, now, defect)
    }

    fn build(
        setup: NodeConfig,
        stored: PersistedState,
        lives: Vec<Heartbeat>,
        now: Time,
        _defect: Option<Defect>,
    ) -> Self {
        #[cfg(feature = "simulation")]
        let born = if _defect == Some(Defect::VoteRightAfterRestart) { 0 } else { now };
        #[cfg(not(feature = "simulation"))]
        let born = now;
        let mut core = RaftNode::new(setup.id.clone(), stored, setup.seed, born);
        // What was read is to be saved once before anything rests on it.
        core.handle(born, Input::StorageHealth { healthy: false }, &mut Vec::new());
        let mut known: BTreeMap<String, String> =
            setup.seeds.iter().map(|s| (s.clone(), String::new())).collect();
        known.insert(setup.id.name.clone(), setup.zone.clone());
        let mut prompter = ControlNode {
            now,
            unix_ms: 0,
            persistence: PersistenceQueue::new(now),
            leadership: Leadership::default(),
            quorum_contact: QuorumContact::default(),
            next_contact_request: now,
            state: ControlState::new(),
            change_feed: ChangeFeed::new(setup.seed),
            registry: ZoneRegistry::new(setup.heartbeat_interval, now),
            last_sweep: now,
            next_sweep: now,
            pending_heartbeats: Default::default(),
            quota: QuotaState::new(now),
            known_nodes: known,
            bootstrapper: Bootstrapper::new(&setup, now),
            changes: Changes::default(),
            drains: Vec::new(),
            subscribers: BTreeMap::new(),
            last_link: 0,
            next_leave_request: None,
            effects: Vec::new(),
            #[cfg(feature = "simulation")]
            defect: _defect,
            #[cfg(feature = "simulation")]
            applied_records: Vec::new(),
            raft: core,
            config: setup,
        };
        prompter.replay_log();
        for fact in lives {
            // Whatever it says itself counts more.
            prompter.registry.on_heartbeat(now, Heartbeat { sequence: 0, warmup_left_ms: 0, ..fact });
        }
        prompter.update_leadership();
        prompter
    }

    /// What the core knew at its start.
    fn replay_log(&mut self) {
        let snapshot = self.raft.snapshot().clone();
        if snapshot.index > 0 {
            self.install_snapshot(snapshot.index, &snapshot.state);
        }
        for output in self.raft.committed_outputs() {
            if let Output::Apply { index: place, command: word, .. } = output {
                self.apply_committed(place, &word);
            }
        }
    }

    /// Does what is due, and takes what waits for the agreement, unless that waits for the disk. `wall`: this machine's time of day.
    pub fn advance(&mut self, now: Time, wall: UnixMillis) {
        (self.now, self.unix_ms) = (now, wall);
        self.run_due_tasks();
        self.process_inputs();
    }

    /// When [`Prompter::work`] is next wanted.
    pub fn next_due(&self) -> Time {
        let turns = self.next_persistence_due();
        let calls = self.changes.next_due().min(self.next_drain_due());
        let founder = self.bootstrapper.as_ref().map_or(Time::MAX, Bootstrapper::next_due);
        let leaves = self.next_leave_request.unwrap_or(Time::MAX);
        turns
            .min(calls)
            .min(self.next_contact_request)
            .min(self.next_sweep)
            .min(self.quota.next_due())
            .min(founder)
            .min(leaves)
    }

    /// Something waits for the agreement, which could take it now.
    pub fn has_ready_input(&self) -> bool {
        self.persistence.has_ready_input()
    }

    fn run_due_tasks(&mut self) {
        self.request_contact();
        self.forward_heartbeats();
        self.expire_trials();
        self.try_bootstrap();
        self.repeat_leave_request();
        self.expire_calls_and_changes();
        self.retry_drains();
    }

    /// What is to be done about all that has come.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// This process is told to end: its duty is for another, and its vote if one waits for it. It says so again and again.
    pub fn begin_shutdown(&mut self, now: Time) {
        self.now = now;
        self.next_leave_request = Some(now);
    }

    fn repeat_leave_request(&mut self) {
        if self.next_leave_request.is_some_and(|at| at <= self.now) {
            self.next_leave_request = Some(self.now + duty::LEAVE_INTERVAL);
            self.enqueue(Input::Shutdown);
        }
    }

    // ---- What is known ----

    pub fn id(&self) -> &NodeId {
        &self.config.id
    }

    pub fn zone(&self) -> &str {
        &self.config.zone
    }

    pub fn state(&self) -> &ControlState {
        &self.state
    }

    pub fn registry(&self) -> &ZoneRegistry {
        &self.registry
    }

    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    pub fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// Prompters that are known, by address, each with its zone.
    pub fn known_nodes(&self) -> Vec<(String, String)> {
        self.known_nodes.iter().map(|(name, zone)| (name.clone(), zone.clone())).collect()
    }

    fn send_to(&mut self, to: &str, peer: ControlMessage) {
        self.effects.push(Effect::SendToNode { to: to.into(), message: peer });
    }

    fn send_grant(&mut self, gateway: &str, lent: LeaseGrant) {
        self.effects
            .push(Effect::SendToGateway { gateway: gateway.into(), update: GatewayUpdate::LeaseGrant(lent) });
    }
}

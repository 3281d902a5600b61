//! The node itself: what it knows, and what is due.

use crate::bootstrapper::Bootstrapper;
use crate::change_feed::ChangeFeed;
use crate::configuration_changes::Changes;
use crate::defect::Defect;
use crate::drains::PendingDrain;
use crate::effect::Effect;
use crate::heartbeats::PendingHeartbeats;
use crate::leadership::{Leadership, LEAVE_INTERVAL};
use crate::persistence::PersistenceQueue;
use crate::quota_grants::QuotaState;
use crate::subscribers::Subscriber;
use crate::Time;
use change_log::QuorumContact;
use consensus::{Input, NodeId, Output, PersistedState, RaftNode};
use control_state::ControlState;
use messages::{ControlMessage, GatewayUpdate};
use quota::LeaseGrant;
use registry::{Heartbeat, ZoneRegistry};
use std::collections::BTreeMap;
use trial::{TenantTerms, UnixMillis};

/// What a control node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Who it is.
    pub id: NodeId,
    /// Its zone.
    pub zone: String,
    /// It has a disk, and so may vote.
    pub can_vote: bool,
    /// This is the first start of the whole system.
    pub initial_start: bool,
    /// Names of control nodes.
    pub seeds: Vec<String>,
    /// Between two heartbeats of a backend.
    pub heartbeat_interval: Time,
    /// Reads what a configuration says of tenants.
    pub read_terms: fn(&[u8]) -> TenantTerms,
    /// How long a gateway's fallback share lasts without an answer: [`quota::FALLBACK_LIFETIME`], or less in a simulation.
    pub fallback_lifetime: Time,
    /// Random: of election time-outs, and of this process's change log.
    pub seed: u64,
}

/// One control node.
pub struct ControlNode {
    pub(crate) config: NodeConfig,
    /// As of the latest call.
    pub(crate) now: Time,
    /// This machine's time of day, as of the latest [`ControlNode::advance`].
    pub(crate) unix_ms: UnixMillis,
    pub(crate) raft: RaftNode,
    pub(crate) persistence: PersistenceQueue,
    pub(crate) leadership: Leadership,
    pub(crate) quorum_contact: QuorumContact,
    /// When the leader is next asked for proof of contact.
    pub(crate) next_contact_request: Time,
    pub(crate) state: ControlState,
    pub(crate) change_feed: ChangeFeed,
    pub(crate) registry: ZoneRegistry,
    /// When silent backends were last looked for.
    pub(crate) last_sweep: Time,
    pub(crate) next_sweep: Time,
    /// To be forwarded to the other control nodes.
    pub(crate) pending_heartbeats: PendingHeartbeats,
    pub(crate) quota: QuotaState,
    /// Control nodes that were ever heard of, each with its zone as far as that is known.
    pub(crate) known_nodes: BTreeMap<String, String>,
    /// At the first start alone.
    pub(crate) bootstrapper: Option<Bootstrapper>,
    pub(crate) changes: Changes,
    pub(crate) drains: Vec<PendingDrain>,
    pub(crate) subscribers: BTreeMap<String, Subscriber>,
    pub(crate) last_link: u64,
    /// At shutdown: when the leader is next asked to let this node leave.
    pub(crate) next_leave_request: Option<Time>,
    pub(crate) effects: Vec<Effect>,
    #[cfg(feature = "simulation")]
    pub(crate) defect: Option<Defect>,
    /// What was applied, in order, since this was last taken.
    #[cfg(feature = "simulation")]
    pub applied_records: Vec<crate::AppliedRecord>,
}

impl ControlNode {
    /// A node with what its disk held, and with backends as they were known before this process started.
    pub fn new(config: NodeConfig, stored: PersistedState, backends: Vec<Heartbeat>, now: Time) -> Self {
        ControlNode::build(config, stored, backends, now, None)
    }

    /// The same with a defect planted from the start.
    #[cfg(feature = "simulation")]
    pub fn with_defect(
        config: NodeConfig,
        stored: PersistedState,
        backends: Vec<Heartbeat>,
        now: Time,
        defect: Option<Defect>,
    ) -> Self {
        ControlNode::build(config, stored, backends, now, defect)
    }

    fn build(
        config: NodeConfig,
        stored: PersistedState,
        backends: Vec<Heartbeat>,
        now: Time,
        _defect: Option<Defect>,
    ) -> Self {
        #[cfg(feature = "simulation")]
        let raft_start = if _defect == Some(Defect::VoteRightAfterRestart) { 0 } else { now };
        #[cfg(not(feature = "simulation"))]
        let raft_start = now;
        let mut raft = RaftNode::new(config.id.clone(), stored, config.seed, raft_start);
        // What was read from the disk is written once before anything rests on it.
        raft.handle(raft_start, Input::StorageHealth { healthy: false }, &mut Vec::new());
        let mut known_nodes: BTreeMap<String, String> =
            config.seeds.iter().map(|seed| (seed.clone(), String::new())).collect();
        known_nodes.insert(config.id.name.clone(), config.zone.clone());
        let mut node = ControlNode {
            now,
            unix_ms: 0,
            persistence: PersistenceQueue::new(now),
            leadership: Leadership::default(),
            quorum_contact: QuorumContact::default(),
            next_contact_request: now,
            state: ControlState::new(),
            change_feed: ChangeFeed::new(config.seed),
            registry: ZoneRegistry::new(config.heartbeat_interval, now),
            last_sweep: now,
            next_sweep: now,
            pending_heartbeats: PendingHeartbeats::default(),
            quota: QuotaState::new(now),
            known_nodes,
            bootstrapper: Bootstrapper::new(&config, now),
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
            raft,
            config,
        };
        node.replay_log();
        for heartbeat in backends {
            // Whatever the backend says itself counts more.
            node.registry.on_heartbeat(now, Heartbeat { sequence: 0, warmup_left_ms: 0, ..heartbeat });
        }
        node.update_leadership();
        node
    }

    /// Applies what consensus knew to be committed at its start.
    fn replay_log(&mut self) {
        let snapshot = self.raft.snapshot().clone();
        if snapshot.index > 0 {
            self.install_snapshot(snapshot.index, &snapshot.state);
        }
        for output in self.raft.committed_outputs() {
            if let Output::Apply { index, term, command } = output {
                self.apply_committed(index, term, &command);
            }
        }
    }

    /// Does what is due, and processes what waits for consensus, unless that waits for storage. `unix_ms`: this machine's
    /// time of day.
    pub fn advance(&mut self, now: Time, unix_ms: UnixMillis) {
        (self.now, self.unix_ms) = (now, unix_ms);
        self.run_due_tasks();
        self.process_inputs();
    }

    /// When [`ControlNode::advance`] is next due.
    pub fn next_due(&self) -> Time {
        let bootstrap = self.bootstrapper.as_ref().map_or(Time::MAX, Bootstrapper::next_due);
        let due = [
            self.next_persistence_due(),
            self.changes.next_due(),
            self.next_drain_due(),
            self.next_contact_request,
            self.next_sweep,
            self.quota.next_due(),
            self.quota.next_removal_poll,
            self.quota.next_report,
            bootstrap,
            self.next_leave_request.unwrap_or(Time::MAX),
        ];
        due.into_iter().min().unwrap_or(Time::MAX)
    }

    /// Whether something waits for consensus that could be processed now.
    pub fn has_ready_input(&self) -> bool {
        self.persistence.has_ready_input()
    }

    fn run_due_tasks(&mut self) {
        self.request_contact();
        self.forward_heartbeats();
        self.expire_trials();
        self.remove_gone_gateways();
        self.report_quota();
        self.try_bootstrap();
        self.repeat_leave_request();
        self.expire_calls_and_changes();
        self.retry_drains();
    }

    /// What the driver is to do about all that has arrived.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// This process is to end: leadership goes to another node, and its voter's place if one waits for it.
    pub fn begin_shutdown(&mut self, now: Time) {
        self.now = now;
        self.next_leave_request = Some(now);
    }

    fn repeat_leave_request(&mut self) {
        if self.next_leave_request.is_some_and(|at| at <= self.now) {
            self.next_leave_request = Some(self.now + LEAVE_INTERVAL);
            self.enqueue(Input::Shutdown);
        }
    }

    /// Who it is.
    pub fn id(&self) -> &NodeId {
        &self.config.id
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.config.zone
    }

    /// The replicated state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The backends that it knows.
    pub fn registry(&self) -> &ZoneRegistry {
        &self.registry
    }

    /// Its part of the consensus group.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Who leads.
    pub fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// The control nodes that it knows, by name, each with its zone.
    pub fn known_nodes(&self) -> Vec<(String, String)> {
        self.known_nodes.iter().map(|(name, zone)| (name.clone(), zone.clone())).collect()
    }

    pub(crate) fn send_to(&mut self, to: &str, message: ControlMessage) {
        self.effects.push(Effect::SendToNode { to: to.into(), message });
    }

    pub(crate) fn send_grant(&mut self, gateway: &str, grant: LeaseGrant) {
        let update = GatewayUpdate::LeaseGrant(grant);
        self.effects.push(Effect::SendToGateway { gateway: gateway.into(), update });
    }

    /// Whether this defect was planted; never in what ships.
    pub(crate) fn has_defect(&self, _defect: Defect) -> bool {
        #[cfg(feature = "simulation")]
        return self.defect == Some(_defect);
        #[cfg(not(feature = "simulation"))]
        false
    }
}

//! The control node: its state, construction, timers and accessors.

use crate::bootstrapper::Bootstrapper;
use crate::change_feed::ChangeFeed;
use crate::configuration_changes::Changes;
use crate::defect::Defect;
use crate::drains::PendingDrain;
use crate::effect::Effect;
use crate::heartbeats::PendingHeartbeats;
use crate::known_nodes::KnownNodes;
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

/// Start parameters of a control node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name and disk id of this node.
    pub id: NodeId,
    /// Zone of this node.
    pub zone: String,
    /// Whether this node has a disk and so may become a voter.
    pub can_vote: bool,
    /// Whether this is the first start of the whole system.
    pub initial_start: bool,
    /// Names of the seed control nodes.
    pub seeds: Vec<String>,
    /// Interval between two heartbeats of a backend.
    pub heartbeat_interval: Time,
    /// Extracts the tenants' terms from the bytes of a configuration.
    pub read_terms: fn(&[u8]) -> TenantTerms,
    /// How long a gateway may use its fallback share without an answer: [`quota::FALLBACK_LIFETIME`], or less in a
    /// simulation.
    pub fallback_lifetime: Time,
    /// Number of voters below which the core is not shrunk by voters that are gone. `None`: it never is.
    pub min_voters: Option<usize>,
    /// Random seed of the election timeouts, and the first incarnation of this process's change log.
    pub seed: u64,
}

/// A control node: a state machine that turns inputs into [`Effect`]s.
pub struct ControlNode {
    pub(crate) config: NodeConfig,
    /// Time of the latest call.
    pub(crate) now: Time,
    /// This machine's wall-clock time at the latest [`ControlNode::advance`].
    pub(crate) unix_ms: UnixMillis,
    pub(crate) raft: RaftNode,
    pub(crate) persistence: PersistenceQueue,
    pub(crate) leadership: Leadership,
    pub(crate) quorum_contact: QuorumContact,
    /// When the next [`ControlMessage::ContactRequest`] is due.
    pub(crate) next_contact_request: Time,
    pub(crate) state: ControlState,
    pub(crate) change_feed: ChangeFeed,
    pub(crate) registry: ZoneRegistry,
    /// When backends were last checked for expiry.
    pub(crate) last_sweep: Time,
    pub(crate) next_sweep: Time,
    /// Heartbeats to forward to the other control nodes.
    pub(crate) pending_heartbeats: PendingHeartbeats,
    pub(crate) quota: QuotaState,
    pub(crate) known_nodes: KnownNodes,
    /// Present only at the first start of the system.
    pub(crate) bootstrapper: Option<Bootstrapper>,
    pub(crate) changes: Changes,
    pub(crate) drains: Vec<PendingDrain>,
    pub(crate) subscribers: BTreeMap<String, Subscriber>,
    pub(crate) last_connection_id: u64,
    /// During shutdown: when [`Input::Shutdown`] is next repeated.
    pub(crate) next_leave_request: Option<Time>,
    pub(crate) effects: Vec<Effect>,
    #[cfg(feature = "simulation")]
    pub(crate) defect: Option<Defect>,
    /// Records of applied commands and snapshots, in order, since the simulation last took them.
    #[cfg(feature = "simulation")]
    pub applied_records: Vec<crate::AppliedRecord>,
}

impl ControlNode {
    /// Creates a node from its persisted state and from the backends known before this process started.
    pub fn new(config: NodeConfig, stored: PersistedState, backends: Vec<Heartbeat>, now: Time) -> Self {
        ControlNode::build(config, stored, backends, now, None)
    }

    /// Creates a node as [`ControlNode::new`] does, with a defect planted from the start.
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
        if let Some(min_voters) = config.min_voters {
            raft.allow_shrinking(min_voters);
        }
        // Storage counts as unhealthy until the state read from the disk has been saved once in full, so that nothing
        // depends on it before.
        raft.handle(raft_start, Input::StorageHealth { healthy: false }, &mut Vec::new());
        let known_nodes = KnownNodes::new(&config.id.name, &config.zone, &config.seeds, now);
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
            last_connection_id: 0,
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
            // Sequence 0, so that any heartbeat from the backend itself supersedes this one.
            node.registry.on_heartbeat(now, Heartbeat { sequence: 0, warmup_left_ms: 0, ..heartbeat });
        }
        node.update_leadership();
        node
    }

    /// Applies the snapshot and the entries that consensus knew to be committed when it started.
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

    /// Runs all due tasks, then processes queued inputs unless a save is pending. `unix_ms` is this machine's
    /// wall-clock time in milliseconds.
    pub fn advance(&mut self, now: Time, unix_ms: UnixMillis) {
        (self.now, self.unix_ms) = (now, unix_ms);
        self.run_due_tasks();
        self.process_inputs();
    }

    /// Returns when [`ControlNode::advance`] is next due.
    pub fn next_due(&self) -> Time {
        let bootstrap_due = self.bootstrapper.as_ref().map_or(Time::MAX, Bootstrapper::next_due);
        let due = [
            self.next_persistence_due(),
            self.changes.next_due(),
            self.next_drain_due(),
            self.next_contact_request,
            self.next_sweep,
            self.quota.next_due(),
            self.quota.next_removal_poll,
            self.quota.next_report,
            bootstrap_due,
            self.next_leave_request.unwrap_or(Time::MAX),
        ];
        due.into_iter().min().unwrap_or(Time::MAX)
    }

    /// Returns whether an input is queued that can be processed now.
    pub fn has_ready_input(&self) -> bool {
        self.persistence.has_ready_input()
    }

    fn run_due_tasks(&mut self) {
        self.request_contact();
        self.forward_heartbeats();
        self.expire_trials();
        self.remove_silent_gateways();
        self.report_quota();
        self.try_bootstrap();
        self.retry_leave_request();
        self.expire_calls_and_changes();
        self.retry_drains();
    }

    /// Takes the effects produced since the last call, for the driver to carry out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Starts a graceful shutdown: transfers leadership away, and gives up the voter role if another node can take it.
    pub fn begin_shutdown(&mut self, now: Time) {
        self.now = now;
        self.next_leave_request = Some(now);
    }

    fn retry_leave_request(&mut self) {
        if self.next_leave_request.is_some_and(|due_at| due_at <= self.now) {
            self.next_leave_request = Some(self.now + LEAVE_INTERVAL);
            self.enqueue(Input::Shutdown);
        }
    }

    /// Returns when a message of another control node last arrived.
    pub fn last_heard_from_peer(&self) -> Option<Time> {
        self.known_nodes.last_heard()
    }

    /// Whether this node was told to shut down. It asks for no vote any more.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.next_leave_request.is_some()
    }

    /// Returns this node's id.
    pub fn id(&self) -> &NodeId {
        &self.config.id
    }

    /// Returns this node's zone.
    pub fn zone(&self) -> &str {
        &self.config.zone
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the registry of known backends.
    pub fn registry(&self) -> &ZoneRegistry {
        &self.registry
    }

    /// Returns this node's Raft state machine.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Returns the leadership as of the latest update from consensus.
    pub fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// Returns the known control nodes as pairs of name and zone; the zone is empty while unknown.
    pub fn known_nodes(&self) -> Vec<(String, String)> {
        as_pairs(self.known_nodes.all())
    }

    pub(crate) fn send_to(&mut self, to: &str, message: ControlMessage) {
        self.effects.push(Effect::SendToNode { to: to.into(), message });
    }

    pub(crate) fn send_grant(&mut self, gateway: &str, grant: LeaseGrant) {
        let update = GatewayUpdate::LeaseGrant(grant);
        self.effects.push(Effect::SendToGateway { gateway: gateway.into(), update });
    }

    /// Returns whether this defect is planted; always false in the shipped program.
    pub(crate) fn has_defect(&self, _defect: Defect) -> bool {
        #[cfg(feature = "simulation")]
        return self.defect == Some(_defect);
        #[cfg(not(feature = "simulation"))]
        false
    }
}

/// Returns owned pairs of name and zone.
pub(crate) fn as_pairs<'a>(nodes: impl Iterator<Item = (&'a String, &'a String)>) -> Vec<(String, String)> {
    nodes.map(|(name, zone)| (name.clone(), zone.clone())).collect()
}

//! Which prompter a gateway follows: one of its own zone if it can be had, else any other; and what it makes of what that tells.

use crate::fold::{View, ViewChange};
use crate::touch::Freshness;
use crate::{Time, MS};
use change_log::{FollowOutcome, FollowPosition};
use control_state::{ConfigurationReceiver, ReceiveOutcome};
use messages::message::{GatewayMessage, GatewayUpdate, Greeting, MESSAGE_FORMAT};
use quota::LeaseGrant;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A prompter says something each 200 ms; a long word is no silence while its bytes come, for so long at the most.
pub const SILENCE_TIMEOUT: Time = 700 * MS;
pub const MAX_MESSAGE_TIME: Time = 10_000 * MS;
/// A prompter that cannot prove what it tells for so long, in ms, is left.
const MAX_CONTACT_AGE_MS: u32 = 1000;
/// One that was stale, or not there, is not tried again so soon while there are others.
const LOST_BACKOFF: Time = 600 * MS;
/// Nor one that refused the connection: it may be just starting.
const REFUSED_BACKOFF: Time = 60 * MS;
/// Nor one that did not answer at all.
const TIMEOUT_BACKOFF: Time = 700 * MS;
/// Through another gateway it is followed for so long before a prompter is tried again.
const RELAY_PERIOD: Time = 2000 * MS;
/// A link that lasted so long did well; and how often the time for which one is shunned is doubled.
const STABLE_CONNECTION: Time = 2000 * MS;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// So many in a row that did not answer: this gateway is cut off, not they.
const ISOLATION_THRESHOLD: u32 = 2;
/// What was in doubt for too long is looked at so often.
const SWEEP_INTERVAL: Time = 1000 * MS;

/// Who the gateway is.
#[derive(Clone, Debug)]
pub struct SubscriptionConfig {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// It broke or fell silent.
    Lost,
    /// The prompter has lost the majority.
    NoQuorum,
    /// Another is nearer.
    NearerNode,
    /// The connection was refused.
    Refused,
    /// There was no answer at all.
    TimedOut,
}

/// What is to be done about what a prompter tells, in order.
#[derive(Debug)]
pub enum Effect {
    Changed(Vec<ViewChange>),
    LeaseGrant(LeaseGrant),
    /// To the prompter.
    Send(GatewayMessage),
    /// The link is to be ended.
    Disconnect(DisconnectReason),
}

/// A prompter that is let be for a while.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    since: Time,
    until: Time,
    /// How often in a row it came to that.
    failures: u32,
    /// It did not answer at all: that may have been this gateway's fault, unless it was tried once more since.
    timed_out: bool,
    retried: bool,
}

/// The link that stands.
#[derive(Debug)]
struct Connection {
    ip: IpAddr,
    /// Not through another gateway.
    is_direct: bool,
    started: Time,
    receiver: ConfigurationReceiver,
    next_sweep: Time,
}

#[derive(Debug)]
pub struct Subscription {
    config: SubscriptionConfig,
    view: View,
    freshness: Freshness,
    /// Prompters by address, with their zones as far as they are known.
    known_nodes: BTreeMap<IpAddr, String>,
    /// Those that are not tried while there are others.
    backoffs: BTreeMap<IpAddr, Backoff>,
    position: FollowPosition,
    /// What was last told of gateways that are missed.
    missing: Vec<String>,
    /// Prompters in a row that did not answer at all.
    timeouts_in_a_row: u32,
    connection: Option<Connection>,
}

impl Subscription {
    pub fn new(config: SubscriptionConfig) -> Self {
        Subscription {
            config,
            view: View::default(),
            freshness: Freshness::default(),
            known_nodes: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            position: FollowPosition::default(),
            missing: Vec::new(),
            timeouts_in_a_row: 0,
            connection: None,
        }
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Something that this gateway has seen itself.
    pub fn observe(&mut self, act: impl FnOnce(&mut View) -> Vec<ViewChange>) -> Vec<ViewChange> {
        act(&mut self.view)
    }

    /// Whom to follow next, of these seeds and all that were heard of: one of the own zone first; of the others, any. Whether it is
    /// one that is not shunned: where all are, the one that was tried longest ago. `draw`: a number below that.
    pub fn next_node(
        &mut self,
        now: Time,
        seeds: &[IpAddr],
        mut draw: impl FnMut(usize) -> usize,
    ) -> Option<(IpAddr, bool)> {
        let all: BTreeSet<IpAddr> = self.known_nodes.keys().chain(seeds).copied().collect();
        self.backoffs.retain(|ip, _| all.contains(ip));
        let open = || all.iter().copied().filter(|ip| !self.is_backed_off(ip, now));
        let near: Vec<IpAddr> = open().filter(|ip| self.is_near(ip)).collect();
        let open: Vec<IpAddr> = if near.is_empty() { open().collect() } else { near };
        if !open.is_empty() {
            return Some((open[draw(open.len())], true));
        }
        all.into_iter().min_by_key(|ip| self.backoffs.get(ip).map(|s| s.since)).map(|ip| (ip, false))
    }

    fn is_backed_off(&self, ip: &IpAddr, now: Time) -> bool {
        self.backoffs.get(ip).is_some_and(|s| s.until > now)
    }

    fn is_near(&self, ip: &IpAddr) -> bool {
        *ip == self.config.ip || self.known_nodes.get(ip) == Some(&self.config.zone)
    }

    /// A link to this prompter begins, `direct` or through another gateway: the first word on it.
    pub fn on_connected(&mut self, now: Time, ip: IpAddr, direct: bool) -> Greeting {
        self.missing.clear();
        self.view.on_connected(now);
        self.connection = Some(Connection {
            ip,
            is_direct: direct,
            started: now,
            receiver: ConfigurationReceiver::default(),
            next_sweep: now,
        });
        Greeting::Gateway {
            form: MESSAGE_FORMAT,
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            offset: self.position.offset(),
            configuration_index: self.configuration_index(),
            contact_number: self.freshness.request(now),
        }
    }

    /// Where the configuration that it holds stands in the agreed log; 0: there is none.
    pub fn configuration_index(&self) -> u64 {
        self.view.configuration().map_or(0, |c| c.index)
    }

    /// The try to follow this prompter itself, which began then, has ended. Whether this gateway seems to be cut off from prompters, so
    /// that it is to go through other gateways.
    pub fn on_disconnected(&mut self, now: Time, ip: IpAddr, began: Time, end: DisconnectReason) -> bool {
        self.connection = None;
        let shun = match end {
            DisconnectReason::NearerNode => return false,
            DisconnectReason::Refused => REFUSED_BACKOFF,
            DisconnectReason::TimedOut => TIMEOUT_BACKOFF,
            DisconnectReason::Lost | DisconnectReason::NoQuorum => LOST_BACKOFF,
        };
        self.timeouts_in_a_row =
            if end == DisconnectReason::TimedOut { self.timeouts_in_a_row + 1 } else { 0 };
        // One that did well for a while begins anew; one that fails again and again is left alone for longer.
        let well = now.saturating_sub(began) >= STABLE_CONNECTION;
        let before = if well { 0 } else { self.backoffs.get(&ip).map_or(0, |s| s.failures) };
        let until = now + (shun << before.min(MAX_BACKOFF_DOUBLINGS));
        if end == DisconnectReason::Lost {
            // This gateway may have been cut off anew.
            self.backoffs.values_mut().for_each(|s| s.retried = false);
        }
        let again = self.backoffs.get(&ip).is_some_and(|s| s.retried);
        let unheard = end == DisconnectReason::TimedOut && !again;
        self.backoffs.insert(
            ip,
            Backoff { since: now, until, failures: before + 1, timed_out: unheard, retried: again },
        );
        self.timeouts_in_a_row >= ISOLATION_THRESHOLD
    }

    /// What the prompter tells. `missing`: gateways that this one misses.
    pub fn on_update(
        &mut self,
        now: Time,
        down: GatewayUpdate,
        missing: impl FnOnce() -> Vec<String>,
    ) -> Vec<Effect> {
        let Some(link) = &mut self.connection else { return Vec::new() };
        let mut effects = Vec::new();
        match down {
            GatewayUpdate::Snapshot { offset: place, snapshot: scene } => {
                self.position.on_snapshot(place);
                effects.push(Effect::Changed(self.view.apply_snapshot(now, *scene)));
            }
            GatewayUpdate::Changes { from, changes } => match self.position.on_changes(from, changes.len()) {
                FollowOutcome::SkipFirst(known) => {
                    let news = changes.into_iter().skip(known).flat_map(|c| self.view.apply_change(c));
                    effects.push(Effect::Changed(news.collect()));
                }
                FollowOutcome::NeedsSnapshot => {
                    // It begins anew without a place.
                    self.position = FollowPosition::default();
                    return vec![Effect::Disconnect(DisconnectReason::Lost)];
                }
            },
            GatewayUpdate::LeaseGrant(lent) => effects.push(Effect::LeaseGrant(lent)),
            GatewayUpdate::ConfigurationChunk(part) => {
                let held = self.view.configuration().cloned();
                let up = match link.receiver.receive(held.as_deref(), part) {
                    ReceiveOutcome::Incomplete { index: place, bytes } => {
                        GatewayMessage::ChunkReceived { index: place, received: bytes }
                    }
                    ReceiveOutcome::Complete { configuration, bytes } => {
                        let place = configuration.index;
                        effects.push(Effect::Changed(self.view.replace_configuration(configuration)));
                        self.freshness.on_configuration(self.view.configuration().map_or(0, |c| c.index));
                        GatewayMessage::ChunkReceived { index: place, received: bytes }
                    }
                    ReceiveOutcome::BaseMissing => GatewayMessage::BaseMissing,
                    ReceiveOutcome::Invalid => return vec![Effect::Disconnect(DisconnectReason::Lost)],
                };
                effects.push(Effect::Send(up));
            }
            GatewayUpdate::Heartbeat {
                contact_number: contact,
                quorum_contact_ms: touch_ms,
                newest_configuration: newest,
                control_nodes: prompters,
            } => {
                for (name, zone) in prompters {
                    if let Ok(ip) = name.parse() {
                        self.known_nodes.insert(ip, zone);
                    }
                }
                self.freshness.on_heartbeat(contact, u64::from(touch_ms) * MS, newest);
                if let Some(end) = self.on_heartbeat(now, touch_ms) {
                    return vec![Effect::Disconnect(end)];
                }
                effects.push(Effect::Send(GatewayMessage::ContactNumber {
                    number: self.freshness.request(now),
                }));
            }
        }
        if let Some(link) = self.connection.as_mut().filter(|l| l.next_sweep <= now) {
            link.next_sweep = now + SWEEP_INTERVAL;
            effects.push(Effect::Changed(self.view.expire_doubtful(now)));
            let missing = missing();
            if missing != self.missing {
                self.missing.clone_from(&missing);
                effects.push(Effect::Send(GatewayMessage::MissingGateways { missing }));
            }
        }
        effects
    }

    /// How long ago the prompter was in contact with a majority. Whether it is to be left.
    fn on_heartbeat(&mut self, now: Time, touch_ms: u32) -> Option<DisconnectReason> {
        let Connection { ip, is_direct: direct, started: begun, receiver: ref parts, .. } =
            *self.connection.as_ref()?;
        let is_under_way = parts.is_receiving();
        if touch_ms > MAX_CONTACT_AGE_MS && self.configuration_index() == 0 && is_under_way {
            // Behind a loss of all that control is, what was in force is better than nothing until somebody can prove more.
            return None;
        }
        if touch_ms > MAX_CONTACT_AGE_MS {
            // Those that were not heard before this link stood may have been there, and this gateway cut off: each is tried once more.
            for shunned in self.backoffs.values_mut().filter(|s| s.timed_out && s.since < begun) {
                (shunned.until, shunned.timed_out, shunned.retried) = (now, false, true);
            }
        }
        let mut others =
            self.known_nodes.keys().filter(|other| **other != ip && !self.is_backed_off(other, now));
        if touch_ms > MAX_CONTACT_AGE_MS {
            // Where nobody has a majority any one is as good.
            return others.next().map(|_| DisconnectReason::NoQuorum);
        }
        // A configuration that is on its way would have to begin anew elsewhere.
        let settled = (direct || now.saturating_sub(begun) >= RELAY_PERIOD) && !is_under_way;
        let nearer = settled && !self.is_near(&ip) && others.any(|other| self.is_near(other));
        nearer.then_some(DisconnectReason::NearerNode)
    }
}

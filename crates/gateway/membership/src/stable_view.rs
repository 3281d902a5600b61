//! Debounced versions of the view for its users: a wave of forty failures makes two versions, not forty.

use crate::record::{hash, Name, Role};
use crate::Time;
use std::sync::Arc;

/// Time without changes after which a version is created.
const QUIET_PERIOD: Time = 500_000_000;
/// Maximum delay of a version after the first change.
const MAX_DELAY: Time = 2_000_000_000;

/// One stable version of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StableView {
    /// Starts at 0, the version that holds this member alone.
    pub version: u64,
    /// Name, generation and role of the members that are alive, ordered by name.
    pub members: Arc<Vec<(Name, u64, Role)>>,
    /// Position of this member in `members`.
    pub position: Option<usize>,
    /// Equal at all members with the same view.
    pub digest: u64,
    /// Time at which this version was created.
    pub created_at: Time,
}

impl StableView {
    /// Returns the number of gateways that are alive, and this member's position among them if it is one.
    pub fn gateways(&self) -> (usize, Option<usize>) {
        let is_gateway = |m: &&(Name, u64, Role)| m.2 == Role::Gateway;
        let gateway_count = self.members.iter().filter(is_gateway).count();
        let own = self.position.filter(|p| self.members[*p].2 == Role::Gateway);
        (gateway_count, own.map(|p| self.members[..p].iter().filter(is_gateway).count()))
    }
}

/// Collects changes into versions.
pub(crate) struct ChangeCollector {
    current: StableView,
    /// Times of the first and the last change that no version contains yet.
    pending: Option<(Time, Time)>,
}

impl ChangeCollector {
    pub(crate) fn new(own: Name, generation: u64, role: Role, now: Time) -> Self {
        let members = Arc::new(vec![(own, generation, role)]);
        let digest = digest(members.iter().map(|(name, generation, _)| (name, *generation)));
        let current = StableView { version: 0, members, position: Some(0), digest, created_at: now };
        ChangeCollector { current, pending: None }
    }

    pub(crate) fn current(&self) -> &StableView {
        &self.current
    }

    pub(crate) fn record_change(&mut self, now: Time) {
        let first = self.pending.map_or(now, |(first, _)| first);
        self.pending = Some((first, now));
    }

    pub(crate) fn due(&self) -> Option<Time> {
        let quiet_period = if planted!(SettledAtOnce) { 0 } else { QUIET_PERIOD };
        self.pending.map(|(first, last)| (last + quiet_period).min(first + MAX_DELAY))
    }

    /// Creates a version, if one is due and differs from the last.
    pub(crate) fn create_version(
        &mut self,
        now: Time,
        own: &Name,
        members: Vec<(Name, u64, Role)>,
    ) -> Option<&StableView> {
        if self.due().is_none_or(|at| at > now) {
            return None;
        }
        self.pending = None;
        if members == *self.current.members {
            return None;
        }
        let position = members.iter().position(|(name, ..)| name == own);
        let digest = digest(members.iter().map(|(name, generation, _)| (name, *generation)));
        let version = self.current.version + 1;
        self.current = StableView { version, members: Arc::new(members), position, digest, created_at: now };
        Some(&self.current)
    }
}

/// Returns a digest of a set of members, independent of their order.
pub(crate) fn digest<'a>(members: impl Iterator<Item = (&'a Name, u64)>) -> u64 {
    members.fold(0, |sum, (name, generation)| sum.wrapping_add(member_digest(name, generation)))
}

pub(crate) fn member_digest(name: &Name, generation: u64) -> u64 {
    hash(&[name.as_bytes(), &generation.to_be_bytes()])
}

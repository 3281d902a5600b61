//! Stable versions of the view for its users: a wave of forty failures makes two versions, not forty.

use crate::record::{hash, Name, Role};
use crate::Time;
use std::sync::Arc;

/// A version is made this long after the last change.
const QUIET_PERIOD: Time = 500_000_000;
/// A version is made this long after the first change at the latest.
const MAX_DELAY: Time = 2_000_000_000;

/// One stable version of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StableView {
    /// From 0, which holds this member alone.
    pub version: u64,
    /// The living members: names in order, with generation and role.
    pub members: Arc<Vec<(Name, u64, Role)>>,
    /// This member's position among them.
    pub position: Option<usize>,
    /// Equal at all members with the same view.
    pub digest: u64,
    /// When it was made.
    pub created_at: Time,
}

impl StableView {
    /// How many gateways are alive, and this member's position among them if it is one.
    pub fn gateways(&self) -> (usize, Option<usize>) {
        let is = |m: &&(Name, u64, Role)| m.2 == Role::Gateway;
        let all = self.members.iter().filter(is).count();
        let own = self.position.filter(|p| self.members[*p].2 == Role::Gateway);
        (all, own.map(|p| self.members[..p].iter().filter(is).count()))
    }
}

/// Collects changes until they make a version.
pub(crate) struct ChangeCollector {
    current: StableView,
    /// The times of the first and the last change that no version contains yet.
    pending: Option<(Time, Time)>,
}

impl ChangeCollector {
    pub(crate) fn new(own: Name, life: u64, role: Role, now: Time) -> Self {
        let members = Arc::new(vec![(own, life, role)]);
        let digest = digest(members.iter().map(|(name, life, _)| (name, *life)));
        let current = StableView { version: 0, members, position: Some(0), digest, created_at: now };
        ChangeCollector { current, pending: None }
    }

    pub(crate) fn current(&self) -> &StableView {
        &self.current
    }

    pub(crate) fn changed(&mut self, now: Time) {
        let first = self.pending.map_or(now, |(first, _)| first);
        self.pending = Some((first, now));
    }

    pub(crate) fn due(&self) -> Option<Time> {
        let quiet = if planted!(SettledAtOnce) { 0 } else { QUIET_PERIOD };
        self.pending.map(|(first, last)| (last + quiet).min(first + MAX_DELAY))
    }

    /// A new version, if one is due and differs from the last.
    pub(crate) fn make(
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
        let digest = digest(members.iter().map(|(name, life, _)| (name, *life)));
        let version = self.current.version + 1;
        self.current = StableView { version, members: Arc::new(members), position, digest, created_at: now };
        Some(&self.current)
    }
}

/// Equal for equal sets of members, in any order.
pub(crate) fn digest<'a>(members: impl Iterator<Item = (&'a Name, u64)>) -> u64 {
    members.fold(0, |sum, (name, life)| sum.wrapping_add(digest_of(name, life)))
}

pub(crate) fn digest_of(name: &Name, life: u64) -> u64 {
    hash(&[name.as_bytes(), &life.to_be_bytes()])
}

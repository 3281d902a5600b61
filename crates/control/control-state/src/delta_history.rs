//! The latest deltas between configurations, by which gateways are brought from the one that they hold to the newest.

use crate::applied_versions::{body_digest, BodyDigest};
use crate::configuration_transfer::TransferHeader;
use crate::delta::Delta;
use crate::state::CommittedConfiguration;
use crate::LogIndex;
use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum total length of the deltas that are kept. A gateway that is further behind gets the full configuration.
const MAX_DELTA_HISTORY_BYTES: usize = 256 << 10;
/// Maximum number of deltas that are kept.
const MAX_DELTA_HISTORY_STEPS: usize = 256;

/// A delta from one configuration to the next, with the header for its transfer.
#[derive(Clone, Debug)]
pub(crate) struct DeltaStep {
    base_index: LogIndex,
    pub header: TransferHeader,
    pub delta: Arc<Vec<u8>>,
}

/// The latest deltas, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DeltaHistory {
    steps: VecDeque<DeltaStep>,
    bytes: usize,
    /// Index and digest of the configuration for which a header was last built, so that its body is not hashed again for
    /// each gateway.
    cached_digest: Cell<Option<(LogIndex, BodyDigest)>>,
}

impl DeltaHistory {
    /// Records that configuration `old` was replaced by `new`. The delta is dropped if it is not shorter than `new`.
    pub fn record(&mut self, old: &CommittedConfiguration, new: &CommittedConfiguration) {
        if self.steps.back().is_some_and(|step| step.header.index != old.index) {
            // The recorded deltas do not lead to `old`.
            *self = DeltaHistory::default();
        }
        let delta = Delta::between(&old.body, &new.body).encode();
        if delta.len() >= new.body.len() {
            return;
        }
        let header = TransferHeader {
            base_index: Some(old.index),
            length: delta.len() as u32,
            ..self.full_header(new)
        };
        self.bytes += delta.len();
        self.steps.push_back(DeltaStep { base_index: old.index, header, delta: Arc::new(delta) });
        while self.bytes > MAX_DELTA_HISTORY_BYTES || self.steps.len() > MAX_DELTA_HISTORY_STEPS {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.bytes -= oldest.delta.len();
        }
    }

    /// Returns the first delta from the configuration at `base_index` to the newest, if deltas lead there and are shorter
    /// in total than the full configuration.
    pub(crate) fn first_step(
        &self,
        base_index: LogIndex,
        newest: &CommittedConfiguration,
    ) -> Option<&DeltaStep> {
        let first = self.steps.iter().position(|step| step.base_index == base_index)?;
        let remaining = || self.steps.iter().skip(first);
        let bytes: usize = remaining().map(|step| step.delta.len()).sum();
        let leads_to_newest = remaining().last().is_some_and(|step| step.header.index == newest.index);
        self.steps.get(first).filter(|_| leads_to_newest && bytes < newest.body.len())
    }

    /// Returns the header for the transfer of a full configuration.
    pub(crate) fn full_header(&self, configuration: &CommittedConfiguration) -> TransferHeader {
        let index = configuration.index;
        let cached = self.cached_digest.get().filter(|(cached_index, _)| *cached_index == index);
        let digest = cached.map_or_else(|| body_digest(&configuration.body), |(_, digest)| digest);
        self.cached_digest.set(Some((index, digest)));
        TransferHeader {
            base_index: None,
            index,
            version: configuration.version,
            digest,
            length: configuration.body.len() as u32,
        }
    }

    /// Total length of the deltas that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

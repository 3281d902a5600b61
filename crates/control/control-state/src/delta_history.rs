//! The latest deltas between configurations, for all gateways: how each comes from the one that it holds to the newest.

use crate::applied_versions::{body_digest, BodyDigest};
use crate::configuration_transfer::TransferHeader;
use crate::delta::Delta;
use crate::state::CommittedConfiguration;
use crate::LogIndex;
use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::Arc;

/// Deltas that are kept, in bytes: a gateway that is further behind gets the whole.
const MAX_DELTA_HISTORY_BYTES: usize = 256 << 10;
/// Deltas that are kept, in number.
const MAX_DELTA_HISTORY: usize = 256;

/// The delta from one configuration to the next.
#[derive(Clone, Debug)]
pub(crate) struct DeltaStep {
    base_index: LogIndex,
    pub header: TransferHeader,
    pub delta: Arc<Vec<u8>>,
}

/// The latest deltas, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct DeltaHistory {
    steps: VecDeque<DeltaStep>,
    bytes: usize,
    /// The digest of the newest configuration that was sent whole: the same for all who get it.
    newest_digest: Cell<Option<(LogIndex, BodyDigest)>>,
}

impl DeltaHistory {
    /// The state has gone from one configuration to the next.
    pub fn record(&mut self, old: &CommittedConfiguration, new: &CommittedConfiguration) {
        if self.steps.back().is_some_and(|step| step.header.index != old.index) {
            // The earlier deltas do not lead to `old`.
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
        while self.bytes > MAX_DELTA_HISTORY_BYTES || self.steps.len() > MAX_DELTA_HISTORY {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.bytes -= oldest.delta.len();
        }
    }

    /// The first step from the configuration of `base_index` to the newest, if deltas lead there and are shorter than the
    /// whole.
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

    /// The header of a configuration that is sent whole.
    pub(crate) fn full_header(&self, configuration: &CommittedConfiguration) -> TransferHeader {
        let index = configuration.index;
        let known = self.newest_digest.get().filter(|(known_index, _)| *known_index == index);
        let digest = known.map_or_else(|| body_digest(&configuration.body), |(_, digest)| digest);
        self.newest_digest.set(Some((index, digest)));
        TransferHeader {
            base_index: None,
            index,
            version: configuration.version,
            digest,
            length: configuration.body.len() as u32,
        }
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

//! Receiving side of a configuration transfer, in a gateway. A completed transfer yields exactly the committed bytes,
//! checked by digest; if a delta does not apply, the gateway requests the full configuration.

use crate::applied_versions::body_digest;
use crate::configuration_transfer::{ConfigurationChunk, TransferHeader};
use crate::delta::Delta;
use crate::state::CommittedConfiguration;
use crate::{LogIndex, MAX_CONFIGURATION_BYTES};
use std::sync::Arc;

/// Result of receiving a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// More chunks follow.
    Incomplete {
        /// Log index of the configuration that is being transferred.
        index: LogIndex,
        /// Bytes received so far.
        bytes: u32,
    },
    /// All chunks have been received.
    Complete {
        /// The configuration that they yield.
        configuration: Arc<CommittedConfiguration>,
        /// Bytes received.
        bytes: u32,
    },
    /// The delta does not apply to the configuration that the gateway holds; the full configuration is needed.
    BaseMissing,
    /// The chunks do not form a valid transfer.
    Invalid,
}

/// Reassembles the chunks that are received on one connection.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationReceiver(Option<IncomingConfiguration>);

#[derive(Clone, Debug)]
struct IncomingConfiguration {
    header: TransferHeader,
    bytes: Vec<u8>,
}

impl ConfigurationReceiver {
    /// Whether a transfer is in progress.
    pub fn is_receiving(&self) -> bool {
        self.0.is_some()
    }

    /// Receives a chunk. `current` is the configuration that the gateway holds.
    pub fn receive(
        &mut self,
        current: Option<&CommittedConfiguration>,
        chunk: ConfigurationChunk,
    ) -> ReceiveOutcome {
        if let Some(header) = chunk.header {
            self.0 = Some(IncomingConfiguration { header, bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.0 else { return ReceiveOutcome::Invalid };
        let length = incoming.header.length as usize;
        if incoming.bytes.len() + chunk.bytes.len() > length.min(MAX_CONFIGURATION_BYTES) {
            return ReceiveOutcome::Invalid;
        }
        incoming.bytes.extend_from_slice(&chunk.bytes);
        if incoming.bytes.len() < length {
            let (index, bytes) = (incoming.header.index, incoming.bytes.len() as u32);
            return ReceiveOutcome::Incomplete { index, bytes };
        }
        match self.0.take() {
            Some(complete) => complete.finish(current),
            None => ReceiveOutcome::Invalid,
        }
    }
}

impl IncomingConfiguration {
    /// Builds the configuration from all of the transfer's bytes and checks its digest.
    fn finish(self, current: Option<&CommittedConfiguration>) -> ReceiveOutcome {
        let IncomingConfiguration { header, bytes } = self;
        let body = match header.base_index {
            None => Some(bytes),
            Some(base_index) => {
                let base = current.filter(|current| current.index == base_index);
                let delta = Delta::decode(&bytes);
                base.zip(delta).and_then(|(base, delta)| delta.apply(&base.body, MAX_CONFIGURATION_BYTES))
            }
        };
        match (body.filter(|body| body_digest(body) == header.digest), header.base_index) {
            (Some(body), _) => {
                let TransferHeader { version, index, length, .. } = header;
                let configuration = Arc::new(CommittedConfiguration { version, index, body });
                ReceiveOutcome::Complete { configuration, bytes: length }
            }
            (None, Some(_)) => ReceiveOutcome::BaseMissing,
            (None, None) => ReceiveOutcome::Invalid,
        }
    }
}

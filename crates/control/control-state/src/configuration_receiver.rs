//! The gateway's side of a configuration's transfer: what it holds at the end is byte for byte what was committed, or it
//! asks for the whole.

use crate::applied_versions::body_digest;
use crate::configuration_transfer::{ConfigurationChunk, TransferHeader};
use crate::delta::Delta;
use crate::state::CommittedConfiguration;
use crate::{LogIndex, MAX_CONFIGURATION_BYTES};
use std::sync::Arc;

/// What has come of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// More chunks follow.
    Incomplete {
        /// The index that the transfer leads to.
        index: LogIndex,
        /// Bytes that have arrived.
        bytes: u32,
    },
    /// All bytes have arrived.
    Complete {
        /// What they come to.
        configuration: Arc<CommittedConfiguration>,
        /// Bytes that have arrived.
        bytes: u32,
    },
    /// The configuration that the gateway holds is not the delta's base: the whole is needed.
    BaseMissing,
    /// These are no chunks of one transfer.
    Invalid,
}

/// Puts chunks together, on one connection.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationReceiver(Option<IncomingConfiguration>);

#[derive(Clone, Debug)]
struct IncomingConfiguration {
    header: TransferHeader,
    bytes: Vec<u8>,
}

impl ConfigurationReceiver {
    /// Whether a transfer has begun and is not complete.
    pub fn is_receiving(&self) -> bool {
        self.0.is_some()
    }

    /// Takes a chunk; `held` is the configuration that the gateway holds.
    pub fn receive(
        &mut self,
        held: Option<&CommittedConfiguration>,
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
            Some(complete) => complete.finish(held),
            None => ReceiveOutcome::Invalid,
        }
    }
}

impl IncomingConfiguration {
    fn finish(self, held: Option<&CommittedConfiguration>) -> ReceiveOutcome {
        let IncomingConfiguration { header, bytes } = self;
        let body = match header.base_index {
            None => Some(bytes),
            Some(base_index) => {
                let base = held.filter(|held| held.index == base_index);
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

//! Sending side of a configuration transfer: a control node's connection to one gateway.

use crate::configuration_transfer::{ConfigurationChunk, TransferHeader, CHUNK_BYTES};
use crate::delta_history::DeltaHistory;
use crate::state::CommittedConfiguration;
use crate::LogIndex;
use std::sync::Arc;

/// Maximum number of bytes in flight, sent but not acknowledged. Sending them takes 0.13 s at 2 Mbit/s, well below the time
/// after which a gateway that hears nothing about its quota is isolated.
pub const WINDOW_BYTES: usize = 2 * CHUNK_BYTES;

/// The bytes to transfer.
#[derive(Clone, Debug)]
enum TransferBody {
    Full(Arc<CommittedConfiguration>),
    Delta(Arc<Vec<u8>>),
}

impl TransferBody {
    fn bytes(&self) -> &[u8] {
        match self {
            TransferBody::Full(configuration) => &configuration.body,
            TransferBody::Delta(bytes) => bytes,
        }
    }
}

#[derive(Clone, Debug)]
struct TransferInFlight {
    header: TransferHeader,
    body: TransferBody,
    sent_bytes: usize,
    acknowledged_bytes: usize,
}

impl TransferInFlight {
    fn is_done(&self) -> bool {
        self.acknowledged_bytes == self.body.bytes().len() && self.sent_bytes == self.acknowledged_bytes
    }
}

/// Sends configurations to one gateway, in chunks and within a window.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationSender {
    /// Index of the configuration that the gateway holds once the transfer in flight is complete.
    gateway_index: LogIndex,
    in_flight: Option<TransferInFlight>,
}

impl ConfigurationSender {
    /// Creates a sender to a gateway that reports to hold the configuration at this index; 0 if it holds none.
    pub fn new(gateway_index: LogIndex) -> Self {
        ConfigurationSender { gateway_index, in_flight: None }
    }

    /// Returns the next chunk to send, unless there is none or the window is full.
    pub fn next_chunk(
        &mut self,
        history: &DeltaHistory,
        newest: Option<&Arc<CommittedConfiguration>>,
    ) -> Option<ConfigurationChunk> {
        if self.in_flight.as_ref().is_some_and(TransferInFlight::is_done) {
            self.in_flight = None;
        }
        let is_first = self.in_flight.is_none();
        if is_first {
            self.start(history, newest?)?;
        }
        let transfer = self.in_flight.as_mut()?;
        let (bytes, start) = (transfer.body.bytes(), transfer.sent_bytes);
        let all_sent = !is_first && start == bytes.len();
        if all_sent || start - transfer.acknowledged_bytes >= WINDOW_BYTES {
            return None;
        }
        let end = bytes.len().min(start + CHUNK_BYTES);
        let chunk = ConfigurationChunk {
            header: is_first.then(|| transfer.header.clone()),
            bytes: bytes[start..end].to_vec(),
        };
        transfer.sent_bytes = end;
        self.gateway_index = transfer.header.index;
        Some(chunk)
    }

    /// Starts the transfer of the newest configuration, in full or as the first of the deltas that lead to it. Returns
    /// `None` if the gateway already holds it or a newer one.
    fn start(&mut self, history: &DeltaHistory, newest: &Arc<CommittedConfiguration>) -> Option<()> {
        if newest.index <= self.gateway_index {
            return None;
        }
        let (header, body) = match history.first_step(self.gateway_index, newest) {
            Some(step) => (step.header.clone(), TransferBody::Delta(step.delta.clone())),
            None => (history.full_header(newest), TransferBody::Full(newest.clone())),
        };
        self.in_flight = Some(TransferInFlight { header, body, sent_bytes: 0, acknowledged_bytes: 0 });
        Some(())
    }

    /// Handles an acknowledgement of `received_bytes` of the transfer of the configuration at `index`.
    pub fn on_received(&mut self, index: LogIndex, received_bytes: u32) {
        if let Some(transfer) = self.in_flight.as_mut().filter(|transfer| transfer.header.index == index) {
            transfer.acknowledged_bytes =
                transfer.acknowledged_bytes.max(received_bytes as usize).min(transfer.sent_bytes);
        }
    }

    /// Handles that the gateway could not apply a delta: the full configuration is sent next.
    pub fn on_base_missing(&mut self) {
        *self = ConfigurationSender::default();
    }
}

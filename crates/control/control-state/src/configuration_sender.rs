//! The sender's side of a configuration's transfer to one gateway.

use crate::configuration_transfer::{ConfigurationChunk, TransferHeader, CHUNK_BYTES};
use crate::delta_history::DeltaHistory;
use crate::state::CommittedConfiguration;
use crate::LogIndex;
use std::sync::Arc;

/// Bytes that a gateway has yet to acknowledge: 0.13 s at 2 Mbit/s, well within the time after which a gateway that hears
/// nothing about its quota is isolated.
pub const WINDOW_BYTES: usize = 2 * CHUNK_BYTES;

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
    sent: usize,
    acknowledged: usize,
}

impl TransferInFlight {
    fn is_done(&self) -> bool {
        self.acknowledged == self.body.bytes().len() && self.sent == self.acknowledged
    }
}

/// What is sent to one gateway.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationSender {
    /// The configuration that the gateway holds once all chunks that were sent have arrived.
    follower_index: LogIndex,
    in_flight: Option<TransferInFlight>,
}

impl ConfigurationSender {
    /// The gateway says that it holds the configuration of this index; 0: none.
    pub fn new(follower_index: LogIndex) -> Self {
        ConfigurationSender { follower_index, in_flight: None }
    }

    /// The next chunk, if there is one and the window has room for it.
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
        let (bytes, from) = (transfer.body.bytes(), transfer.sent);
        let all_sent = !is_first && from == bytes.len();
        if all_sent || from - transfer.acknowledged >= WINDOW_BYTES {
            return None;
        }
        let to = bytes.len().min(from + CHUNK_BYTES);
        let chunk = ConfigurationChunk {
            header: is_first.then(|| transfer.header.clone()),
            bytes: bytes[from..to].to_vec(),
        };
        transfer.sent = to;
        self.follower_index = transfer.header.index;
        Some(chunk)
    }

    /// Starts the transfer of the newest configuration, or of the first delta that leads there, unless the gateway holds it.
    fn start(&mut self, history: &DeltaHistory, newest: &Arc<CommittedConfiguration>) -> Option<()> {
        if newest.index <= self.follower_index {
            return None;
        }
        let (header, body) = match history.first_step(self.follower_index, newest) {
            Some(step) => (step.header.clone(), TransferBody::Delta(step.delta.clone())),
            None => (history.full_header(newest), TransferBody::Full(newest.clone())),
        };
        self.in_flight = Some(TransferInFlight { header, body, sent: 0, acknowledged: 0 });
        Some(())
    }

    /// So many bytes of the transfer to `index` have arrived.
    pub fn on_received(&mut self, index: LogIndex, bytes: u32) {
        if let Some(transfer) = self.in_flight.as_mut().filter(|t| t.header.index == index) {
            transfer.acknowledged = transfer.acknowledged.max(bytes as usize).min(transfer.sent);
        }
    }

    /// The gateway could not apply a delta: the whole comes next.
    pub fn on_base_missing(&mut self) {
        *self = ConfigurationSender::default();
    }
}

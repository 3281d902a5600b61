//! A configuration on its way to a follower: whole, or as the difference to one that it holds, in parts, so that other news
//! goes between them and a slow link is never filled for long. A follower that folds a difference holds byte for byte what was
//! agreed on, or asks for the whole. No I/O.

use crate::taken::{body_digest, BodyDigest};
use crate::{CommittedConfiguration, Delta, LogIndex};
use configuration::Version;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::Arc;

/// Bytes of one part.
pub const CHUNK_BYTES: usize = 16 << 10;
/// Bytes that a follower has yet to say it has got: 0.13 s at 2 Mbit/s, well within the time after which a gateway that hears
/// nothing of its rights is alone.
pub const WINDOW_BYTES: usize = 2 * CHUNK_BYTES;
/// Differences that are kept, in bytes and in number: whoever is further behind gets the whole.
const MAX_DELTA_HISTORY_BYTES: usize = 256 << 10;
const MAX_DELTA_HISTORY: usize = 256;
/// The longest configuration that is put together.
const MAX_BODY_BYTES: usize = 16 << 20;

/// What the parts that follow come to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferHeader {
    /// They are the difference to the configuration of this place; none: the whole.
    pub base_index: Option<LogIndex>,
    pub index: LogIndex,
    pub version: Version,
    /// Of the configuration's bytes.
    pub digest: BodyDigest,
    /// How many bytes come.
    pub length: u32,
}

/// A part, with a head if it is the first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChunk {
    pub header: Option<TransferHeader>,
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
struct DeltaStep {
    base_index: LogIndex,
    header: TransferHeader,
    delta: Arc<Vec<u8>>,
}

/// The latest differences, for all followers.
#[derive(Clone, Debug, Default)]
pub struct DeltaHistory {
    steps: VecDeque<DeltaStep>,
    bytes: usize,
    /// The mark of the configuration of this place, which is the same for all who get it whole.
    newest_digest: Cell<Option<(LogIndex, BodyDigest)>>,
}

impl DeltaHistory {
    /// The book has gone from one configuration to the next.
    pub fn record(&mut self, old: &CommittedConfiguration, new: &CommittedConfiguration) {
        if self.steps.back().is_some_and(|s| s.header.index != old.index) {
            // No way leads on from what came before.
            *self = DeltaHistory::default();
        }
        let difference = Delta::between(&old.body, &new.body).encode();
        if difference.len() >= new.body.len() {
            return;
        }
        let head = TransferHeader {
            base_index: Some(old.index),
            length: difference.len() as u32,
            ..self.full_header(new)
        };
        self.bytes += difference.len();
        self.steps.push_back(DeltaStep { base_index: old.index, header: head, delta: Arc::new(difference) });
        while self.bytes > MAX_DELTA_HISTORY_BYTES || self.steps.len() > MAX_DELTA_HISTORY {
            let Some(gone) = self.steps.pop_front() else { break };
            self.bytes -= gone.delta.len();
        }
    }

    /// The first step from `held` to the newest, if there is a way that is shorter than the whole.
    fn first_step(&self, held: LogIndex, newest: &CommittedConfiguration) -> Option<&DeltaStep> {
        let first = self.steps.iter().position(|s| s.base_index == held)?;
        let way = || self.steps.iter().skip(first);
        let bytes: usize = way().map(|s| s.delta.len()).sum();
        let leads = way().last().is_some_and(|s| s.header.index == newest.index);
        self.steps.get(first).filter(|_| leads && bytes < newest.body.len())
    }

    fn full_header(&self, c: &CommittedConfiguration) -> TransferHeader {
        let known = self.newest_digest.get().filter(|(place, _)| *place == c.index);
        let mark = known.map_or_else(|| body_digest(&c.body), |(_, mark)| mark);
        self.newest_digest.set(Some((c.index, mark)));
        TransferHeader {
            base_index: None,
            index: c.index,
            version: c.version,
            digest: mark,
            length: c.body.len() as u32,
        }
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[derive(Clone, Debug)]
enum TransferBody {
    Full(Arc<CommittedConfiguration>),
    Delta(Arc<Vec<u8>>),
}

impl TransferBody {
    fn bytes(&self) -> &[u8] {
        match self {
            TransferBody::Full(c) => &c.body,
            TransferBody::Delta(bytes) => bytes,
        }
    }
}

/// What is told to one follower.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationSender {
    /// What it holds once all parts that were sent have come.
    follower_index: LogIndex,
    /// What is on its way: how much was sent and how much it has got.
    in_flight: Option<(TransferHeader, TransferBody, usize, usize)>,
}

impl ConfigurationSender {
    /// The follower says that it holds the configuration of this place; 0: none.
    pub fn new(follower_index: LogIndex) -> Self {
        ConfigurationSender { follower_index, in_flight: None }
    }

    /// The next part, if there is one and there is room for it.
    pub fn next_chunk(
        &mut self,
        steps: &DeltaHistory,
        newest: Option<&Arc<CommittedConfiguration>>,
    ) -> Option<ConfigurationChunk> {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|(.., load, sent, got)| (*sent, *got) == (load.bytes().len(), *sent))
        {
            self.in_flight = None;
        }
        let first = self.in_flight.is_none();
        if first {
            let newest = newest.filter(|c| c.index > self.follower_index)?;
            let begun = match steps.first_step(self.follower_index, newest) {
                Some(step) => (step.header.clone(), TransferBody::Delta(step.delta.clone())),
                None => (steps.full_header(newest), TransferBody::Full(newest.clone())),
            };
            self.in_flight = Some((begun.0, begun.1, 0, 0));
        }
        let (head, load, sent, got) = self.in_flight.as_mut()?;
        let (bytes, from) = (load.bytes(), *sent);
        if !first && from == bytes.len() || from - *got >= WINDOW_BYTES {
            return None;
        }
        let to = bytes.len().min(from + CHUNK_BYTES);
        *sent = to;
        self.follower_index = head.index;
        Some(ConfigurationChunk { header: first.then(|| head.clone()), bytes: bytes[from..to].to_vec() })
    }

    /// It has got so many bytes of what is on its way to this place.
    pub fn on_received(&mut self, place: LogIndex, bytes: u32) {
        if let Some((head, _, sent, got)) = &mut self.in_flight {
            if head.index == place {
                *got = (*got).max(bytes as usize).min(*sent);
            }
        }
    }

    /// It could not fold a difference: the whole comes next.
    pub fn on_base_missing(&mut self) {
        *self = ConfigurationSender::default();
    }
}

/// What a follower makes of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// More comes: so many bytes have come of what leads to this place.
    Incomplete { index: LogIndex, bytes: u32 },
    /// All bytes have come.
    Complete { configuration: Arc<CommittedConfiguration>, bytes: u32 },
    /// What it holds is not what the difference is to: the whole is wanted.
    BaseMissing,
    /// These are no parts of one whole.
    Invalid,
}

/// Puts parts together, on one connection.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationReceiver(Option<(TransferHeader, Vec<u8>)>);

impl ConfigurationReceiver {
    /// Something has begun to come, and is not whole.
    pub fn is_receiving(&self) -> bool {
        self.0.is_some()
    }

    pub fn receive(
        &mut self,
        held: Option<&CommittedConfiguration>,
        part: ConfigurationChunk,
    ) -> ReceiveOutcome {
        if let Some(head) = part.header {
            self.0 = Some((head, Vec::new()));
        }
        let Some((head, bytes)) = &mut self.0 else { return ReceiveOutcome::Invalid };
        if bytes.len() + part.bytes.len() > (head.length as usize).min(MAX_BODY_BYTES) {
            return ReceiveOutcome::Invalid;
        }
        bytes.extend_from_slice(&part.bytes);
        if bytes.len() < head.length as usize {
            return ReceiveOutcome::Incomplete { index: head.index, bytes: bytes.len() as u32 };
        }
        let Some((head, bytes)) = self.0.take() else { return ReceiveOutcome::Invalid };
        let body = match head.base_index {
            None => Some(bytes),
            Some(from) => {
                let held = held.filter(|c| c.index == from);
                held.zip(Delta::decode(&bytes)).and_then(|(held, d)| d.apply(&held.body, MAX_BODY_BYTES))
            }
        };
        match (body.filter(|body| body_digest(body) == head.digest), head.base_index) {
            (Some(body), _) => {
                let configuration = CommittedConfiguration { version: head.version, index: head.index, body };
                ReceiveOutcome::Complete { configuration: Arc::new(configuration), bytes: head.length }
            }
            (None, Some(_)) => ReceiveOutcome::BaseMissing,
            (None, None) => ReceiveOutcome::Invalid,
        }
    }
}

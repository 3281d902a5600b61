//! Raft consensus among the control nodes, as a state machine without I/O and without a clock.
//!
//! Implements Raft (Ongaro and Ousterhout, 2014) with the extensions of Ongaro's thesis (2014): pre-vote (9.6),
//! membership changes by joint consensus (4.3), leadership transfer (3.10) and linearizable reads by heartbeat
//! rounds (6.4). Section numbers in comments refer to the thesis. Two additions go beyond it: a voter is identified
//! by its name *and* its disk id, so that a node that lost its disk is no longer a voter, and a voter that fails
//! permanently is replaced by a waiting node ([`Input::Join`]).
//!
//! Safety guarantees under message loss, delay, duplication and partitions, and under crashes, pauses and disk
//! losses of nodes, provided that at most a minority of the voters' disks is lost at the same time:
//! - a command applied on any node is applied on every node at the same index and is never undone;
//! - [`Output::ReadReady`] is emitted only after everything committed before the read request was applied.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bootstrap;
mod defect;
mod entry;
mod event;
mod message;
mod node;
mod progress;
mod raft_log;
mod transfer;
mod types;
mod voter_configuration;
mod voter_selection;

pub use bootstrap::{AcceptedProposal, Ballot, Bootstrap, BootstrapMessage};
pub use defect::Defect;
pub use entry::{Entry, EntryPayload, Snapshot};
pub use event::{Input, Output, Persist, PersistedState};
pub use message::{Message, MessageBody, TransferContent};
pub use node::RaftNode;
pub use types::{LogIndex, LogPosition, NodeId, PreviousEntry, Term, Time, VoterSet};

use types::MS;

/// Maximum interval between two messages from the leader to each other node.
pub const HEARTBEAT_INTERVAL: Time = 100 * MS;
/// Minimum election timeout: a node votes for no other candidate until this long after its last contact with the
/// leader. Followers campaign after one to two times this duration, chosen at random.
pub const MIN_ELECTION_TIMEOUT: Time = 500 * MS;
/// Duration of the leader lease: the leader grants quota only while its last contact with a quorum is more recent
/// than this. Shorter than [`MIN_ELECTION_TIMEOUT`] by the tolerated clock drift.
pub const LEADER_LEASE: Time = 400 * MS;
/// A voter that has not responded for this long may be replaced by a node that waits to become a voter.
pub const VOTER_REPLACEMENT_TIMEOUT: Time = 2_000 * MS;

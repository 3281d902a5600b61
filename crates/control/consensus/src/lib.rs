//! Raft consensus among the control nodes, as a state machine without I/O and without a clock.
//!
//! After Raft (Ongaro and Ousterhout, 2014) and Ongaro's thesis of the same year: pre-votes (9.6), membership changes by
//! joint consensus (4.3), leadership transfer (3.10), reads by heartbeat rounds (6.4). Sections in comments are the thesis'.
//! Beyond it, a voter is a name *and* the id of its disk, so that a disk that was lost is no voter, and voters that fail
//! for good are replaced by nodes that wait ([`Input::Join`]).
//!
//! Whatever is lost, late, duplicated or cut, and whichever node dies, freezes or loses a disk, as long as no more disks
//! are lost at once than a minority of the voters:
//! - what was applied anywhere is applied everywhere at the same index, and never undone;
//! - [`Output::ReadReady`] comes only behind all that was committed before the read was asked for.
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

/// The leader sends to each other node at least this often.
pub const HEARTBEAT_INTERVAL: Time = 100 * MS;
/// No node votes for another within so long of having heard the leader; followers campaign after up to twice that.
pub const MIN_ELECTION_TIMEOUT: Time = 500 * MS;
/// Quota is granted while a majority was heard within so long: less than [`MIN_ELECTION_TIMEOUT`] by what clocks may
/// differ.
pub const LEADER_LEASE: Time = 400 * MS;
/// A voter that has not answered for so long may be replaced by a node that waits for a voter's place.
pub const VOTER_REPLACEMENT_TIMEOUT: Time = 2_000 * MS;

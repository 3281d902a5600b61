//! Performs the outputs of consensus: sends messages, applies committed entries and snapshots to the replicated
//! state, and reports outcomes to requesters.

use crate::configuration_changes::Outcome;
use crate::persistence::{Proposal, Requester};
use crate::{ControlNode, Defect};
use consensus::{LogIndex, Output, Term};
use control_state::{ApplyOutcome, Command, ControlState};
use messages::ControlMessage;

impl ControlNode {
    pub(crate) fn perform(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                // No output here depends on this change; the next full save includes it.
                Output::Persist(_) => self.persistence.storage.on_save_skipped(),
                Output::Send(message) => {
                    let to = message.to.name.clone();
                    self.send_to(&to, ControlMessage::Consensus(message));
                }
                Output::Proposed { tag, index, term } => {
                    self.persistence.proposals.insert(index, Proposal { term, tag });
                    if self.has_defect(Defect::AcknowledgeBeforeCommit) {
                        self.resolve_tag(tag, Outcome::Committed);
                    }
                }
                Output::Apply { index, term, command } => {
                    let applied = self.apply_committed(index, term, &command);
                    self.resolve_proposals(index, term, applied);
                }
                Output::InstallSnapshot { index, state } => self.install_snapshot(index, &state),
                Output::ReadReady { tag } => self.resolve_tag(tag, Outcome::ReadReady),
                Output::NotLeader { tag } => self.resolve_tag(tag, Outcome::NotLeader),
            }
        }
    }

    /// Applies the committed command at `index`.
    pub(crate) fn apply_committed(&mut self, index: LogIndex, term: Term, command: &[u8]) -> ApplyOutcome {
        self.persistence.applied_index = index;
        #[cfg(feature = "simulation")]
        self.applied_records.push(crate::AppliedRecord::Command(index, command.to_vec()));
        self.apply_command(index, term, command)
    }

    /// Replaces the replicated state by a snapshot that covers the log up to `index`.
    pub(crate) fn install_snapshot(&mut self, index: LogIndex, state: &[u8]) {
        self.persistence.applied_index = index;
        #[cfg(feature = "simulation")]
        self.applied_records.push(crate::AppliedRecord::Snapshot(index));
        self.replace_state(index, state);
    }

    /// Returns the encoded state for a new snapshot.
    pub(crate) fn snapshot_bytes(&self) -> Vec<u8> {
        if self.has_defect(Defect::StaleSnapshotState) {
            return self.raft.snapshot().state.clone();
        }
        if !self.has_defect(Defect::SnapshotForgetsVersions) {
            return self.state.encode();
        }
        let mut newest_only = ControlState::new();
        if let Some(current) = self.state.configuration() {
            let (version, body) = (current.version, current.body.clone());
            let command = Command::ReplaceConfiguration { base: 0, version, body };
            newest_only.apply(current.index, &command);
        }
        newest_only.encode()
    }

    /// Resolves the proposals at or below `index` after the entry of `term` at `index` has been applied: the proposal
    /// of this entry by `applied`, all others as [`Outcome::NotLeader`].
    fn resolve_proposals(&mut self, index: LogIndex, term: Term, applied: ApplyOutcome) {
        while let Some(first) = self.persistence.proposals.first_entry().filter(|p| *p.key() <= index) {
            let is_this_entry = *first.key() == index && first.get().term == term;
            let tag = first.remove().tag;
            let outcome = match applied {
                // Another entry was committed at the proposal's index, or a snapshot covers that index and the
                // outcome is unknown.
                _ if !is_this_entry => Outcome::NotLeader,
                ApplyOutcome::Conflict => Outcome::Conflict,
                ApplyOutcome::Changed | ApplyOutcome::Unchanged => Outcome::Committed,
            };
            self.resolve_tag(tag, outcome);
        }
    }

    fn resolve_tag(&mut self, tag: u64, outcome: Outcome) {
        if let Some(requester) = self.persistence.requesters.remove(&tag) {
            self.resolve(requester, outcome);
        }
    }

    pub(crate) fn resolve(&mut self, requester: Requester, outcome: Outcome) {
        match requester {
            Requester::Read(call) => self.on_read_outcome(call, outcome),
            Requester::Change(change) => self.on_change_outcome(change, outcome),
        }
    }
}

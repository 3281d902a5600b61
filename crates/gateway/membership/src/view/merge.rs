//! Merging of records: the record of higher precedence prevails; a death reported by another member first becomes a
//! suspicion.

use super::*;

impl View {
    /// Merges a record. The record of higher precedence prevails; a reported death of a member that is alive here first
    /// becomes a suspicion, unless it has been suspected for half of the shortest timeout.
    pub(super) fn merge(&mut self, now: Time, mut record: Record, out: &mut Vec<Output>) {
        if record.name == self.record.name {
            return self.merge_own_record(&record, out);
        }
        let min_suspicion = self.min_suspicion();
        let count = self.peers.len();
        let Some(peer) = self.peers.get_mut(&record.name) else {
            // Unknown members are recorded only if they are alive.
            if record.state.is_alive() && count < self.config.max_members {
                self.insert(now, record);
            }
            return;
        };
        if record.generation != peer.record.generation {
            if record.generation > peer.record.generation || planted!(OldLifeBelieved) {
                self.insert(now, record);
            }
            return;
        }
        if record.rank() <= peer.record.rank() {
            let is_same_suspicion =
                (record.state, record.incarnation) == (State::Suspect, peer.record.incarnation);
            if let Some(suspicion) = peer.suspicion.as_mut().filter(|_| is_same_suspicion) {
                let is_new_accuser =
                    !suspicion.accusers.contains(&record.accuser) && suspicion.accusers.len() < MAX_ACCUSERS;
                if is_new_accuser {
                    suspicion.accusers.push(record.accuser);
                    peer.record.accuser = record.accuser;
                    self.broadcasts.add(record);
                }
            }
            return;
        }
        let was_alive = peer.record.state.is_alive();
        let active_suspicion =
            peer.suspicion.as_ref().filter(|_| peer.record.incarnation == record.incarnation);
        let suspected_for = active_suspicion.map_or(0, |s| now - s.since);
        let believe_at_once =
            planted!(DeadBelievedAtOnce) || !was_alive || suspected_for * 2 >= min_suspicion;
        match record.state {
            State::Dead if !believe_at_once => {
                // Suspected with all accusers counted: it has the shortest timeout to refute.
                record.state = State::Suspect;
                let since = peer.suspicion.as_ref().map_or(now, |s| s.since);
                let verification = Some((now, 0));
                peer.suspicion =
                    Some(Suspicion { verification, ..Suspicion::new(since, vec![0; MAX_ACCUSERS]) });
            }
            State::Suspect => {
                peer.suspicion = Some(Suspicion::new(now, vec![record.accuser]));
            }
            State::Alive | State::Dead | State::Left => peer.suspicion = None,
        }
        let name = record.name.clone();
        if peer.suspicion.is_some() {
            self.suspects.insert(name.clone());
        } else {
            self.suspects.remove(&name);
        }
        let (state, generation, is_alive) = (record.state, record.generation, record.state.is_alive());
        peer.since = now;
        peer.record = record.clone();
        self.broadcasts.add(record);
        if is_alive != was_alive {
            if is_alive {
                self.alive_totals.add(&name, generation);
            } else {
                self.alive_totals.remove(&name, generation);
            }
            self.on_change(now);
        }
        if state == State::Suspect {
            self.maybe_verify_suspect(now, &name, out);
        }
    }

    pub(super) fn insert(&mut self, now: Time, record: Record) {
        let old_alive_generation =
            self.peers.get(&record.name).filter(|p| p.record.state.is_alive()).map(|p| p.record.generation);
        if let Some(generation) = old_alive_generation {
            self.alive_totals.remove(&record.name, generation);
        }
        if record.state.is_alive() {
            self.alive_totals.add(&record.name, record.generation);
        }
        let mut peer = Peer::new(record.clone(), now);
        let old = self.peers.get(&record.name);
        peer.previous_address =
            old.and_then(|o| o.previous_address.or(Some(o.record.address))).filter(|a| *a != record.address);
        if record.state == State::Suspect {
            peer.suspicion = Some(Suspicion::new(now, vec![record.accuser]));
            self.suspects.insert(record.name.clone());
        } else {
            self.suspects.remove(&record.name);
        }
        self.peers.insert(record.name.clone(), peer);
        // SWIM: new members are inserted at a random position of the probe round.
        if record.state.is_alive() {
            let index = self.rng.usize(0..=self.probe_round.len());
            self.probe_round.insert(index, record.name.clone());
        }
        if old_alive_generation.is_some() || record.state.is_alive() {
            self.on_change(now);
        }
        self.broadcasts.add(record);
    }

    pub(super) fn on_change(&mut self, now: Time) {
        self.alive_changed_at = now;
        self.changes.record_change(now);
    }

    pub(super) fn merge_own_record(&mut self, record: &Record, out: &mut Vec<Output>) {
        if record.generation > self.record.generation {
            return self.on_newer_generation(record.generation, out);
        }
        let is_accused = record.state != State::Alive && record.incarnation >= self.record.incarnation;
        if record.generation == self.record.generation && is_accused && !planted!(RefutationLeftOut) {
            self.record.incarnation = record.incarnation.saturating_add(1);
            self.degrade_health();
            self.broadcasts.add(self.record.clone());
        }
    }

    /// Handles a report of a later generation under this member's name.
    pub(super) fn on_newer_generation(&mut self, generation: u64, out: &mut Vec<Output>) {
        if self.phase == (Phase::Joining { is_generation_raised: false }) {
            // The clock was set back between the two starts: this process is the later one all the same.
            self.alive_totals.remove(&self.record.name, self.record.generation);
            self.record.generation = generation.saturating_add(1);
            self.alive_totals.add(&self.record.name, self.record.generation);
            self.phase = Phase::Joining { is_generation_raised: true };
            self.broadcasts.add(self.record.clone());
            self.on_change(self.expected_tick);
        } else {
            self.phase = Phase::Superseded;
            out.push(Output::Superseded { generation });
        }
    }

    pub(super) fn degrade_health(&mut self) {
        if !planted!(PlainSwim) {
            self.health = (self.health + 1).min(MAX_LOCAL_HEALTH);
        }
    }

    /// Starts verifying a suspicion with a probability that makes a few members of the fleet do so: with their pings the
    /// suspect is confirmed soon or can refute, without pings from every member of a large fleet.
    pub(super) fn maybe_verify_suspect(&mut self, now: Time, name: &Name, out: &mut Vec<Output>) {
        let probability = MEAN_VERIFIERS / (self.peers.len() as f64 + 1.0);
        let is_selected = self.rng.f64() < probability && !planted!(PlainSwim);
        let Some(suspicion) = self.peers.get_mut(name).and_then(|p| p.suspicion.as_mut()) else { return };
        if is_selected {
            suspicion.verification = Some((now, 0));
        }
        self.ping_suspects(now, out);
    }
}

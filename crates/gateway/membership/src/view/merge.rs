//! Merging records: the greater one prevails; a death reported by another member is first a suspicion.

use super::*;

impl View {
    /// Merges a record. The greater one prevails; the reported death of a member that is alive here is a suspicion.
    pub(super) fn merge(&mut self, now: Time, mut record: Record, out: &mut Vec<Output>) {
        if record.name == self.record.name {
            return self.merge_own_record(&record, out);
        }
        let min = self.min_suspicion();
        let count = self.peers.len();
        let Some(peer) = self.peers.get_mut(&record.name) else {
            // Unknown dead members are of no use here.
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
            let same = (record.state, record.incarnation) == (State::Suspect, peer.record.incarnation);
            if let Some(suspicion) = peer.suspicion.as_mut().filter(|_| same) {
                let new =
                    !suspicion.accusers.contains(&record.accuser) && suspicion.accusers.len() < MAX_ACCUSERS;
                if new {
                    suspicion.accusers.push(record.accuser);
                    peer.record.accuser = record.accuser;
                    self.broadcasts.add(record);
                }
            }
            return;
        }
        let lived = peer.record.state.is_alive();
        let accused = peer.suspicion.as_ref().filter(|_| peer.record.incarnation == record.incarnation);
        let lasted = accused.map_or(0, |s| now - s.since);
        let at_once = planted!(DeadBelievedAtOnce) || !lived || lasted * 2 >= min;
        match record.state {
            State::Dead if !at_once => {
                // Suspected, not declared dead: it has the shortest time to refute.
                record.state = State::Suspect;
                let since = peer.suspicion.as_ref().map_or(now, |s| s.since);
                let watch = Some((now, 0));
                peer.suspicion = Some(Suspicion { watch, ..Suspicion::new(since, vec![0; MAX_ACCUSERS]) });
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
        let (state, life, lives) = (record.state, record.generation, record.state.is_alive());
        peer.since = now;
        peer.record = record.clone();
        self.broadcasts.add(record);
        if lives != lived {
            if lives {
                self.sums.add(&name, life);
            } else {
                self.sums.remove(&name, life);
            }
            self.on_change(now);
        }
        if state == State::Suspect {
            self.maybe_watch(now, &name, out);
        }
    }

    pub(super) fn insert(&mut self, now: Time, record: Record) {
        let lived =
            self.peers.get(&record.name).filter(|p| p.record.state.is_alive()).map(|p| p.record.generation);
        if let Some(life) = lived {
            self.sums.remove(&record.name, life);
        }
        if record.state.is_alive() {
            self.sums.add(&record.name, record.generation);
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
        // At a random position in the rest of the round.
        if record.state.is_alive() {
            let at = self.rng.usize(0..=self.probe_round.len());
            self.probe_round.insert(at, record.name.clone());
        }
        if lived.is_some() || record.state.is_alive() {
            self.on_change(now);
        }
        self.broadcasts.add(record);
    }

    pub(super) fn on_change(&mut self, now: Time) {
        self.changed_at = now;
        self.changes.changed(now);
    }

    pub(super) fn merge_own_record(&mut self, record: &Record, out: &mut Vec<Output>) {
        if record.generation > self.record.generation {
            return self.newer_generation(record.generation, out);
        }
        let accused = record.state != State::Alive && record.incarnation >= self.record.incarnation;
        if record.generation == self.record.generation && accused && !planted!(RefutationLeftOut) {
            self.record.incarnation = record.incarnation.saturating_add(1);
            self.degrade_health();
            self.broadcasts.add(self.record.clone());
        }
    }

    /// Another member knows a later generation of this name.
    pub(super) fn newer_generation(&mut self, life: u64, out: &mut Vec<Output>) {
        if self.phase == (Phase::Joining { renamed: false }) {
            // The clock was set back since: this one is the later one all the same.
            self.sums.remove(&self.record.name, self.record.generation);
            self.record.generation = life.saturating_add(1);
            self.sums.add(&self.record.name, self.record.generation);
            self.phase = Phase::Joining { renamed: true };
            self.broadcasts.add(self.record.clone());
            self.on_change(self.due);
        } else {
            self.phase = Phase::Superseded;
            out.push(Output::Superseded { generation: life });
        }
    }

    pub(super) fn degrade_health(&mut self) {
        if !planted!(PlainSwim) {
            self.health = (self.health + 1).min(MAX_LOCAL_HEALTH);
        }
    }

    /// A few members ping a suspect themselves, so that it is confirmed soon or can refute; not all of a large fleet.
    pub(super) fn maybe_watch(&mut self, now: Time, name: &Name, out: &mut Vec<Output>) {
        let few = MEAN_WATCHERS / (self.peers.len() as f64 + 1.0);
        let drawn = self.rng.f64() < few && !planted!(PlainSwim);
        let Some(suspicion) = self.peers.get_mut(name).and_then(|p| p.suspicion.as_mut()) else { return };
        if drawn {
            suspicion.watch = Some((now, 0));
        }
        self.ping_watched(now, out);
    }
}

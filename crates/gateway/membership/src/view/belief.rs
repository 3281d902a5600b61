//! What is believed: of two records the greater stands; a foreign death is a suspicion.

use super::*;

impl View {
    /// Somebody's word on a member. The greater record stands; a foreign death of who lives here is a suspicion.
    pub(super) fn merge(&mut self, now: Time, mut record: Record, out: &mut Vec<Output>) {
        if record.name == self.me.name {
            return self.own_record(&record, out);
        }
        let min = self.shortest();
        let count = self.peers.len();
        let Some(peer) = self.peers.get_mut(&record.name) else {
            // The dead of others are of no use here.
            if record.state.lives() && count < self.config.most_members {
                self.insert(now, record);
            }
            return;
        };
        if record.life != peer.record.life {
            if record.life > peer.record.life || planted!(OldLifeBelieved) {
                self.insert(now, record);
            }
            return;
        }
        if record.rank() <= peer.record.rank() {
            let same = (record.state, record.incarnation) == (State::Suspect, peer.record.incarnation);
            if let Some(suspicion) = peer.suspicion.as_mut().filter(|_| same) {
                let new = !suspicion.accusers.contains(&record.by) && suspicion.accusers.len() < ACCUSERS;
                if new {
                    suspicion.accusers.push(record.by);
                    peer.record.by = record.by;
                    self.rumours.add(record);
                }
            }
            return;
        }
        let lived = peer.record.state.lives();
        let accused = peer.suspicion.as_ref().filter(|_| peer.record.incarnation == record.incarnation);
        let lasted = accused.map_or(0, |s| now - s.since);
        let at_once = planted!(DeadBelievedAtOnce) || !lived || lasted * 2 >= min;
        match record.state {
            State::Dead if !at_once => {
                // Asked, not buried: it has the shortest time to refute.
                record.state = State::Suspect;
                let since = peer.suspicion.as_ref().map_or(now, |s| s.since);
                let watch = Some((now, 0));
                peer.suspicion = Some(Suspicion { watch, ..Suspicion::new(since, vec![0; ACCUSERS]) });
            }
            State::Suspect => {
                peer.suspicion = Some(Suspicion::new(now, vec![record.by]));
            }
            State::Alive | State::Dead | State::Left => peer.suspicion = None,
        }
        let name = record.name.clone();
        if peer.suspicion.is_some() {
            self.suspects.insert(name.clone());
        } else {
            self.suspects.remove(&name);
        }
        let (state, life, lives) = (record.state, record.life, record.state.lives());
        peer.since = now;
        peer.record = record.clone();
        self.rumours.add(record);
        if lives != lived {
            if lives {
                self.sums.add(&name, life);
            } else {
                self.sums.remove(&name, life);
            }
            self.has_changed(now);
        }
        if state == State::Suspect {
            self.watch(now, &name, out);
        }
    }

    pub(super) fn insert(&mut self, now: Time, record: Record) {
        let lived = self.peers.get(&record.name).filter(|p| p.record.state.lives()).map(|p| p.record.life);
        if let Some(life) = lived {
            self.sums.remove(&record.name, life);
        }
        if record.state.lives() {
            self.sums.add(&record.name, record.life);
        }
        let mut peer = Peer::new(record.clone(), now);
        let old = self.peers.get(&record.name);
        peer.before = old.and_then(|o| o.before.or(Some(o.record.address))).filter(|a| *a != record.address);
        if record.state == State::Suspect {
            peer.suspicion = Some(Suspicion::new(now, vec![record.by]));
            self.suspects.insert(record.name.clone());
        } else {
            self.suspects.remove(&record.name);
        }
        self.peers.insert(record.name.clone(), peer);
        // Somewhere in the rest of the round.
        if record.state.lives() {
            let at = self.rng.usize(0..=self.round.len());
            self.round.insert(at, record.name.clone());
        }
        if lived.is_some() || record.state.lives() {
            self.has_changed(now);
        }
        self.rumours.add(record);
    }

    pub(super) fn has_changed(&mut self, now: Time) {
        self.changed = now;
        self.gathering.changed(now);
    }

    pub(super) fn own_record(&mut self, record: &Record, out: &mut Vec<Output>) {
        if record.life > self.me.life {
            return self.another_life(record.life, out);
        }
        let accused = record.state != State::Alive && record.incarnation >= self.me.incarnation;
        if record.life == self.me.life && accused && !planted!(RefutationLeftOut) {
            self.me.incarnation = record.incarnation.saturating_add(1);
            self.worsens();
            self.rumours.add(self.me.clone());
        }
    }

    /// Somebody has heard of a later life of this name.
    pub(super) fn another_life(&mut self, life: u64, out: &mut Vec<Output>) {
        if self.phase == (Phase::Joining { renamed: false }) {
            // The clock was put back since: this is the later one all the same.
            self.sums.remove(&self.me.name, self.me.life);
            self.me.life = life.saturating_add(1);
            self.sums.add(&self.me.name, self.me.life);
            self.phase = Phase::Joining { renamed: true };
            self.rumours.add(self.me.clone());
            self.has_changed(self.due);
        } else {
            self.phase = Phase::Superseded;
            out.push(Output::Superseded { life });
        }
    }

    pub(super) fn worsens(&mut self) {
        if !planted!(PlainSwim) {
            self.health = (self.health + 1).min(WORST);
        }
    }

    /// A few look for themselves, so that accusers come soon, and who is wrongly accused hears of it; not all of a
    /// large fleet.
    pub(super) fn watch(&mut self, now: Time, name: &Name, out: &mut Vec<Output>) {
        let few = WATCHERS / (self.peers.len() as f64 + 1.0);
        let drawn = self.rng.f64() < few && !planted!(PlainSwim);
        let Some(suspicion) = self.peers.get_mut(name).and_then(|p| p.suspicion.as_mut()) else { return };
        if drawn {
            suspicion.watch = Some((now, 0));
        }
        self.watching(now, out);
    }
}

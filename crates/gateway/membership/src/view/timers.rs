//! Timers: probes, suspicions, dead members, seeds.

use super::*;

impl View {
    pub(super) fn on_sleep(&mut self, now: Time, late: Time) {
        self.probe = None;
        self.relays.clear();
        self.health = MAX_LOCAL_HEALTH;
        self.isolation.restart(now);
        for peer in self.peers.values_mut() {
            if let Some(suspicion) = &mut peer.suspicion {
                suspicion.since += late;
            }
        }
    }

    pub(super) fn tick(&mut self, now: Time, late: Time, out: &mut Vec<Output>) {
        let others = self.sums.members - 1;
        self.isolation.update(now, others, self.config.probe_interval);
        self.advance_probe(now, late, out);
        self.ping_watched(now, out);
        self.expire_suspicions(now);
        let (over, relays) = std::mem::take(&mut self.relays).into_iter().partition(|r| r.until <= now);
        self.relays = relays;
        let over: Vec<Relay> = over;
        for Relay { requester: asker, requested_probe: asked, .. } in over {
            self.send_to_member(&asker, |rider| Message::Nack { probe: asked, piggyback: rider }, out);
        }
        if self.next_dead <= now {
            self.next_dead = now + self.jittered(DEAD_PROBE_INTERVAL);
            self.ping_a_dead_member(now, out);
            let keep = self.config.dead_retention;
            self.peers.retain(|_, p| p.record.state.is_alive() || p.since + keep > now);
        }
        if self.next_seed <= now {
            let joining = matches!(self.phase, Phase::Joining { .. });
            // Hundreds may join at once: each waits twice as long as before.
            let wait = if joining { JOIN_INTERVAL << self.join_attempts.min(3) } else { SEED_INTERVAL };
            self.join_attempts = self.join_attempts.saturating_add(1);
            self.next_seed = now + self.jittered(wait);
            self.contact_seed(out);
        }
        if self.changes.due().is_some_and(|at| at <= now) {
            #[cfg(debug_assertions)]
            debug_assert_eq!(self.sums, self.recount());
            let living: Vec<_> =
                self.living_records().map(|r| (r.name.clone(), r.generation, r.role)).collect();
            if let Some(stable_view) = self.changes.make(now, &self.record.name, living) {
                out.push(Output::StableView(stable_view.clone()));
            }
        }
    }

    /// Half to one and a half of it: members that start together do not stay in step.
    pub(super) fn jittered(&mut self, time: Time) -> Time {
        time / 2 + self.rng.u64(0..time)
    }

    pub(super) fn advance_probe(&mut self, now: Time, late: Time, out: &mut Vec<Output>) {
        let stretch = Time::from(self.health) + 1;
        let (period, answer) =
            (self.config.probe_interval * stretch, self.config.probe_interval * 2 / 5 * stretch);
        if let Some(probe) = &mut self.probe {
            // An answer may still wait in the socket.
            if late > LATE_TICK && late <= SLEEP_THRESHOLD && !probe.is_answered {
                probe.indirect_at = probe.indirect_at.max(now + LATE_TICK);
                probe.ends_at = probe.ends_at.max(now + LATE_TICK);
                return self.degrade_health();
            }
            if !probe.is_answered && probe.helpers.is_empty() && now >= probe.indirect_at {
                let (number, target) = (probe.number, probe.target.clone());
                let helpers = self.choose_helpers(&target);
                for helper in &helpers {
                    let target = target.clone();
                    self.send_to_member(
                        helper,
                        |rider| Message::PingRequest { probe: number, target, piggyback: rider },
                        out,
                    );
                }
                if let Some(probe) = &mut self.probe {
                    probe.helpers = helpers;
                    if probe.helpers.is_empty() {
                        probe.indirect_at = probe.ends_at;
                    }
                }
            }
            let Some(probe) = &self.probe else { return };
            if now < probe.ends_at {
                return;
            }
            if !probe.is_answered {
                let (target, heard) = (probe.target.clone(), probe.has_heard_anyone);
                // No member at all was heard: the fault may be on this side.
                if !heard {
                    self.degrade_health();
                }
                self.suspect(now, &target);
            }
        }
        self.probe = None;
        let Some(target) = self.next_probe_target() else {
            // Nobody to probe.
            return;
        };
        let number = self.next_number();
        self.ping(&target, number, out);
        let (help, ends) = (now + answer, now + period);
        self.probe = Some(Probe {
            number,
            target,
            indirect_at: help,
            ends_at: ends,
            helpers: Vec::new(),
            is_answered: false,
            has_heard_anyone: false,
        });
    }

    pub(super) fn next_probe_target(&mut self) -> Option<Name> {
        // Suspects that are watched anyway come last: others may be dead unnoticed.
        for anybody in [false, true] {
            while let Some(name) = self.probe_round.pop() {
                let fit = |p: &Peer| {
                    let seen = p.suspicion.as_ref().is_some_and(|s| s.watch.is_some());
                    p.record.state.is_alive() && (anybody || !seen)
                };
                if self.peers.get(&name).is_some_and(fit) {
                    return Some(name);
                }
            }
            let living = self.peers.values().filter(|p| p.record.state.is_alive());
            self.probe_round = living.map(|p| p.record.name.clone()).collect();
            self.rng.shuffle(&mut self.probe_round);
        }
        None
    }

    pub(super) fn choose_helpers(&mut self, target: &Name) -> Vec<Name> {
        if planted!(HelpersLeftOut) {
            return Vec::new();
        }
        let fit = |p: &&Peer| p.record.state == State::Alive && p.record.name != *target;
        let fit = self.peers.values().filter(fit).map(|p| p.record.name.clone());
        self.rng.choose_multiple(fit, INDIRECT_PROBES)
    }

    /// This member's own probe had no answer.
    pub(super) fn suspect(&mut self, now: Time, name: &Name) {
        let own = self.accuser_id;
        let Some(peer) = self.peers.get_mut(name).filter(|p| p.record.state.is_alive()) else { return };
        match &mut peer.suspicion {
            Some(suspicion)
                if suspicion.accusers.contains(&own) || suspicion.accusers.len() >= MAX_ACCUSERS =>
            {
                return
            }
            Some(suspicion) => suspicion.accusers.push(own),
            None => {
                let watch = Some((now, 0)).filter(|_| !planted!(PlainSwim));
                peer.suspicion = Some(Suspicion { watch, ..Suspicion::new(now, vec![own]) });
                peer.since = now;
            }
        }
        self.suspects.insert(name.clone());
        peer.record.state = State::Suspect;
        peer.record.accuser = own;
        let record = peer.record.clone();
        self.broadcasts.add(record);
    }

    pub(super) fn min_suspicion(&self) -> Time {
        let size = self.peers.len() + 1;
        let doublings = Time::from(usize::BITS - size.leading_zeros());
        self.config.probe_interval * 2 + self.config.probe_interval / 4 * doublings
    }

    /// When a suspicion ends, by the number of accusers.
    pub(super) fn suspicion_ends(&self, peer: &Peer) -> Option<Time> {
        let suspicion = peer.suspicion.as_ref()?;
        let min = self.min_suspicion() as f64;
        if planted!(PlainSwim) {
            return Some(suspicion.since + min as Time);
        }
        let max = min * MAX_SUSPICION_FACTOR as f64;
        // The first accuser starts it; each further one shortens it, the first of them most.
        let more = suspicion.accusers.len().saturating_sub(1) as f64;
        let share = (more + 1.0).ln() / (MAX_ACCUSERS as f64).ln();
        Some(suspicion.since + (max - (max - min) * share.min(1.0)) as Time)
    }

    pub(super) fn ping_watched(&mut self, now: Time, out: &mut Vec<Output>) {
        let due = |n: &&Name| self.next_watch_ping(n).is_some_and(|at| at <= now);
        let due: Vec<Name> = self.suspects.iter().filter(due).cloned().collect();
        for name in due {
            let half = self.config.probe_interval / 2;
            let may = self.extra_ping_limit.take(now);
            let suspicion = self.peers.get_mut(&name).and_then(|p| p.suspicion.as_mut());
            let Some((next, asked)) = suspicion.and_then(|s| s.watch.as_mut()) else { continue };
            *next = now + half;
            if may {
                *asked += 1;
                // Each ping before this one had its time to be answered.
                if *asked > MIN_UNANSWERED_PINGS {
                    self.suspect(now, &name);
                }
                self.ping(&name, 0, out);
            }
        }
    }

    pub(super) fn next_watch_ping(&self, name: &Name) -> Option<Time> {
        Some(self.peers.get(name)?.suspicion.as_ref()?.watch?.0)
    }

    pub(super) fn expire_suspicions(&mut self, now: Time) {
        let alone = self.isolation.isolated_since().is_some() && !planted!(AloneBuriesAll);
        let ends = |name: &&Name| self.peers.get(*name).and_then(|p| self.suspicion_ends(p));
        let ended = self.suspects.iter().filter(|n| ends(n).is_some_and(|at| at <= now));
        let ended: Vec<Name> = ended.cloned().collect();
        for name in ended {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            if alone {
                // Isolated: the silence may be its own.
                if let Some(suspicion) = &mut peer.suspicion {
                    suspicion.since = now;
                }
                continue;
            }
            // It pings for itself before it declares a member dead.
            if let Some(suspicion) = peer.suspicion.as_mut().filter(|_| !planted!(PlainSwim)) {
                let (_, asked) = *suspicion.watch.get_or_insert((now, 0));
                if asked <= MIN_UNANSWERED_PINGS {
                    suspicion.since += self.config.probe_interval / 2;
                    continue;
                }
            }
            (peer.record.state, peer.since, peer.suspicion) = (State::Dead, now, None);
            self.suspects.remove(&name);
            let record = peer.record.clone();
            self.sums.remove(&record.name, record.generation);
            self.broadcasts.add(record);
            self.on_change(now);
        }
    }

    /// A partition looks like failure from either side, so dead members are pinged. One that left may also have
    /// returned while all its seeds were gone.
    pub(super) fn ping_a_dead_member(&mut self, now: Time, out: &mut Vec<Output>) {
        if planted!(DeadNeverTried) {
            return;
        }
        let dead = self.peers.values().filter(|p| !p.record.state.is_alive());
        let name = self.rng.choose_multiple(dead.map(|p| p.record.name.clone()), 1).pop();
        if let Some(name) = name.filter(|_| self.extra_ping_limit.take(now)) {
            self.ping(&name, 0, out);
        }
    }

    pub(super) fn contact_seed(&mut self, out: &mut Vec<Output>) {
        let known = |a: &SocketAddr| self.living_records().any(|r| r.address == *a);
        let seeds: Vec<SocketAddr> = self.config.seeds.iter().copied().filter(|a| !known(a)).collect();
        if let Some(to) = self.rng.choice(seeds) {
            let record = self.record.clone();
            self.send(to, Message::Hello { record, padding: vec![0; HELLO_PADDING] }, out);
        }
    }

    pub(super) fn join(&mut self, now: Time, cookie: [u8; 16], to: SocketAddr, out: &mut Vec<Output>) {
        if now >= self.join_echo.1 {
            self.join_echo = (self.rng.u64(1..), now + JOIN_ECHO_LIFETIME);
        }
        let echo = self.join_echo.0;
        self.send(to, Message::Join { record: self.record.clone(), cookie, echo }, out);
    }

    pub(super) fn leave(&mut self, out: &mut Vec<Output>) {
        if !planted!(LeaveNotTold) {
            self.record.state = State::Left;
            let living = self.peers.values().filter(|p| p.record.state.is_alive());
            let told = self.rng.choose_multiple(living.map(|p| p.record.name.clone()), LEAVE_RECIPIENTS);
            for name in told {
                self.broadcasts.add(self.record.clone());
                self.ping(&name, 0, out);
            }
        }
        self.phase = Phase::Left;
    }
}

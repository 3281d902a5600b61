//! What is done because time has passed: probes, suspicions, questions, the dead, the seeds.

use super::*;

impl View {
    pub(super) fn slept(&mut self, now: Time, late: Time) {
        self.probe = None;
        self.relays.clear();
        self.health = WORST;
        self.alone.begin_again(now);
        for peer in self.peers.values_mut() {
            if let Some(suspicion) = &mut peer.suspicion {
                suspicion.since += late;
            }
        }
    }

    pub(super) fn tick(&mut self, now: Time, late: Time, out: &mut Vec<Output>) {
        let others = self.sums.members - 1;
        self.alone.look(now, others, self.config.period);
        self.probing(now, late, out);
        self.watching(now, out);
        self.suspicions(now);
        let (over, relays) = std::mem::take(&mut self.relays).into_iter().partition(|r| r.until <= now);
        self.relays = relays;
        let over: Vec<Relay> = over;
        for Relay { asker, asked, .. } in over {
            self.say(&asker, |rider| Message::Nack { probe: asked, rider }, out);
        }
        if self.next_dead <= now {
            self.next_dead = now + self.spread(DEAD_EVERY);
            self.try_dead(now, out);
            let keep = self.config.keep_dead;
            self.peers.retain(|_, p| p.record.state.lives() || p.since + keep > now);
        }
        if self.next_seed <= now {
            let joining = matches!(self.phase, Phase::Joining { .. });
            // Hundreds may be at it: each waits twice as long as before.
            let wait = if joining { JOIN_EVERY << self.greetings.min(3) } else { SEED_EVERY };
            self.greetings = self.greetings.saturating_add(1);
            self.next_seed = now + self.spread(wait);
            self.greet_seed(out);
        }
        if self.gathering.due().is_some_and(|at| at <= now) {
            #[cfg(debug_assertions)]
            debug_assert_eq!(self.sums, self.summed());
            let living: Vec<_> = self.living().map(|r| (r.name.clone(), r.life, r.role)).collect();
            if let Some(settled) = self.gathering.make(now, &self.me.name, living) {
                out.push(Output::Settled(settled.clone()));
            }
        }
    }

    /// Half of it to half as much again: members that start together don't stay in step.
    pub(super) fn spread(&mut self, time: Time) -> Time {
        time / 2 + self.rng.u64(0..time)
    }

    pub(super) fn probing(&mut self, now: Time, late: Time, out: &mut Vec<Output>) {
        let stretch = Time::from(self.health) + 1;
        let (period, answer) = (self.config.period * stretch, self.config.period * 2 / 5 * stretch);
        if let Some(probe) = &mut self.probe {
            // An answer may wait in the socket behind this tick.
            if late > LATE && late <= ASLEEP && !probe.answered {
                probe.help = probe.help.max(now + LATE);
                probe.ends = probe.ends.max(now + LATE);
                return self.worsens();
            }
            if !probe.answered && probe.helpers.is_empty() && now >= probe.help {
                let (number, target) = (probe.number, probe.target.clone());
                let helpers = self.draw_helpers(&target);
                for helper in &helpers {
                    let target = target.clone();
                    self.say(helper, |rider| Message::Help { probe: number, target, rider }, out);
                }
                if let Some(probe) = &mut self.probe {
                    probe.helpers = helpers;
                    if probe.helpers.is_empty() {
                        probe.help = probe.ends;
                    }
                }
            }
            let Some(probe) = &self.probe else { return };
            if now < probe.ends {
                return;
            }
            if !probe.answered {
                let (target, heard) = (probe.target.clone(), probe.heard);
                // Nobody at all was heard: it may well be this side.
                if !heard {
                    self.worsens();
                }
                self.suspect(now, &target);
            }
        }
        self.probe = None;
        let Some(target) = self.draw_target() else {
            // Nobody to probe: looked at again with the seeds.
            return;
        };
        let number = self.next_number();
        self.ping(&target, number, out);
        let (help, ends) = (now + answer, now + period);
        self.probe =
            Some(Probe { number, target, help, ends, helpers: Vec::new(), answered: false, heard: false });
    }

    pub(super) fn draw_target(&mut self) -> Option<Name> {
        // Who is suspected and looked at anyway comes last: others may be dead unseen.
        for anybody in [false, true] {
            while let Some(name) = self.round.pop() {
                let fit = |p: &Peer| {
                    let seen = p.suspicion.as_ref().is_some_and(|s| s.watch.is_some());
                    p.record.state.lives() && (anybody || !seen)
                };
                if self.peers.get(&name).is_some_and(fit) {
                    return Some(name);
                }
            }
            let living = self.peers.values().filter(|p| p.record.state.lives());
            self.round = living.map(|p| p.record.name.clone()).collect();
            self.rng.shuffle(&mut self.round);
        }
        None
    }

    pub(super) fn draw_helpers(&mut self, target: &Name) -> Vec<Name> {
        if planted!(HelpersLeftOut) {
            return Vec::new();
        }
        let fit = |p: &&Peer| p.record.state == State::Alive && p.record.name != *target;
        let fit = self.peers.values().filter(fit).map(|p| p.record.name.clone());
        self.rng.choose_multiple(fit, HELPERS)
    }

    /// Our own probe had no answer.
    pub(super) fn suspect(&mut self, now: Time, name: &Name) {
        let own = self.own;
        let Some(peer) = self.peers.get_mut(name).filter(|p| p.record.state.lives()) else { return };
        match &mut peer.suspicion {
            Some(suspicion) if suspicion.accusers.contains(&own) || suspicion.accusers.len() >= ACCUSERS => {
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
        peer.record.by = own;
        let record = peer.record.clone();
        self.rumours.add(record);
    }

    pub(super) fn shortest(&self) -> Time {
        let size = self.peers.len() + 1;
        let doublings = Time::from(usize::BITS - size.leading_zeros());
        self.config.period * 2 + self.config.period / 4 * doublings
    }

    /// When a suspicion ends, by how many have spoken it.
    pub(super) fn suspicion_ends(&self, peer: &Peer) -> Option<Time> {
        let suspicion = peer.suspicion.as_ref()?;
        let min = self.shortest() as f64;
        if planted!(PlainSwim) {
            return Some(suspicion.since + min as Time);
        }
        let max = min * LONGEST as f64;
        // The first accuser begins it; each further one shortens it, the first of them most.
        let more = suspicion.accusers.len().saturating_sub(1) as f64;
        let share = (more + 1.0).ln() / (ACCUSERS as f64).ln();
        Some(suspicion.since + (max - (max - min) * share.min(1.0)) as Time)
    }

    pub(super) fn watching(&mut self, now: Time, out: &mut Vec<Output>) {
        let due = |n: &&Name| self.watched(n).is_some_and(|at| at <= now);
        let due: Vec<Name> = self.suspects.iter().filter(due).cloned().collect();
        for name in due {
            let half = self.config.period / 2;
            let may = self.asides.take(now);
            let suspicion = self.peers.get_mut(&name).and_then(|p| p.suspicion.as_mut());
            let Some((next, asked)) = suspicion.and_then(|s| s.watch.as_mut()) else { continue };
            *next = now + half;
            if may {
                *asked += 1;
                // Each of the questions before this one had its time.
                if *asked > QUESTIONS {
                    self.suspect(now, &name);
                }
                self.ping(&name, 0, out);
            }
        }
    }

    pub(super) fn watched(&self, name: &Name) -> Option<Time> {
        Some(self.peers.get(name)?.suspicion.as_ref()?.watch?.0)
    }

    pub(super) fn suspicions(&mut self, now: Time) {
        let alone = self.alone.since().is_some() && !planted!(AloneBuriesAll);
        let ends = |name: &&Name| self.peers.get(*name).and_then(|p| self.suspicion_ends(p));
        let ended = self.suspects.iter().filter(|n| ends(n).is_some_and(|at| at <= now));
        let ended: Vec<Name> = ended.cloned().collect();
        for name in ended {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            if alone {
                // It can't tell its own silence from theirs.
                if let Some(suspicion) = &mut peer.suspicion {
                    suspicion.since = now;
                }
                continue;
            }
            // Who has not asked itself does before it buries.
            if let Some(suspicion) = peer.suspicion.as_mut().filter(|_| !planted!(PlainSwim)) {
                let (_, asked) = *suspicion.watch.get_or_insert((now, 0));
                if asked <= QUESTIONS {
                    suspicion.since += self.config.period / 2;
                    continue;
                }
            }
            (peer.record.state, peer.since, peer.suspicion) = (State::Dead, now, None);
            self.suspects.remove(&name);
            let record = peer.record.clone();
            self.sums.remove(&record.name, record.life);
            self.rumours.add(record);
            self.has_changed(now);
        }
    }

    /// A partition looks like death from either side: somebody has to ask. Who left may have come back while all its
    /// seeds were gone.
    pub(super) fn try_dead(&mut self, now: Time, out: &mut Vec<Output>) {
        if planted!(DeadNeverTried) {
            return;
        }
        let dead = self.peers.values().filter(|p| !p.record.state.lives());
        let name = self.rng.choose_multiple(dead.map(|p| p.record.name.clone()), 1).pop();
        if let Some(name) = name.filter(|_| self.asides.take(now)) {
            self.ping(&name, 0, out);
        }
    }

    pub(super) fn greet_seed(&mut self, out: &mut Vec<Output>) {
        let known = |a: &SocketAddr| self.living().any(|r| r.address == *a);
        let seeds: Vec<SocketAddr> = self.config.seeds.iter().copied().filter(|a| !known(a)).collect();
        if let Some(to) = self.rng.choice(seeds) {
            let record = self.me.clone();
            self.send(to, Message::Hello { record, padding: vec![0; PADDING] }, out);
        }
    }

    pub(super) fn join(&mut self, now: Time, cookie: [u8; 16], to: SocketAddr, out: &mut Vec<Output>) {
        if now >= self.echo.1 {
            self.echo = (self.rng.u64(1..), now + GREETED);
        }
        let echo = self.echo.0;
        self.send(to, Message::Join { record: self.me.clone(), cookie, echo }, out);
    }

    pub(super) fn leave(&mut self, out: &mut Vec<Output>) {
        if !planted!(LeaveNotTold) {
            self.me.state = State::Left;
            let living = self.peers.values().filter(|p| p.record.state.lives());
            let told = self.rng.choose_multiple(living.map(|p| p.record.name.clone()), FAREWELLS);
            for name in told {
                self.rumours.add(self.me.clone());
                self.ping(&name, 0, out);
            }
        }
        self.phase = Phase::Left;
    }
}

//! Timers of probes, suspicions, pings of dead members and contacts with seeds.

use super::*;

impl View {
    /// Resumes after this process was suspended: the time of the suspension does not count against others.
    pub(super) fn on_suspended(&mut self, now: Time, lateness: Time) {
        self.probe = None;
        self.relays.clear();
        self.health = MAX_LOCAL_HEALTH;
        self.isolation.restart(now);
        for peer in self.peers.values_mut() {
            if let Some(suspicion) = &mut peer.suspicion {
                suspicion.since += lateness;
            }
        }
    }

    pub(super) fn tick(&mut self, now: Time, lateness: Time, out: &mut Vec<Output>) {
        let others = self.alive_totals.members - 1;
        self.isolation.update(now, others, self.config.probe_interval);
        self.advance_probe(now, lateness, out);
        self.ping_suspects(now, out);
        self.expire_suspicions(now);
        let (expired, relays) =
            std::mem::take(&mut self.relays).into_iter().partition(|r| r.expires_at <= now);
        self.relays = relays;
        let expired: Vec<Relay> = expired;
        for Relay { requester, requested_probe, .. } in expired {
            self.send_to_member(
                &requester,
                |piggyback| Message::Nack { probe: requested_probe, piggyback },
                out,
            );
        }
        if self.next_dead_ping <= now {
            self.next_dead_ping = now + self.jittered(DEAD_PROBE_INTERVAL);
            self.ping_dead_member(now, out);
            let retention = self.config.dead_retention;
            self.peers.retain(|_, p| p.record.state.is_alive() || p.since + retention > now);
        }
        if self.next_seed_contact <= now {
            let is_joining = matches!(self.phase, Phase::Joining { .. });
            // Exponential backoff, since hundreds may join at once.
            let interval =
                if is_joining { JOIN_INTERVAL << self.join_attempts.min(3) } else { SEED_INTERVAL };
            self.join_attempts = self.join_attempts.saturating_add(1);
            self.next_seed_contact = now + self.jittered(interval);
            self.contact_seed(out);
        }
        if self.changes.due().is_some_and(|at| at <= now) {
            #[cfg(debug_assertions)]
            debug_assert_eq!(self.alive_totals, self.recount());
            let alive: Vec<_> =
                self.alive_records().map(|r| (r.name.clone(), r.generation, r.role)).collect();
            if let Some(stable_view) = self.changes.create_version(now, &self.record.name, alive) {
                out.push(Output::StableView(stable_view.clone()));
            }
        }
    }

    /// Returns 0.5 to 1.5 times the given interval, so that members that start together do not stay synchronized.
    pub(super) fn jittered(&mut self, interval: Time) -> Time {
        interval / 2 + self.rng.u64(0..interval)
    }

    pub(super) fn advance_probe(&mut self, now: Time, lateness: Time, out: &mut Vec<Output>) {
        let multiplier = Time::from(self.health) + 1;
        let (probe_period, answer_timeout) =
            (self.config.probe_interval * multiplier, self.config.probe_interval * 2 / 5 * multiplier);
        if let Some(probe) = &mut self.probe {
            // A late tick: the answer may still be in the socket's buffer.
            if lateness > LATE_TICK_THRESHOLD && lateness <= SUSPENSION_THRESHOLD && !probe.is_answered {
                probe.indirect_at = probe.indirect_at.max(now + LATE_TICK_THRESHOLD);
                probe.ends_at = probe.ends_at.max(now + LATE_TICK_THRESHOLD);
                return self.degrade_health();
            }
            if !probe.is_answered && probe.helpers.is_empty() && now >= probe.indirect_at {
                let (number, target) = (probe.number, probe.target.clone());
                let helpers = self.choose_helpers(&target);
                for helper in &helpers {
                    let target = target.clone();
                    self.send_to_member(
                        helper,
                        |piggyback| Message::PingRequest { probe: number, target, piggyback },
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
                let (target, has_heard_anyone) = (probe.target.clone(), probe.has_heard_anyone);
                // No member was heard at all: the fault may be local.
                if !has_heard_anyone {
                    self.degrade_health();
                }
                self.suspect(now, &target);
            }
        }
        self.probe = None;
        let Some(target) = self.next_probe_target() else {
            // There is no other member.
            return;
        };
        let number = self.next_number();
        self.ping(&target, number, out);
        let (indirect_at, ends_at) = (now + answer_timeout, now + probe_period);
        self.probe = Some(Probe {
            number,
            target,
            indirect_at,
            ends_at,
            helpers: Vec::new(),
            is_answered: false,
            has_heard_anyone: false,
        });
    }

    pub(super) fn next_probe_target(&mut self) -> Option<Name> {
        // Suspects under verification come last: they are pinged anyway, while others may have failed unnoticed.
        for include_verified in [false, true] {
            while let Some(name) = self.probe_round.pop() {
                let is_eligible = |p: &Peer| {
                    let is_under_verification =
                        p.suspicion.as_ref().is_some_and(|s| s.verification.is_some());
                    p.record.state.is_alive() && (include_verified || !is_under_verification)
                };
                if self.peers.get(&name).is_some_and(is_eligible) {
                    return Some(name);
                }
            }
            let alive = self.peers.values().filter(|p| p.record.state.is_alive());
            self.probe_round = alive.map(|p| p.record.name.clone()).collect();
            self.rng.shuffle(&mut self.probe_round);
        }
        None
    }

    pub(super) fn choose_helpers(&mut self, target: &Name) -> Vec<Name> {
        if planted!(HelpersLeftOut) {
            return Vec::new();
        }
        let is_eligible = |p: &&Peer| p.record.state == State::Alive && p.record.name != *target;
        let candidates = self.peers.values().filter(is_eligible).map(|p| p.record.name.clone());
        self.rng.choose_multiple(candidates, INDIRECT_PROBES)
    }

    /// Suspects a member whose probe went unanswered, as an accuser of its own.
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
                let verification = Some((now, 0)).filter(|_| !planted!(PlainSwim));
                peer.suspicion = Some(Suspicion { verification, ..Suspicion::new(now, vec![own]) });
                peer.since = now;
            }
        }
        self.suspects.insert(name.clone());
        peer.record.state = State::Suspect;
        peer.record.accuser = own;
        let record = peer.record.clone();
        self.broadcasts.add(record);
    }

    /// Returns the shortest suspicion timeout, which grows with the logarithm of the fleet's size.
    pub(super) fn min_suspicion(&self) -> Time {
        let size = self.peers.len() + 1;
        let doublings = Time::from(usize::BITS - size.leading_zeros());
        self.config.probe_interval * 2 + self.config.probe_interval / 4 * doublings
    }

    /// Returns the end of a suspicion: the more accusers, the sooner.
    pub(super) fn suspicion_deadline(&self, peer: &Peer) -> Option<Time> {
        let suspicion = peer.suspicion.as_ref()?;
        let min_suspicion = self.min_suspicion() as f64;
        if planted!(PlainSwim) {
            return Some(suspicion.since + min_suspicion as Time);
        }
        let max_suspicion = min_suspicion * MAX_SUSPICION_FACTOR as f64;
        // The first accuser starts the suspicion; each further one shortens it, the first of them the most.
        let further_accusers = suspicion.accusers.len().saturating_sub(1) as f64;
        let progress = (further_accusers + 1.0).ln() / (MAX_ACCUSERS as f64).ln();
        Some(suspicion.since + (max_suspicion - (max_suspicion - min_suspicion) * progress.min(1.0)) as Time)
    }

    pub(super) fn ping_suspects(&mut self, now: Time, out: &mut Vec<Output>) {
        let due = |n: &&Name| self.next_suspect_ping(n).is_some_and(|at| at <= now);
        let due: Vec<Name> = self.suspects.iter().filter(due).cloned().collect();
        for name in due {
            let interval = self.config.probe_interval / 2;
            let is_allowed = self.extra_ping_limit.take(now);
            let suspicion = self.peers.get_mut(&name).and_then(|p| p.suspicion.as_mut());
            let Some((next_ping, pings_sent)) = suspicion.and_then(|s| s.verification.as_mut()) else {
                continue;
            };
            *next_ping = now + interval;
            if is_allowed {
                *pings_sent += 1;
                // Each ping before this one had time to be answered.
                if *pings_sent > MIN_UNANSWERED_PINGS {
                    self.suspect(now, &name);
                }
                self.ping(&name, 0, out);
            }
        }
    }

    pub(super) fn next_suspect_ping(&self, name: &Name) -> Option<Time> {
        Some(self.peers.get(name)?.suspicion.as_ref()?.verification?.0)
    }

    pub(super) fn expire_suspicions(&mut self, now: Time) {
        let is_isolated = self.isolation.isolated_since().is_some() && !planted!(AloneBuriesAll);
        let deadline = |name: &&Name| self.peers.get(*name).and_then(|p| self.suspicion_deadline(p));
        let expired = self.suspects.iter().filter(|n| deadline(n).is_some_and(|at| at <= now));
        let expired: Vec<Name> = expired.cloned().collect();
        for name in expired {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            if is_isolated {
                // An isolated member restarts suspicions: the fault may be its own.
                if let Some(suspicion) = &mut peer.suspicion {
                    suspicion.since = now;
                }
                continue;
            }
            // Verifies with pings of its own before it declares a member dead.
            if let Some(suspicion) = peer.suspicion.as_mut().filter(|_| !planted!(PlainSwim)) {
                let (_, pings_sent) = *suspicion.verification.get_or_insert((now, 0));
                if pings_sent <= MIN_UNANSWERED_PINGS {
                    suspicion.since += self.config.probe_interval / 2;
                    continue;
                }
            }
            (peer.record.state, peer.since, peer.suspicion) = (State::Dead, now, None);
            self.suspects.remove(&name);
            let record = peer.record.clone();
            self.alive_totals.remove(&record.name, record.generation);
            self.broadcasts.add(record);
            self.on_change(now);
        }
    }

    /// Pings a random dead member: it may have been on the other side of a partition, or have left and returned while all
    /// its seeds were down.
    pub(super) fn ping_dead_member(&mut self, now: Time, out: &mut Vec<Output>) {
        if planted!(DeadNeverTried) {
            return;
        }
        let dead = self.peers.values().filter(|p| !p.record.state.is_alive());
        let name = self.rng.choose_multiple(dead.map(|p| p.record.name.clone()), 1).pop();
        if let Some(name) = name.filter(|_| self.extra_ping_limit.take(now)) {
            self.ping(&name, 0, out);
        }
    }

    /// Sends a join request to a random seed that is not known to be alive.
    pub(super) fn contact_seed(&mut self, out: &mut Vec<Output>) {
        let is_known = |a: &SocketAddr| self.alive_records().any(|r| r.address == *a);
        let seeds: Vec<SocketAddr> = self.config.seeds.iter().copied().filter(|a| !is_known(a)).collect();
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
            let alive = self.peers.values().filter(|p| p.record.state.is_alive());
            let recipients = self.rng.choose_multiple(alive.map(|p| p.record.name.clone()), LEAVE_RECIPIENTS);
            for name in recipients {
                self.broadcasts.add(self.record.clone());
                self.ping(&name, 0, out);
            }
        }
        self.phase = Phase::Left;
    }
}

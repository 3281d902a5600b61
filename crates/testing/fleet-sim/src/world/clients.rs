//! Clients: they arrive, ask, wait, and come again.

use super::*;

/// Through so many gateways a customer's requests come at the most.
const SET: usize = 3;

impl World {
    pub(super) fn arrive(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let gap = exponential(&mut self.load, 1e9 / self.spec.rate) as Time;
        self.at(self.now + gap, Event::Arrive);
        let customer = self.load.usize(0..self.spec.customers);
        let drawn = self.load.f64();
        let class = if drawn < 0.46 { 0 } else { 1 + usize::from(drawn < 0.73) };
        let units = f64::from(self.load.u32(1..=8)).min(f64::from(self.load.u32(1..=8)));
        let chance = self.load.u64(..);
        let ask = Ask { customer, class, units, tries: 0, begun: self.now, chance, worth: 0.0 };
        if let Some(flooder) = self.flood {
            // A member that floods adds twice as much again.
            for n in 1..3 {
                let ask = Ask { customer: flooder, chance: chance.wrapping_add(n), ..ask.clone() };
                self.at(self.now + (chance >> (8 * n)) % 10 * MS, Event::Ask(ask));
            }
        }
        self.ask(ask);
    }

    /// Most of a customer's requests come through one gateway of its set. The set stands; which one it is changes.
    pub(super) fn route(&self, customer: usize, rng: &mut Rng) -> usize {
        let n = self.spec.gateways;
        if self.spec.skew > 0.0 && rng.f64() < self.spec.skew {
            return 0;
        }
        let (set, turn) = (n.min(SET), (self.now / self.spec.moves) as usize);
        let drawn = if rng.f64() < self.spec.home { 0 } else { rng.usize(0..set) };
        (customer * 7 + (turn + drawn) % set) % n
    }

    /// Where a client goes whose connection was refused there: round in its set.
    fn next(&self, customer: usize, gateway: usize) -> usize {
        let n = self.spec.gateways;
        let (set, first) = (n.min(SET), customer * 7 % n);
        let place = (gateway + n - first) % n;
        (first + (place + 1) % set) % n
    }

    pub(super) fn ask(&mut self, mut ask: Ask) {
        // Nor does who was told to come back later: the rest of the time is for what is in hand.
        if self.now >= self.end() || self.cuts.customers.contains(&ask.customer) {
            return;
        }
        if ask.tries == 0 {
            ask.worth = self.worth(&ask);
            self.counts.worth_asked += ask.worth;
        }
        let mut rng = Rng::with_seed(ask.chance ^ u64::from(ask.tries));
        let mut gateway = self.route(ask.customer, &mut rng);
        // A connection that is refused is tried elsewhere at once.
        for _ in 0..SET {
            if self.processes[gateway].up {
                break;
            }
            gateway = self.next(ask.customer, gateway);
        }
        let p = &self.processes[gateway];
        if !p.up || p.paused_until > self.now {
            return;
        }
        self.counts.asked += 1;
        self.record.second(self.now).asked += 1;
        self.next_id += 1;
        let (id, life, now) = (self.next_id, p.life, self.now);
        let settings = self.spec.settings(gateway);
        let class = &settings.classes[ask.class];
        let timeout = (class.deadline as f64 * (0.5 + 0.5 * rng.f64())) as Time;
        let incoming = Incoming {
            body_pending: false,
            id,
            class: ask.class,
            plan: plan_of(ask.customer),
            customer: customer_name(ask.customer),
            timeout,
            units: ask.units,
            spread: self.spec.gateways.min(SET) as u32,
            repeat: ask.tries > 0,
            pool: 0,
            allowance: interface::Allowance::Unknown,
        };
        let (customer, units) = (ask.customer, ask.units);
        self.trace.tell(now, || {
            let class = ["quote", "confirm", "book-slot"][ask.class];
            format!("gateway {gateway} takes {id:x}: {class} of customer {customer}, {units} units")
        });
        self.observer.taken(id, gateway, life, class.effect, now + timeout + MS);
        self.asked.insert(id, (ask.customer, ask.class, ask.units));
        // The client's clock is true: what is a little longer by the gateway's is the way back's.
        self.at(now + timeout + MS, Event::TimeUp { id });
        if rng.u32(0..100) == 0 {
            let at = now + rng.u64(0..timeout);
            self.at(at, Event::To { gateway, life, what: Inward::Left { id } });
        }
        self.waiting.insert(id, Waiting { ask, gateway, life, since: now });
        self.give(gateway, Input::Received(incoming));
    }

    /// What a first try is worth: nothing beyond the quota, by what all first tries ask of it.
    fn worth(&mut self, ask: &Ask) -> f64 {
        let settings = self.spec.settings(0);
        let plan = &settings.plans[plan_of(ask.customer)];
        let inside = self.offers.take(ask.customer, plan, self.now, ask.units);
        let worth = settings.classes[ask.class].points * plan.value_factor * ask.units;
        if inside {
            worth
        } else {
            0.0
        }
    }

    /// The quota that a customer's tries are taken from.
    pub(super) fn plan(&self, customer: usize) -> interface::Plan {
        self.spec.settings(0).plans.swap_remove(plan_of(customer))
    }

    /// A client has its answer.
    pub(super) fn answered(&mut self, id: u64, answer: FinalAnswer) {
        self.observer.answered(self.now, id, answer);
        self.trace.tell(self.now, || format!("  {id:x} is answered: {answer:?}"));
        let Some(Waiting { ask, .. }) = self.waiting.remove(&id) else { return };
        let aim = [600, 750, 750][ask.class] * MS;
        let again = match answer {
            FinalAnswer::Served => {
                self.counts.served += 1;
                let (took, timely) = (self.now - ask.begun, self.now - ask.begun <= aim);
                self.counts.in_aim += u64::from(timely);
                self.counts.worth_served += if timely { ask.worth } else { 0.0 };
                self.record.served(self.now, took, timely);
                return;
            }
            FinalAnswer::Rejected => return,
            FinalAnswer::Refused { advice, tried } => {
                self.counts.refused += 1;
                self.record.second(self.now).refused += 1;
                let plan = self.plan(ask.customer);
                let left = *self.quotas.left(ask.customer, &plan, self.now);
                let room = !tried && left >= ask.units;
                self.counts.refused_with_room += u64::from(room);
                // Some obey, some come again at once, some after a while.
                match ask.customer % 3 {
                    0 => advice.max(10 * MS),
                    1 => 5 * MS,
                    _ => 300 * MS,
                }
            }
            FinalAnswer::Failed { .. } => {
                self.counts.failed += 1;
                self.record.second(self.now).failed += 1;
                // Nobody knows whether it ran.
                if ask.class == 2 {
                    return;
                }
                100 * MS
            }
        };
        if ask.tries < 2 {
            let ask = Ask { tries: ask.tries + 1, ..ask };
            self.at(self.now + again, Event::Ask(ask));
        }
    }

    pub(super) fn time_up(&mut self, id: u64) {
        let waiting = self.waiting.remove(&id);
        self.asked.remove(&id);
        if let Some(w) = waiting {
            let p = &self.processes[w.gateway];
            // One that stood still can't have answered.
            let lived = p.up && p.life == w.life && p.paused_until < w.since;
            self.observer.time_is_up(self.now, id, lived);
            self.at(self.now, Event::To { gateway: w.gateway, life: w.life, what: Inward::Left { id } });
        }
    }
}

//! Clients: arrivals, tries, timeouts and retries.

use super::*;

/// Maximum number of gateways that a customer's requests use.
const GATEWAY_SET_SIZE: usize = 3;

impl World {
    pub(super) fn arrive(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let gap = exponential(&mut self.load_rng, 1e9 / self.spec.rate) as Time;
        self.schedule(self.now + gap, Event::Arrival);
        let customer = self.load_rng.usize(0..self.spec.customers);
        let draw = self.load_rng.f64();
        let class = if draw < 0.46 { 0 } else { 1 + usize::from(draw < 0.73) };
        let units = f64::from(self.load_rng.u32(1..=8)).min(f64::from(self.load_rng.u32(1..=8)));
        let seed = self.load_rng.u64(..);
        let client_try =
            ClientTry { customer, class, units, tries: 0, first_try_at: self.now, seed, worth: 0.0 };
        if let Some(flooder) = self.flood {
            // A flooding customer adds twice the regular load.
            for n in 1..3 {
                let client_try =
                    ClientTry { customer: flooder, seed: seed.wrapping_add(n), ..client_try.clone() };
                self.schedule(self.now + (seed >> (8 * n)) % 10 * MS, Event::ClientTry(client_try));
            }
        }
        self.start_try(client_try);
    }

    /// Returns the gateway for a try. Most of a customer's requests use one gateway of its set; the set
    /// is fixed, the main gateway changes over time.
    pub(super) fn route(&self, customer: usize, rng: &mut Rng) -> usize {
        let n = self.spec.gateways;
        if self.spec.skew > 0.0 && rng.f64() < self.spec.skew {
            return 0;
        }
        let (set, turn) = (n.min(GATEWAY_SET_SIZE), (self.now / self.spec.home_change_every) as usize);
        let draw = if rng.f64() < self.spec.home_share { 0 } else { rng.usize(0..set) };
        (customer * 7 + (turn + draw) % set) % n
    }

    /// Returns the next gateway of the customer's set after a refused connection.
    fn next_in_set(&self, customer: usize, gateway: usize) -> usize {
        let n = self.spec.gateways;
        let (set, first) = (n.min(GATEWAY_SET_SIZE), customer * 7 % n);
        let place = (gateway + n - first) % n;
        (first + (place + 1) % set) % n
    }

    pub(super) fn start_try(&mut self, mut client_try: ClientTry) {
        // Retries also stop at the end of the load: the remaining time is for requests in progress.
        if self.now >= self.end() || self.cuts.customers.contains(&client_try.customer) {
            return;
        }
        if client_try.tries == 0 {
            client_try.worth = self.worth(&client_try);
            self.counts.worth_asked += client_try.worth;
        }
        let mut rng = Rng::with_seed(client_try.seed ^ u64::from(client_try.tries));
        let mut gateway = self.route(client_try.customer, &mut rng);
        // A refused connection is retried at another gateway at once.
        for _ in 0..GATEWAY_SET_SIZE {
            if self.processes[gateway].running {
                break;
            }
            gateway = self.next_in_set(client_try.customer, gateway);
        }
        let p = &self.processes[gateway];
        if !p.running || p.paused_until > self.now {
            return;
        }
        self.counts.asked += 1;
        self.record.second(self.now).asked += 1;
        self.next_id += 1;
        let (id, generation, now) = (self.next_id, p.generation, self.now);
        let settings = self.spec.settings(gateway);
        let class = &settings.classes[client_try.class];
        let timeout = (class.deadline as f64 * (0.5 + 0.5 * rng.f64())) as Time;
        let incoming = Incoming {
            body_pending: false,
            id,
            class: client_try.class,
            plan: plan_of(client_try.customer),
            customer: customer_name(client_try.customer),
            timeout,
            units: client_try.units,
            spread: self.spec.gateways.min(GATEWAY_SET_SIZE) as u32,
            repeat: client_try.tries > 0,
            pool: 0,
            allowance: interface::Allowance::Unknown,
        };
        let (customer, units) = (client_try.customer, client_try.units);
        self.trace.log(now, || {
            let class = ["quote", "confirm", "book-slot"][client_try.class];
            format!("gateway {gateway} takes {id:x}: {class} of customer {customer}, {units} units")
        });
        self.observer.taken(id, gateway, generation, class.effect, now + timeout + MS);
        self.requests.insert(id, (client_try.customer, client_try.class, client_try.units));
        // The client's clock is exact; a timeout slightly longer by the gateway's clock is covered by
        // the allowance for the way back.
        self.schedule(now + timeout + MS, Event::ClientTimeout { id });
        if rng.u32(0..100) == 0 {
            let at = now + rng.u64(0..timeout);
            self.schedule(
                at,
                Event::AtGateway { gateway, generation, event: GatewayEvent::ClientGone { id } },
            );
        }
        self.waiting.insert(id, WaitingClient { client_try, gateway, generation, since: now });
        self.handle_input(gateway, Input::Received(incoming));
    }

    /// Charges a request's first try to the customer's quota and returns the request's value; 0 if the
    /// quota is exceeded.
    fn worth(&mut self, client_try: &ClientTry) -> f64 {
        let settings = self.spec.settings(0);
        let plan = &settings.plans[plan_of(client_try.customer)];
        let inside = self.offers.take(client_try.customer, plan, self.now, client_try.units);
        let worth = settings.classes[client_try.class].points * plan.value_factor * client_try.units;
        if inside {
            worth
        } else {
            0.0
        }
    }

    /// Returns the plan whose quota a customer's tries are charged to.
    pub(super) fn plan(&self, customer: usize) -> interface::Plan {
        self.spec.settings(0).plans.swap_remove(plan_of(customer))
    }

    /// Delivers a response to its client, which may retry.
    pub(super) fn answered(&mut self, id: u64, answer: FinalAnswer) {
        self.observer.answered(self.now, id, answer);
        self.trace.log(self.now, || format!("  {id:x} is answered: {answer:?}"));
        let Some(WaitingClient { client_try, .. }) = self.waiting.remove(&id) else { return };
        let aim = [600, 750, 750][client_try.class] * MS;
        let retry_delay = match answer {
            FinalAnswer::Served => {
                self.counts.served += 1;
                let (took, in_time) =
                    (self.now - client_try.first_try_at, self.now - client_try.first_try_at <= aim);
                self.counts.in_aim += u64::from(in_time);
                self.counts.worth_served += if in_time { client_try.worth } else { 0.0 };
                self.record.served(self.now, took, in_time);
                return;
            }
            FinalAnswer::Rejected => return,
            FinalAnswer::Refused { advice, tried } => {
                self.counts.refused += 1;
                self.record.second(self.now).refused += 1;
                let plan = self.plan(client_try.customer);
                let left = *self.quotas.remaining(client_try.customer, &plan, self.now);
                let room = !tried && left >= client_try.units;
                self.counts.refused_with_room += u64::from(room);
                // A third of the customers wait as advised, but at least 10 ms, a third wait 5 ms, and a
                // third 300 ms.
                match client_try.customer % 3 {
                    0 => advice.max(10 * MS),
                    1 => 5 * MS,
                    _ => 300 * MS,
                }
            }
            FinalAnswer::Failed { .. } => {
                self.counts.failed += 1;
                self.record.second(self.now).failed += 1;
                // The request may have run, so an unsafe one isn't retried.
                if client_try.class == 2 {
                    return;
                }
                100 * MS
            }
        };
        if client_try.tries < 2 {
            let client_try = ClientTry { tries: client_try.tries + 1, ..client_try };
            self.schedule(self.now + retry_delay, Event::ClientTry(client_try));
        }
    }

    pub(super) fn client_timeout(&mut self, id: u64) {
        let waiting = self.waiting.remove(&id);
        self.requests.remove(&id);
        if let Some(w) = waiting {
            let p = &self.processes[w.gateway];
            // A paused gateway could not respond.
            let gateway_ran = p.running && p.generation == w.generation && p.paused_until < w.since;
            self.observer.time_is_up(self.now, id, gateway_ran);
            self.schedule(
                self.now,
                Event::AtGateway {
                    gateway: w.gateway,
                    generation: w.generation,
                    event: GatewayEvent::ClientGone { id },
                },
            );
        }
    }
}

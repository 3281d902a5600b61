//! What comes: who may say it, and what is done about it.

use super::*;

/// Whose a datagram is, and how long it was.
struct Sender {
    name: Name,
    life: u64,
    length: usize,
}

impl View {
    pub(super) fn datagram(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Output>) -> Result<(), Fault> {
        let datagram = self.keys.open(bytes)?;
        let Datagram { from, life, number, message } = datagram;
        if from == self.me.name {
            if life > self.me.life {
                self.another_life(life, out);
            }
            return Err(if life == self.me.life { Fault::Own } else { Fault::OldLife });
        }
        match self.peers.get_mut(&from) {
            Some(peer) if peer.record.life == life => {
                if !peer.window.take(number) {
                    return Err(Fault::Replayed);
                }
                if !peer.bucket.take(now) {
                    return Err(Fault::TooMany);
                }
                self.alone.heard(&from, now);
                if let Some(probe) = &mut self.probe {
                    probe.heard = true;
                }
                self.message(now, &from, message, out);
                Ok(())
            }
            Some(peer) if peer.record.life > life => {
                let (record, before) = (peer.record.clone(), peer.before);
                if self.strangers.take(now) {
                    let sender = Sender { name: from, life, length: bytes.len() };
                    self.earlier_life(now, &sender, message, (record, before), out);
                }
                Err(Fault::OldLife)
            }
            _ => {
                let sender = Sender { name: from, life, length: bytes.len() };
                self.stranger(now, &sender, number, message, out)
            }
        }
    }

    /// Word from a life that is over here, of which `record` is a later one: one whose clock was put back, or that does
    /// not know that it was taken over.
    fn earlier_life(
        &mut self,
        now: Time,
        sender: &Sender,
        message: Message,
        (record, before): (Record, Option<SocketAddr>),
        out: &mut Vec<Output>,
    ) {
        let (to, echo) = match message {
            Message::Hello { record: old, .. } => return self.cookie(now, sender, old.address, out),
            Message::Join { record: old, cookie, echo } => {
                let whose = (&*sender.name, sender.life, old.address);
                if !self.cookies.is_ours(&self.keys, now, cookie, whose) {
                    return;
                }
                (old.address, echo)
            }
            // It knows us: it is where it says, or where it was.
            Message::Ping { address, .. } => (address, 0),
            _ => match before {
                Some(to) => (to, 0),
                None => return,
            },
        };
        self.send(to, Message::Records { echo, records: vec![record] }, out);
    }

    /// The one answer to whoever is not known, no longer than what it answers.
    fn cookie(&mut self, now: Time, sender: &Sender, to: SocketAddr, out: &mut Vec<Output>) {
        let cookie = self.cookies.make(&self.keys, now, &sender.name, sender.life, to);
        self.send_within(sender.length, to, Message::Cookie { cookie, address: self.me.address }, out);
    }

    fn stranger(
        &mut self,
        now: Time,
        sender: &Sender,
        number: u64,
        message: Message,
        out: &mut Vec<Output>,
    ) -> Result<(), Fault> {
        // Who brings back a cookie has shown that it is where it says, and is heard however many ask.
        if !matches!(message, Message::Join { .. }) && !self.strangers.take(now) {
            return Err(Fault::TooMany);
        }
        match message {
            Message::Hello { record, .. } if !planted!(StrangerKept) => {
                self.cookie(now, sender, record.address, out);
                Ok(())
            }
            // It takes this for an earlier life, or has been forgotten here.
            Message::Ping { address, .. } => {
                self.cookie(now, sender, address, out);
                Ok(())
            }
            Message::Hello { record, .. } => self.take_in(now, record, (number, 0), out),
            Message::Join { record, cookie, echo } => {
                if !self.cookies.is_ours(&self.keys, now, cookie, (&sender.name, sender.life, record.address))
                {
                    return Err(Fault::Cookie);
                }
                self.take_in(now, record, (number, echo), out)
            }
            Message::Cookie { cookie, address } => {
                self.join(now, cookie, address, out);
                Ok(())
            }
            // The first that a joiner hears of whom it joined: what it says is taken, it itself is not known yet.
            Message::Records { echo, records }
                if echo != 0 && (echo, true) == (self.echo.0, now < self.echo.1) =>
            {
                self.records(now, records, out);
                Ok(())
            }
            _ => Err(Fault::Stranger),
        }
    }

    pub(super) fn take_in(
        &mut self,
        now: Time,
        record: Record,
        (number, echo): (u64, u64),
        out: &mut Vec<Output>,
    ) -> Result<(), Fault> {
        let (name, to) = (record.name.clone(), record.address);
        self.merge(now, record, out);
        self.phase_in();
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.window.take(number);
        }
        self.send_records(to, echo, |r| r.name != name && r.state.lives(), out);
        // The word of it has a start of a round or two.
        for helper in self.draw_helpers(&name) {
            if self.asides.take(now) {
                self.ping(&helper, 0, out);
            }
        }
        Ok(())
    }

    pub(super) fn message(&mut self, now: Time, from: &Name, message: Message, out: &mut Vec<Output>) {
        let Some(to) = self.peers.get(from).map(|p| p.record.address) else { return };
        match message {
            Message::Ping { probe, life, rider, .. } => {
                self.absorb(now, from, rider, out);
                if life == self.me.life {
                    let rider = self.rider(from);
                    self.send(to, Message::Ack { probe, rider }, out);
                } else {
                    self.send(to, Message::Records { echo: 0, records: vec![self.me.clone()] }, out);
                }
            }
            Message::Ack { probe, rider } => {
                self.absorb(now, from, rider, out);
                if let Some(relay) = self.relays.iter().position(|r| r.number == probe) {
                    let Relay { asker, asked, .. } = self.relays.swap_remove(relay);
                    self.say(&asker, |rider| Message::Ack { probe: asked, rider }, out);
                }
                let Some(out) = &mut self.probe else { return };
                if out.number == probe && (out.target == *from || out.helpers.contains(from)) && !out.answered
                {
                    out.answered = true;
                    self.health = self.health.saturating_sub(1);
                }
            }
            Message::Help { probe, target, rider } => {
                self.absorb(now, from, rider, out);
                if self.relays.len() < MOST_RELAYS && self.peers.contains_key(&target) {
                    let number = self.next_number();
                    let until = now + self.config.period * 2 / 5;
                    self.relays.push(Relay { number, asker: from.clone(), asked: probe, until });
                    self.ping(&target, number, out);
                }
            }
            Message::Nack { rider, .. } => self.absorb(now, from, rider, out),
            Message::Differs { buckets } => {
                if self.answers.take(now) {
                    let own = self.sums.buckets;
                    let differs = |r: &Record| {
                        let n = bucket(&r.name);
                        own[n] != buckets[n]
                    };
                    self.send_records(to, 0, differs, out);
                }
            }
            Message::Records { records, .. } => self.records(now, records, out),
            Message::Hello { record, .. } => {
                let sender = Sender { name: from.clone(), life: record.life, length: MOST_BYTES };
                self.cookie(now, &sender, record.address, out);
            }
            // Our answer to the first was lost.
            Message::Join { echo, .. } => {
                self.send_records(to, echo, |r| r.state.lives(), out);
            }
            Message::Cookie { cookie, address } => self.join(now, cookie, address, out),
        }
    }

    pub(super) fn records(&mut self, now: Time, records: Vec<Record>, out: &mut Vec<Output>) {
        for record in records {
            self.merge(now, record, out);
        }
        if !self.peers.is_empty() {
            self.phase_in();
        }
    }

    pub(super) fn phase_in(&mut self) {
        if matches!(self.phase, Phase::Joining { .. }) {
            self.phase = Phase::In;
        }
    }

    pub(super) fn absorb(&mut self, now: Time, from: &Name, rider: Rider, out: &mut Vec<Output>) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.health = rider.health.min(WORST);
        }
        for record in rider.rumours {
            self.merge(now, record, out);
        }
        let quiet = self.changed + self.config.period <= now && self.next_differs <= now;
        let same = rider.digest == self.digest() || planted!(DigestAlwaysEqual);
        if !same && quiet {
            self.next_differs = now + self.config.period;
            if let Some(to) = self.peers.get(from).map(|p| p.record.address) {
                let buckets = self.sums.buckets;
                self.send(to, Message::Differs { buckets }, out);
            }
        }
    }
}

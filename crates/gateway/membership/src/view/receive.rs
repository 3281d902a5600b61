//! Received datagrams: which senders are accepted, and what is done.

use super::*;

/// The sender of a datagram, and the datagram's length.
struct Sender {
    name: Name,
    life: u64,
    length: usize,
}

impl View {
    pub(super) fn datagram(
        &mut self,
        now: Time,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        let datagram = self.keys.open(bytes)?;
        let Datagram { from, generation: life, number, message } = datagram;
        if from == self.record.name {
            if life > self.record.generation {
                self.newer_generation(life, out);
            }
            return Err(if life == self.record.generation {
                DatagramError::FromSelf
            } else {
                DatagramError::OldGeneration
            });
        }
        match self.peers.get_mut(&from) {
            Some(peer) if peer.record.generation == life => {
                if !peer.window.take(number) {
                    return Err(DatagramError::Replayed);
                }
                if !peer.bucket.take(now) {
                    return Err(DatagramError::RateLimited);
                }
                self.isolation.on_heard(&from, now);
                if let Some(probe) = &mut self.probe {
                    probe.has_heard_anyone = true;
                }
                self.message(now, &from, message, out);
                Ok(())
            }
            Some(peer) if peer.record.generation > life => {
                let (record, before) = (peer.record.clone(), peer.previous_address);
                if self.unknown_sender_limit.take(now) {
                    let sender = Sender { name: from, life, length: bytes.len() };
                    self.earlier_generation(now, &sender, message, (record, before), out);
                }
                Err(DatagramError::OldGeneration)
            }
            _ => {
                let sender = Sender { name: from, life, length: bytes.len() };
                self.unknown_sender(now, &sender, number, message, out)
            }
        }
    }

    /// A datagram of an earlier generation than `record`: its clock was set back, or it does not know of its successor.
    fn earlier_generation(
        &mut self,
        now: Time,
        sender: &Sender,
        message: Message,
        (record, before): (Record, Option<SocketAddr>),
        out: &mut Vec<Output>,
    ) {
        let (to, echo) = match message {
            Message::Hello { record: old, .. } => return self.send_cookie(now, sender, old.address, out),
            Message::Join { record: old, cookie, echo } => {
                let whose = (&*sender.name, sender.life, old.address);
                if !self.cookies.is_ours(&self.keys, now, cookie, whose) {
                    return;
                }
                (old.address, echo)
            }
            // It knows this member: it is at the stated address, or at the previous one.
            Message::Ping { address, .. } => (address, 0),
            _ => match before {
                Some(to) => (to, 0),
                None => return,
            },
        };
        self.send(to, Message::Records { echo, records: vec![record] }, out);
    }

    /// The only answer to unknown senders, no longer than the request.
    fn send_cookie(&mut self, now: Time, sender: &Sender, to: SocketAddr, out: &mut Vec<Output>) {
        let cookie = self.cookies.make(&self.keys, now, &sender.name, sender.life, to);
        self.send_within(sender.length, to, Message::Cookie { cookie, address: self.record.address }, out);
    }

    fn unknown_sender(
        &mut self,
        now: Time,
        sender: &Sender,
        number: u64,
        message: Message,
        out: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        // A returned cookie proves the sender's address: it is not rate-limited.
        if !matches!(message, Message::Join { .. }) && !self.unknown_sender_limit.take(now) {
            return Err(DatagramError::RateLimited);
        }
        match message {
            Message::Hello { record, .. } if !planted!(StrangerKept) => {
                self.send_cookie(now, sender, record.address, out);
                Ok(())
            }
            // It knows an earlier generation of this member, or was forgotten here.
            Message::Ping { address, .. } => {
                self.send_cookie(now, sender, address, out);
                Ok(())
            }
            Message::Hello { record, .. } => self.admit_member(now, record, (number, 0), out),
            Message::Join { record, cookie, echo } => {
                if !self.cookies.is_ours(&self.keys, now, cookie, (&sender.name, sender.life, record.address))
                {
                    return Err(DatagramError::Cookie);
                }
                self.admit_member(now, record, (number, echo), out)
            }
            Message::Cookie { cookie, address } => {
                self.join(now, cookie, address, out);
                Ok(())
            }
            // The first answer to a join: its records are accepted, though its sender is not known yet.
            Message::Records { echo, records }
                if echo != 0 && (echo, true) == (self.join_echo.0, now < self.join_echo.1) =>
            {
                self.merge_records(now, records, out);
                Ok(())
            }
            _ => Err(DatagramError::UnknownSender),
        }
    }

    pub(super) fn admit_member(
        &mut self,
        now: Time,
        record: Record,
        (number, echo): (u64, u64),
        out: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        let (name, to) = (record.name.clone(), record.address);
        self.merge(now, record, out);
        self.set_joined();
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.window.take(number);
        }
        self.send_records(to, echo, |r| r.name != name && r.state.is_alive(), out);
        // Gives the news of it a head start of a round or two.
        for helper in self.choose_helpers(&name) {
            if self.extra_ping_limit.take(now) {
                self.ping(&helper, 0, out);
            }
        }
        Ok(())
    }

    pub(super) fn message(&mut self, now: Time, from: &Name, message: Message, out: &mut Vec<Output>) {
        let Some(to) = self.peers.get(from).map(|p| p.record.address) else { return };
        match message {
            Message::Ping { probe, generation: life, piggyback: rider, .. } => {
                self.apply_piggyback(now, from, rider, out);
                if life == self.record.generation {
                    let rider = self.piggyback_for(from);
                    self.send(to, Message::Ack { probe, piggyback: rider }, out);
                } else {
                    self.send(to, Message::Records { echo: 0, records: vec![self.record.clone()] }, out);
                }
            }
            Message::Ack { probe, piggyback: rider } => {
                self.apply_piggyback(now, from, rider, out);
                if let Some(relay) = self.relays.iter().position(|r| r.number == probe) {
                    let Relay { requester: asker, requested_probe: asked, .. } =
                        self.relays.swap_remove(relay);
                    self.send_to_member(&asker, |rider| Message::Ack { probe: asked, piggyback: rider }, out);
                }
                let Some(out) = &mut self.probe else { return };
                if out.number == probe
                    && (out.target == *from || out.helpers.contains(from))
                    && !out.is_answered
                {
                    out.is_answered = true;
                    self.health = self.health.saturating_sub(1);
                }
            }
            Message::PingRequest { probe, target, piggyback: rider } => {
                self.apply_piggyback(now, from, rider, out);
                if self.relays.len() < MAX_RELAYS && self.peers.contains_key(&target) {
                    let number = self.next_number();
                    let until = now + self.config.probe_interval * 2 / 5;
                    self.relays.push(Relay {
                        number,
                        requester: from.clone(),
                        requested_probe: probe,
                        until,
                    });
                    self.ping(&target, number, out);
                }
            }
            Message::Nack { piggyback: rider, .. } => self.apply_piggyback(now, from, rider, out),
            Message::DigestMismatch { buckets } => {
                if self.digest_answer_limit.take(now) {
                    let own = self.sums.buckets;
                    let differs = |r: &Record| {
                        let n = bucket(&r.name);
                        own[n] != buckets[n]
                    };
                    self.send_records(to, 0, differs, out);
                }
            }
            Message::Records { records, .. } => self.merge_records(now, records, out),
            Message::Hello { record, .. } => {
                let sender =
                    Sender { name: from.clone(), life: record.generation, length: MAX_DATAGRAM_BYTES };
                self.send_cookie(now, &sender, record.address, out);
            }
            // The answer to its first request was lost.
            Message::Join { echo, .. } => {
                self.send_records(to, echo, |r| r.state.is_alive(), out);
            }
            Message::Cookie { cookie, address } => self.join(now, cookie, address, out),
        }
    }

    pub(super) fn merge_records(&mut self, now: Time, records: Vec<Record>, out: &mut Vec<Output>) {
        for record in records {
            self.merge(now, record, out);
        }
        if !self.peers.is_empty() {
            self.set_joined();
        }
    }

    pub(super) fn set_joined(&mut self) {
        if matches!(self.phase, Phase::Joining { .. }) {
            self.phase = Phase::In;
        }
    }

    pub(super) fn apply_piggyback(
        &mut self,
        now: Time,
        from: &Name,
        rider: Piggyback,
        out: &mut Vec<Output>,
    ) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.health = rider.health.min(MAX_LOCAL_HEALTH);
        }
        for record in rider.updates {
            self.merge(now, record, out);
        }
        let quiet = self.changed_at + self.config.probe_interval <= now && self.next_differs <= now;
        let same = rider.digest == self.digest() || planted!(DigestAlwaysEqual);
        if !same && quiet {
            self.next_differs = now + self.config.probe_interval;
            if let Some(to) = self.peers.get(from).map(|p| p.record.address) {
                let buckets = self.sums.buckets;
                self.send(to, Message::DigestMismatch { buckets }, out);
            }
        }
    }
}

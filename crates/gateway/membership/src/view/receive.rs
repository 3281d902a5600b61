//! Handling of received datagrams: admission of senders, and answers.

use super::*;

/// Sender of a datagram, and the datagram's length in bytes.
struct Sender {
    name: Name,
    generation: u64,
    length: usize,
}

impl View {
    /// Verifies a datagram and handles its message. The sender is the member that the datagram names.
    ///
    /// # Errors
    /// The datagram is rejected; `out` may still have an answer to it.
    pub(super) fn on_datagram(
        &mut self,
        now: Time,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        let datagram = self.keys.open(bytes)?;
        let Datagram { from, generation, number, message } = datagram;
        if from == self.record.name {
            if generation > self.record.generation {
                self.on_newer_generation(generation, out);
            }
            return Err(if generation == self.record.generation {
                DatagramError::FromSelf
            } else {
                DatagramError::OldGeneration
            });
        }
        match self.peers.get_mut(&from) {
            Some(peer) if peer.record.generation == generation => {
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
                self.on_message(now, &from, message, out);
                Ok(())
            }
            Some(peer) if peer.record.generation > generation => {
                let (record, previous_address) = (peer.record.clone(), peer.previous_address);
                if self.unknown_sender_limit.take(now) {
                    let sender = Sender { name: from, generation, length: bytes.len() };
                    self.on_earlier_generation(now, &sender, message, (record, previous_address), out);
                }
                Err(DatagramError::OldGeneration)
            }
            _ => {
                let sender = Sender { name: from, generation, length: bytes.len() };
                self.on_unknown_sender(now, &sender, number, message, out)
            }
        }
    }

    /// Handles a datagram from an earlier generation than that of `record`: the sender's clock was set back, or it does
    /// not know of its successor.
    fn on_earlier_generation(
        &mut self,
        now: Time,
        sender: &Sender,
        message: Message,
        (record, previous_address): (Record, Option<SocketAddr>),
        out: &mut Vec<Output>,
    ) {
        let (to, echo) = match message {
            Message::Hello { record: old_record, .. } => {
                return self.send_cookie(now, sender, old_record.address, out)
            }
            Message::Join { record: old_record, cookie, echo } => {
                let claimant = (&*sender.name, sender.generation, old_record.address);
                if !self.cookies.is_valid(&self.keys, now, cookie, claimant) {
                    return;
                }
                (old_record.address, echo)
            }
            // A ping states the sender's address; after other messages the answer goes to the previous address.
            Message::Ping { address, .. } => (address, 0),
            _ => match previous_address {
                Some(to) => (to, 0),
                None => return,
            },
        };
        self.send(to, Message::Records { echo, records: vec![record] }, out);
    }

    /// Sends a cookie to an unknown sender, unless the answer would be longer than the request.
    fn send_cookie(&mut self, now: Time, sender: &Sender, to: SocketAddr, out: &mut Vec<Output>) {
        let cookie = self.cookies.issue(&self.keys, now, &sender.name, sender.generation, to);
        self.send_within(sender.length, to, Message::Cookie { cookie, address: self.record.address }, out);
    }

    fn on_unknown_sender(
        &mut self,
        now: Time,
        sender: &Sender,
        number: u64,
        message: Message,
        out: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        // A returned cookie proves the sender's address, so joins are not rate-limited.
        if !matches!(message, Message::Join { .. }) && !self.unknown_sender_limit.take(now) {
            return Err(DatagramError::RateLimited);
        }
        match message {
            Message::Hello { record, .. } if !planted!(StrangerKept) => {
                self.send_cookie(now, sender, record.address, out);
                Ok(())
            }
            // The sender knows an earlier generation of this member, or was removed here.
            Message::Ping { address, .. } => {
                self.send_cookie(now, sender, address, out);
                Ok(())
            }
            Message::Hello { record, .. } => self.admit_member(now, record, (number, 0), out),
            Message::Join { record, cookie, echo } => {
                if !self.cookies.is_valid(
                    &self.keys,
                    now,
                    cookie,
                    (&sender.name, sender.generation, record.address),
                ) {
                    return Err(DatagramError::Cookie);
                }
                self.admit_member(now, record, (number, echo), out)
            }
            Message::Cookie { cookie, address } => {
                self.join(now, cookie, address, out);
                Ok(())
            }
            // First answer to a join: the records are accepted although the sender is not known yet.
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
        // Speeds up dissemination of the new member by a round or two.
        for helper in self.choose_helpers(&name) {
            if self.extra_ping_limit.take(now) {
                self.ping(&helper, 0, out);
            }
        }
        Ok(())
    }

    pub(super) fn on_message(&mut self, now: Time, from: &Name, message: Message, out: &mut Vec<Output>) {
        let Some(to) = self.peers.get(from).map(|p| p.record.address) else { return };
        match message {
            Message::Ping { probe, generation, piggyback, .. } => {
                self.apply_piggyback(now, from, piggyback, out);
                if generation == self.record.generation {
                    let piggyback = self.piggyback_for(from);
                    self.send(to, Message::Ack { probe, piggyback }, out);
                } else {
                    self.send(to, Message::Records { echo: 0, records: vec![self.record.clone()] }, out);
                }
            }
            Message::Ack { probe, piggyback } => {
                self.apply_piggyback(now, from, piggyback, out);
                if let Some(relay) = self.relays.iter().position(|r| r.number == probe) {
                    let Relay { requester, requested_probe, .. } = self.relays.swap_remove(relay);
                    self.send_to_member(
                        &requester,
                        |piggyback| Message::Ack { probe: requested_probe, piggyback },
                        out,
                    );
                }
                let Some(pending) = &mut self.probe else { return };
                if pending.number == probe
                    && (pending.target == *from || pending.helpers.contains(from))
                    && !pending.is_answered
                {
                    pending.is_answered = true;
                    self.health = self.health.saturating_sub(1);
                }
            }
            Message::PingRequest { probe, target, piggyback } => {
                self.apply_piggyback(now, from, piggyback, out);
                if self.relays.len() < MAX_RELAYS && self.peers.contains_key(&target) {
                    let number = self.next_number();
                    let expires_at = now + self.config.probe_interval * 2 / 5;
                    self.relays.push(Relay {
                        number,
                        requester: from.clone(),
                        requested_probe: probe,
                        expires_at,
                    });
                    self.ping(&target, number, out);
                }
            }
            Message::Nack { piggyback, .. } => self.apply_piggyback(now, from, piggyback, out),
            Message::DigestMismatch { buckets } => {
                if self.digest_answer_limit.take(now) {
                    let own = self.alive_totals.buckets;
                    let is_in_differing_bucket = |r: &Record| {
                        let index = bucket(&r.name);
                        own[index] != buckets[index]
                    };
                    self.send_records(to, 0, is_in_differing_bucket, out);
                }
            }
            Message::Records { records, .. } => self.merge_records(now, records, out),
            Message::Hello { record, .. } => {
                let sender =
                    Sender { name: from.clone(), generation: record.generation, length: MAX_DATAGRAM_BYTES };
                self.send_cookie(now, &sender, record.address, out);
            }
            // The answer to the sender's first request was lost.
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
            self.phase = Phase::Joined;
        }
    }

    pub(super) fn apply_piggyback(
        &mut self,
        now: Time,
        from: &Name,
        piggyback: Piggyback,
        out: &mut Vec<Output>,
    ) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.health = piggyback.health.min(MAX_LOCAL_HEALTH);
        }
        for record in piggyback.updates {
            self.merge(now, record, out);
        }
        let is_quiet =
            self.alive_changed_at + self.config.probe_interval <= now && self.next_digest_mismatch <= now;
        let digests_match = piggyback.digest == self.digest() || planted!(DigestAlwaysEqual);
        if !digests_match && is_quiet {
            self.next_digest_mismatch = now + self.config.probe_interval;
            if let Some(to) = self.peers.get(from).map(|p| p.record.address) {
                let buckets = self.alive_totals.buckets;
                self.send(to, Message::DigestMismatch { buckets }, out);
            }
        }
    }
}

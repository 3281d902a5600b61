//! Sending datagrams.

use super::*;

impl View {
    pub(super) fn living_records(&self) -> impl Iterator<Item = &Record> {
        // In the order of names, this member included.
        let own = &self.record;
        let (before, after) = (self.peers.range(..own.name.clone()), self.peers.range(own.name.clone()..));
        let lives = |r: &&Record| r.state.is_alive();
        let before = before.map(|(_, p)| &p.record).filter(lives);
        before.chain(std::iter::once(own)).chain(after.map(|(_, p)| &p.record).filter(lives))
    }

    pub(super) fn next_number(&mut self) -> u32 {
        self.last_probe = self.last_probe.wrapping_add(1).max(1);
        self.last_probe
    }

    /// The updates for this member: first its own state, if it may want to refute that.
    pub(super) fn piggyback_for(&mut self, to: &Name) -> Piggyback {
        let said = self.peers.get(to).map(|p| &p.record).filter(|_| !planted!(PlainSwim));
        let buddy = said.filter(|r| r.state != State::Alive).cloned();
        let taken = buddy.as_ref().map_or(0, encoded_size);
        let members = self.peers.len() + 1;
        let mut rumours = self.broadcasts.take(MAX_PIGGYBACK_BYTES - taken, members);
        rumours.retain(|r| buddy.as_ref().is_none_or(|b| b.name != r.name));
        rumours.extend(buddy);
        Piggyback { digest: self.digest(), health: self.health, updates: rumours }
    }

    pub(super) fn ping(&mut self, target: &Name, probe: u32, out: &mut Vec<Output>) {
        let Some(life) = self.peers.get(target).map(|p| p.record.generation) else { return };
        let address = self.record.address;
        self.send_to_member(
            target,
            |rider| Message::Ping { probe, generation: life, address, piggyback: rider },
            out,
        );
    }

    pub(super) fn send_to_member(
        &mut self,
        to: &Name,
        message: impl FnOnce(Piggyback) -> Message,
        out: &mut Vec<Output>,
    ) {
        let rider = self.piggyback_for(to);
        if let Some(address) = self.peers.get(to).map(|p| p.record.address) {
            self.send(address, message(rider), out);
        }
    }

    /// Sends as many of the wanted records as a few datagrams hold; only those are copied.
    pub(super) fn send_records(
        &mut self,
        to: SocketAddr,
        echo: u64,
        wanted: impl Fn(&Record) -> bool,
        out: &mut Vec<Output>,
    ) {
        let others = self.peers.values().map(|p| &p.record);
        let mut all: Vec<&Record> =
            std::iter::once(&self.record).chain(others).filter(|r| wanted(r)).collect();
        // If more match than fit, each answer sends others.
        self.rng.shuffle(&mut all);
        if let Some(own) = all.iter().position(|r| r.name == self.record.name) {
            all.swap(0, own);
        }
        let mut all = all.into_iter().peekable();
        let mut answers = Vec::new();
        for _ in 0..MAX_RECORD_DATAGRAMS {
            let (mut records, mut room) = (Vec::new(), MAX_RECORDS_BYTES);
            while let Some(record) = all.next_if(|r| encoded_size(r) <= room) {
                room -= encoded_size(record);
                records.push(record.clone());
            }
            answers.push(records);
        }
        for records in answers.into_iter().filter(|r| !r.is_empty()) {
            self.send(to, Message::Records { echo, records }, out);
        }
    }

    /// To an unknown sender: nothing, if it would be longer than the request.
    pub(super) fn send_within(
        &mut self,
        length: usize,
        to: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        self.send(to, message, out);
        if matches!(out.last(), Some(Output::Send { bytes, .. }) if bytes.len() > length) {
            out.pop();
        }
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message, out: &mut Vec<Output>) {
        self.last_datagram += 1;
        let (from, life, number) = (self.record.name.clone(), self.record.generation, self.last_datagram);
        if let Some(bytes) = self.keys.seal(&Datagram { from, generation: life, number, message }) {
            out.push(Output::Send { to, bytes });
        }
    }
}

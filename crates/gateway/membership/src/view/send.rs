//! Sending datagrams.

use super::*;

impl View {
    pub(super) fn alive_records(&self) -> impl Iterator<Item = &Record> {
        // Ordered by name, including this member.
        let own = &self.record;
        let (before, after) = (self.peers.range(..own.name.clone()), self.peers.range(own.name.clone()..));
        let is_alive = |r: &&Record| r.state.is_alive();
        let before = before.map(|(_, p)| &p.record).filter(is_alive);
        before.chain(std::iter::once(own)).chain(after.map(|(_, p)| &p.record).filter(is_alive))
    }

    pub(super) fn next_number(&mut self) -> u32 {
        self.last_probe = self.last_probe.wrapping_add(1).max(1);
        self.last_probe
    }

    /// Returns the piggyback for a member. It always includes the member's own record if it is believed not to be alive
    /// (Lifeguard's buddy system), so that the member can refute.
    pub(super) fn piggyback_for(&mut self, to: &Name) -> Piggyback {
        let believed = self.peers.get(to).map(|p| &p.record).filter(|_| !planted!(PlainSwim));
        let buddy = believed.filter(|r| r.state != State::Alive).cloned();
        let buddy_bytes = buddy.as_ref().map_or(0, encoded_size);
        let members = self.peers.len() + 1;
        let mut updates = self.broadcasts.take(MAX_PIGGYBACK_BYTES - buddy_bytes, members);
        updates.retain(|r| buddy.as_ref().is_none_or(|b| b.name != r.name));
        updates.extend(buddy);
        Piggyback { digest: self.digest(), health: self.health, updates }
    }

    pub(super) fn ping(&mut self, target: &Name, probe: u32, out: &mut Vec<Output>) {
        let Some(generation) = self.peers.get(target).map(|p| p.record.generation) else { return };
        let address = self.record.address;
        self.send_to_member(target, |piggyback| Message::Ping { probe, generation, address, piggyback }, out);
    }

    pub(super) fn send_to_member(
        &mut self,
        to: &Name,
        message: impl FnOnce(Piggyback) -> Message,
        out: &mut Vec<Output>,
    ) {
        let piggyback = self.piggyback_for(to);
        if let Some(address) = self.peers.get(to).map(|p| p.record.address) {
            self.send(address, message(piggyback), out);
        }
    }

    /// Sends as many of the selected records as fit into [`MAX_RECORD_DATAGRAMS`] datagrams. Only those are cloned.
    pub(super) fn send_records(
        &mut self,
        to: SocketAddr,
        echo: u64,
        is_selected: impl Fn(&Record) -> bool,
        out: &mut Vec<Output>,
    ) {
        let others = self.peers.values().map(|p| &p.record);
        let mut selected: Vec<&Record> =
            std::iter::once(&self.record).chain(others).filter(|r| is_selected(r)).collect();
        // If more are selected than fit, each answer holds different ones.
        self.rng.shuffle(&mut selected);
        if let Some(own) = selected.iter().position(|r| r.name == self.record.name) {
            selected.swap(0, own);
        }
        let mut selected = selected.into_iter().peekable();
        let mut batches = Vec::new();
        for _ in 0..MAX_RECORD_DATAGRAMS {
            let (mut records, mut remaining_bytes) = (Vec::new(), MAX_RECORDS_BYTES);
            while let Some(record) = selected.next_if(|r| encoded_size(r) <= remaining_bytes) {
                remaining_bytes -= encoded_size(record);
                records.push(record.clone());
            }
            batches.push(records);
        }
        for records in batches.into_iter().filter(|r| !r.is_empty()) {
            self.send(to, Message::Records { echo, records }, out);
        }
    }

    /// Sends a message to an unknown sender, unless it would be longer than `max_bytes`, the length of the request.
    pub(super) fn send_within(
        &mut self,
        max_bytes: usize,
        to: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        self.send(to, message, out);
        if matches!(out.last(), Some(Output::Send { bytes, .. }) if bytes.len() > max_bytes) {
            out.pop();
        }
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message, out: &mut Vec<Output>) {
        self.last_datagram += 1;
        let (from, generation, number) =
            (self.record.name.clone(), self.record.generation, self.last_datagram);
        if let Some(bytes) = self.keys.seal(&Datagram { from, generation, number, message }) {
            out.push(Output::Send { to, bytes });
        }
    }
}

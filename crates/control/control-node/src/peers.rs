//! What other prompters say: handed to the agreement, the cell, the office, the founding.

use crate::{Defect, Prompter, Time, MS};
use consensus::{Id, Input};
use messages::message::{Down, Peer};
use std::net::IpAddr;
use trial::Wall;

/// Other prompters are told who this one is so often.
pub const HELLO: Time = 500 * MS;
/// No fleet has so many prompters.
const KNOWN: usize = 64;

impl Prompter {
    /// Who this is, which others are told again and again.
    pub fn hello(&self, wall: Wall) -> Peer {
        Peer::Hello {
            id: self.setup.me.clone(),
            zone: self.setup.zone.clone(),
            first: self.setup.first,
            votes: self.setup.votes,
            known: self.prompters(),
            wall,
        }
    }

    /// Somebody has told of a prompter.
    pub fn knows(&mut self, name: &str, zone: &str) {
        if name.parse::<IpAddr>().is_ok() && (self.known.len() < KNOWN || self.known.contains_key(name)) {
            let held = self.known.entry(name.to_string()).or_default();
            if !zone.is_empty() {
                *held = zone.to_string();
            }
        }
    }

    /// What another prompter says.
    pub fn hear(&mut self, now: Time, from: &Id, peer: Peer) {
        self.now = now;
        match peer {
            Peer::Hello { id, zone, first, votes, known, wall } => {
                self.rights.clock(now, &id.name, wall);
                known.iter().for_each(|(name, zone)| self.knows(name, zone));
                self.knows(&id.name, &zone);
                if let Some(founder) = self.founder.as_mut().filter(|_| first) {
                    founder.hear(&id.name, votes.then_some(id.disk));
                }
                if self.duty.members.get(&id.name) != Some(&id.disk) {
                    let votes = votes && !self.has(Defect::NewcomerNeverVotes);
                    self.put(Input::Knock { id, votes });
                }
            }
            Peer::Founding(said) => self.founding_said(from, said),
            Peer::Found { members } => {
                if self.setup.first {
                    self.put(Input::Found { members });
                }
            }
            Peer::Agree(message) => self.put(Input::Message(message)),
            Peer::Beats { facts, again } => self.beats(&from.name, facts, again),
            Peer::Unknown { instances } => self.beats_wanted(&from.name, &instances),
            Peer::Over { instance } => self.over(&instance),
            Peer::Propose { word } => self.put(Input::Propose { tag: 0, word }),
            Peer::Contact { number } => self.contact_asked(&from.name, number),
            Peer::Contacted { number, age, agreed } => self.contact.told(number, age, agreed),
            Peer::Ask { gateway, ask } => {
                if let Some(lent) = self.lend(&gateway, &ask) {
                    let term = self.duty.term;
                    self.tell(&from.name, Peer::Lent { gateway, term, lent });
                }
            }
            Peer::Lent { gateway, term, lent } => {
                // Of a leader that was: its word counts no more.
                if term >= self.duty.term {
                    self.effects.push(crate::Effect::Hand { gateway, down: Down::Lent(lent) });
                }
            }
        }
    }
}

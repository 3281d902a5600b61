//! Gateways that follow: a scene, then changes, the configuration in parts, a pulse, and their asks for rights.

use crate::{Defect, Effect, Prompter, Time, MS};
use change_log::Place;
use control_state::{Sender, Word};
use messages::message::{Down, Peer, Up};

/// A gateway is told how fresh this prompter is so often.
pub const PULSE: Time = 200 * MS;
/// Gateways that one may miss.
const MISSING: usize = 64;

/// A gateway that follows.
#[derive(Debug)]
pub(crate) struct Follower {
    /// Tells its connections apart: the newest counts.
    link: u64,
    place: Option<Place>,
    sender: Sender,
    /// The latest number that it has said: pulses bear it.
    contact: u64,
    /// Whom it believes to be gone.
    missing: Vec<String>,
}

impl Prompter {
    /// A gateway follows from now on, and says how far it has followed this prompter, where the configuration that it holds stands, and
    /// a number for its first pulse. The link's number.
    pub fn follow(
        &mut self,
        name: &str,
        place: Option<Place>,
        holds: control_state::Place,
        contact: u64,
    ) -> u64 {
        self.links += 1;
        let (link, sender) = (self.links, Sender::new(holds));
        self.followers.insert(name.into(), Follower { link, place, sender, contact, missing: Vec::new() });
        self.links
    }

    /// Its link has ended.
    pub fn unfollow(&mut self, name: &str, link: u64) {
        if self.follower(name, link).is_some() {
            self.followers.remove(name);
        }
    }

    fn follower(&mut self, name: &str, link: u64) -> Option<&mut Follower> {
        self.followers.get_mut(name).filter(|f| f.link == link)
    }

    /// Those who follow, each with whom it believes to be gone.
    pub fn followers(&self) -> impl Iterator<Item = (&String, &[String])> {
        self.followers.iter().map(|(name, f)| (name, f.missing.as_slice()))
    }

    /// What it is to be told now beside parts of a configuration.
    pub fn news(&mut self, now: Time, name: &str, link: u64) -> Option<Down> {
        self.now = now;
        let at = self.follower(name, link)?.place;
        let (news, next) = match at.and_then(|at| Some((at, self.news.since(at)?))) {
            Some((at, changes)) => {
                let next = Place { at: at.at + changes.len() as u64, ..at };
                ((!changes.is_empty()).then_some(Down::Changes { from: at, changes }), next)
            }
            None => {
                let (place, scene) = self.scene();
                (Some(scene), place)
            }
        };
        self.follower(name, link)?.place = Some(next);
        news
    }

    /// The next part of the newest configuration, if there is room for one on its way.
    pub fn part(&mut self, name: &str, link: u64) -> Option<Down> {
        let follower = self.followers.get_mut(name).filter(|f| f.link == link)?;
        follower.sender.part(&self.news.steps, self.book.configuration()).map(Down::Configuration)
    }

    /// What it is told a few times a second; none: another link has taken its place. One that is not agreed on yet has no part of what
    /// is shared.
    pub fn pulse(&mut self, now: Time, name: &str, link: u64) -> Option<Down> {
        self.now = now;
        let contact = self.follower(name, link)?.contact;
        if self.book.wants_gateway(name) {
            self.pass_on(Word::Gateway { name: name.into() }.write());
        }
        let touch_ms = u32::try_from(self.untouched_for(now) / 1_000_000).unwrap_or(u32::MAX);
        let newest = match self.book.configuration() {
            Some(_) if self.has(Defect::PulseHidesNewest) => 0,
            configuration => configuration.map_or(0, |c| c.place),
        };
        Some(Down::Pulse { contact, touch_ms, newest, prompters: self.prompters() })
    }

    /// What it says.
    pub fn heard(&mut self, now: Time, name: &str, link: u64, up: Up) {
        self.now = now;
        let Some(follower) = self.follower(name, link) else { return };
        match up {
            Up::Company { mut missing } => {
                missing.truncate(MISSING);
                log::info!("company: {name} misses {}", missing.join(", "));
                follower.missing = missing;
            }
            Up::Got { place, bytes } => {
                follower.sender.got(place, bytes);
                self.effects.push(Effect::Room { gateway: name.into() });
            }
            Up::Lacks => {
                log::info!("configuration: {name} is told the whole");
                follower.sender.lacks();
                self.effects.push(Effect::Room { gateway: name.into() });
            }
            Up::Contact { number } => follower.contact = follower.contact.max(number),
            Up::Ask(ask) => {
                if self.duty.is_leader {
                    if let Some(lent) = self.lend(name, &ask) {
                        self.hand(name, lent);
                    }
                } else if let Some(leader) = self.duty.leader.as_ref().map(|l| l.name.clone()) {
                    self.tell(&leader, Peer::Ask { gateway: name.into(), ask });
                }
            }
        }
    }
}

//! The link to a prompter: the one of the own zone if it can be had, else any other. What it tells is folded in.

use crate::company::Company;
use crate::playing::Playing;
use callboard::{Follower, Take};
use promptbook::{Received, Receiver};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at, Instant};
use wings::frame;
use wings::message::{Down, First, Up, FORM};
use wings::net::connect;
use wings::settings::{self, Settings};

/// A prompter says something each 200 ms; a long word is no silence while its bytes come, for so long at the most.
const SILENT: Duration = Duration::from_millis(700);
const LONG_WORD: Duration = Duration::from_secs(10);
/// A prompter that cannot prove what it tells for so long, in ms, is left.
const STALE: u32 = 1000;
/// One that was stale, or not there, is not tried again so soon while there are others.
const SHUNNED: Duration = Duration::from_millis(600);
/// Nor one that refused the connection: it may be just starting.
const REFUSED: Duration = Duration::from_millis(60);
const PAUSE: Duration = Duration::from_millis(40);
const QUEUE: usize = 32;
/// Nor one that did not answer at all.
const UNHEARD: Duration = Duration::from_millis(700);
/// Through another gateway it is followed for so long before a prompter is tried again.
const THROUGH: Duration = Duration::from_millis(2000);
/// A link that lasted so long did well; and how often the time for which one is shunned is doubled.
const DID_WELL: Duration = Duration::from_millis(2000);
const MOST_DOUBLED: u32 = 3;
/// So many in a row that did not answer: this gateway is cut off, not they.
const CUT_OFF: u32 = 2;
/// Gateways that are tried in turn.
const TRIED: usize = 4;

pub struct Follow {
    playing: Rc<Playing>,
    settings: Settings,
    /// Prompters by address, with their zones as far as they are known.
    known: BTreeMap<IpAddr, String>,
    /// Until when each is not tried while there are others, and how often in a row it came to that.
    shunned: BTreeMap<IpAddr, (Instant, u32)>,
    follower: Follower,
    /// Gateways that know each other.
    company: Option<Rc<Company>>,
    /// What was last told of them.
    missing: Vec<String>,
    /// Prompters in a row that did not answer at all.
    unheard: u32,
}

/// Why a link ended.
enum End {
    /// It could not be had, broke or fell silent.
    Lost,
    /// The prompter has lost the majority.
    Stale,
    /// Another is nearer.
    Nearer,
}

impl Follow {
    pub fn new(playing: Rc<Playing>, settings: Settings, company: Option<Rc<Company>>) -> Self {
        let (known, shunned, follower, missing) = Default::default();
        Follow { playing, settings, known, shunned, follower, company, missing, unheard: 0 }
    }

    pub async fn run(mut self) {
        loop {
            let (ip, open) = match self.next() {
                Some(found) => found,
                None => {
                    sleep(PAUSE).await;
                    continue;
                }
            };
            if !open {
                // The file may have changed without a word.
                if let Ok(new) = Settings::load(&settings::path()) {
                    self.settings = new;
                }
                sleep(PAUSE + PAUSE.mul_f64(fastrand::f64())).await;
            }
            let began = Instant::now();
            let port = self.settings.prompters_port();
            let end = self.follow(ip, SocketAddr::new(ip, port)).await;
            self.playing.unlinked();
            let shun = match &end {
                Ok(End::Nearer) => continue,
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => REFUSED,
                Err(e) if e.kind() == io::ErrorKind::TimedOut => UNHEARD,
                Ok(End::Lost | End::Stale) | Err(_) => SHUNNED,
            };
            self.unheard = if shun == UNHEARD { self.unheard + 1 } else { 0 };
            let now = Instant::now();
            // One that did well for a while begins anew; one that fails again and again is left alone for longer.
            let before = if now - began >= DID_WELL { 0 } else { self.shunned.get(&ip).map_or(0, |s| s.1) };
            self.shunned.insert(ip, (now + shun * (1 << before.min(MOST_DOUBLED)), before + 1));
            if self.unheard >= CUT_OFF {
                self.through_others().await;
            }
        }
    }

    /// Cut off from prompters: a gateway that is not lets this one through to its own.
    async fn through_others(&mut self) {
        let Some(port) = self.settings.relays_port() else { return };
        let others = self.company.as_ref().map(|c| c.others()).unwrap_or_default();
        for ip in others.into_iter().take(TRIED) {
            let end = self.follow(ip, SocketAddr::new(ip, port)).await;
            self.playing.unlinked();
            if matches!(end, Ok(End::Nearer)) {
                return;
            }
        }
    }

    /// Whom to follow next: one of the own zone first; of the others, any. Whether it is one that is not shunned: where all
    /// are, the one that would be tried first.
    fn next(&mut self) -> Option<(IpAddr, bool)> {
        let now = Instant::now();
        let all: BTreeSet<IpAddr> = self.known.keys().copied().chain(self.settings.seeds()).collect();
        self.shunned.retain(|ip, _| all.contains(ip));
        let mut open: Vec<IpAddr> = all.iter().copied().filter(|ip| !self.is_shunned(ip, now)).collect();
        fastrand::shuffle(&mut open);
        let near = open.iter().find(|ip| self.is_near(ip)).copied();
        let first = near.or_else(|| open.first().copied());
        let soonest = || all.into_iter().min_by_key(|ip| self.shunned.get(ip).map(|s| s.0));
        first.map(|ip| (ip, true)).or_else(|| soonest().map(|ip| (ip, false)))
    }

    fn is_shunned(&self, ip: &IpAddr, now: Instant) -> bool {
        self.shunned.get(ip).is_some_and(|(until, _)| *until > now)
    }

    fn is_near(&self, ip: &IpAddr) -> bool {
        *ip == self.settings.own.ip_address || self.known.get(ip) == Some(&self.settings.own.zone)
    }

    /// Follows a prompter, at this address or through it, until the link ends.
    async fn follow(&mut self, ip: IpAddr, address: SocketAddr) -> io::Result<End> {
        let direct = address.port() == self.settings.prompters_port();
        let stream = connect(address).await?;
        let (mut reader, mut writer) = frame::split(stream);
        reader.known();
        let own = &self.settings.own;
        let (name, zone, place) = (own.node_name.clone(), own.zone.clone(), self.follower.place());
        let holds = self.playing.holds();
        writer.write(&First::Gateway { form: FORM, name, zone, place, holds }).await?;
        self.missing.clear();
        let (sender, mut asks) = mpsc::channel::<Up>(QUEUE);
        self.playing.linked(sender, direct.then_some(ip));
        log::info!("following {ip}");
        let begun = Instant::now();
        let mut parts = Receiver::default();
        let mut word = begun;
        let mut sweep = Instant::now();
        loop {
            let silent = reader.heard().max(word) + SILENT;
            let message = tokio::select! {
                message = timeout_at(silent, reader.read::<Down>()) => message,
                ask = asks.recv() => {
                    if let Some(ask) = ask {
                        writer.write(&ask).await?;
                    }
                    continue;
                }
            };
            let now = Instant::now();
            let Ok(message) = message else {
                if now < reader.heard() + SILENT && now < word + LONG_WORD {
                    continue;
                }
                return Ok(End::Lost);
            };
            let Some(message) = message? else { return Ok(End::Lost) };
            word = now;
            match message {
                Down::Scene { place, scene } => {
                    self.follower.begun(place);
                    let at = self.playing.rights.now();
                    self.playing.fold(|fold| fold.scene(at, *scene));
                }
                Down::Changes { from, changes } => match self.follower.told(from, changes.len()) {
                    Take::From(known) => changes.into_iter().skip(known).for_each(|change| {
                        self.playing.fold(|fold| fold.change(change));
                    }),
                    Take::Snapshot => {
                        // It begins anew without a place.
                        self.follower = Follower::default();
                        return Ok(End::Lost);
                    }
                },
                Down::Lent(lent) => self.playing.rights.lent(&lent),
                Down::Configuration(part) => {
                    let held = self.playing.configuration();
                    let up = match parts.receive(held.as_deref(), part) {
                        Received::More { place, bytes } => Up::Got { place, bytes },
                        Received::Whole { configuration, bytes } => {
                            let place = configuration.place;
                            self.playing.fold(|fold| fold.configuration(configuration));
                            Up::Got { place, bytes }
                        }
                        Received::Lacks => Up::Lacks,
                        Received::Wrong => return Ok(End::Lost),
                    };
                    writer.write(&up).await?;
                }
                Down::Pulse { touch_ms, newest, prompters } => {
                    for (name, zone) in prompters {
                        if let Ok(ip) = name.parse() {
                            self.known.insert(ip, zone);
                        }
                    }
                    let mut others =
                        self.known.keys().filter(|other| **other != ip && !self.is_shunned(other, now));
                    if touch_ms <= STALE {
                        self.playing.touched(now - Duration::from_millis(u64::from(touch_ms)), newest);
                        let settled = direct || begun.elapsed() >= THROUGH;
                        if settled && !self.is_near(&ip) && others.any(|other| self.is_near(other)) {
                            return Ok(End::Nearer);
                        }
                    } else if others.next().is_some() {
                        // Where nobody has a majority any one is as good.
                        return Ok(End::Stale);
                    }
                }
            }
            if now >= sweep {
                sweep = now + Duration::from_secs(1);
                let at = self.playing.rights.now();
                self.playing.fold(|fold| fold.sweep(at));
                let missing = self.company.as_ref().map(|c| c.missing()).unwrap_or_default();
                if missing != self.missing {
                    self.missing.clone_from(&missing);
                    writer.write(&Up::Company { missing }).await?;
                }
            }
        }
    }
}

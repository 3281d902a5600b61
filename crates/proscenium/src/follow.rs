//! The link to a prompter: the one of the own zone if it can be had, else any other. What it tells is folded in.

use crate::playing::Playing;
use callboard::{Follower, Take};
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

/// A prompter says something each 200 ms.
const SILENT: Duration = Duration::from_millis(700);
/// A prompter that has not known of a majority for so long, in ms, is left.
const STALE: u32 = 800;
/// One that was stale, or not there, is not tried again so soon while there are others.
const SHUNNED: Duration = Duration::from_millis(600);
/// Nor one that refused the connection: it may be just starting.
const REFUSED: Duration = Duration::from_millis(60);
const PAUSE: Duration = Duration::from_millis(40);
const QUEUE: usize = 32;

pub struct Follow {
    playing: Rc<Playing>,
    settings: Settings,
    /// Prompters by address, with their zones as far as they are known.
    known: BTreeMap<IpAddr, String>,
    /// Until when each is not tried.
    shunned: BTreeMap<IpAddr, Instant>,
    follower: Follower,
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
    pub fn new(playing: Rc<Playing>, settings: Settings) -> Self {
        let (known, shunned, follower) = Default::default();
        Follow { playing, settings, known, shunned, follower }
    }

    pub async fn run(mut self) {
        loop {
            let Some(ip) = self.next() else {
                // The file may have changed without a word.
                if let Ok(new) = Settings::load(&settings::path()) {
                    self.settings = new;
                }
                sleep(PAUSE + PAUSE.mul_f64(fastrand::f64())).await;
                continue;
            };
            let end = self.follow(ip).await;
            self.playing.rights.link(None);
            match end {
                Ok(End::Nearer) => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                    self.shunned.insert(ip, Instant::now() + REFUSED);
                }
                Ok(End::Lost | End::Stale) | Err(_) => {
                    self.shunned.insert(ip, Instant::now() + SHUNNED);
                }
            }
        }
    }

    /// Whom to follow next: one of the own zone first; of the others, any.
    fn next(&mut self) -> Option<IpAddr> {
        let now = Instant::now();
        self.shunned.retain(|_, until| *until > now);
        let all: BTreeSet<IpAddr> = self.known.keys().copied().chain(self.settings.seeds()).collect();
        let mut open: Vec<IpAddr> = all.into_iter().filter(|ip| !self.shunned.contains_key(ip)).collect();
        fastrand::shuffle(&mut open);
        let near = open.iter().find(|ip| self.is_near(ip)).copied();
        near.or_else(|| open.first().copied())
    }

    fn is_near(&self, ip: &IpAddr) -> bool {
        *ip == self.settings.own.ip_address || self.known.get(ip) == Some(&self.settings.own.zone)
    }

    async fn follow(&mut self, ip: IpAddr) -> io::Result<End> {
        let stream = connect(SocketAddr::new(ip, self.settings.prompters_port())).await?;
        let (mut reader, mut writer) = frame::split(stream);
        let own = &self.settings.own;
        let (name, zone, place) = (own.node_name.clone(), own.zone.clone(), self.follower.place());
        writer.write(&First::Gateway { form: FORM, name, zone, place }).await?;
        let (sender, mut asks) = mpsc::channel::<Up>(QUEUE);
        self.playing.rights.link(Some(sender));
        log::info!("following {ip}");
        let mut silent = Instant::now() + SILENT;
        let mut sweep = Instant::now();
        loop {
            let message = tokio::select! {
                message = timeout_at(silent, reader.read::<Down>()) => message,
                ask = asks.recv() => {
                    if let Some(ask) = ask {
                        writer.write(&ask).await?;
                    }
                    continue;
                }
            };
            let Ok(message) = message else { return Ok(End::Lost) };
            let Some(message) = message? else { return Ok(End::Lost) };
            let now = Instant::now();
            silent = now + SILENT;
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
                Down::Pulse { touch_ms, prompters } => {
                    for (name, zone) in prompters {
                        if let Ok(ip) = name.parse() {
                            self.known.insert(ip, zone);
                        }
                    }
                    let shunned = |other: &IpAddr| self.shunned.get(other).is_some_and(|until| *until > now);
                    let mut others = self.known.keys().filter(|other| **other != ip && !shunned(other));
                    if touch_ms <= STALE {
                        self.playing.touched(now - Duration::from_millis(u64::from(touch_ms)));
                        if !self.is_near(&ip) && others.any(|other| self.is_near(other)) {
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
            }
        }
    }
}

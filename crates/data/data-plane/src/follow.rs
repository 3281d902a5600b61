//! The link to a prompter: [`subscription::Follow`] says which, and what to make of what it tells.

use crate::company::Company;
use crate::playing::Playing;
use messages::frame;
use messages::message::{Down, Up};
use process::net::connect;
use process::settings::{self, Settings};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use subscription::{Effect, End, LONG_WORD, SILENT};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at, Instant};

const PAUSE: Duration = Duration::from_millis(40);
const QUEUE: usize = 32;
/// Gateways that are tried in turn.
const TRIED: usize = 4;

pub struct Follow {
    playing: Rc<Playing>,
    settings: Settings,
    /// Gateways that know each other.
    company: Option<Rc<Company>>,
}

impl Follow {
    pub fn new(playing: Rc<Playing>, settings: Settings, company: Option<Rc<Company>>) -> Self {
        Follow { playing, settings, company }
    }

    pub async fn run(mut self) {
        loop {
            let seeds = self.settings.seeds();
            let (ip, open) = match self.playing.follow(|f, now| f.next(now, &seeds, |n| fastrand::usize(..n)))
            {
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
            let began = self.playing.rights.now();
            let port = self.settings.prompters_port();
            let end = self.follow(ip, SocketAddr::new(ip, port)).await;
            if self.playing.follow(|f, now| f.ended(now, ip, began, end)) {
                self.through_others().await;
            }
        }
    }

    /// Cut off from prompters: a gateway that is not lets this one through to its own.
    async fn through_others(&mut self) {
        let Some(port) = self.settings.relays_port() else { return };
        let others = self.company.as_ref().map(|c| c.others()).unwrap_or_default();
        for ip in others.into_iter().take(TRIED) {
            if self.follow(ip, SocketAddr::new(ip, port)).await == End::Nearer {
                return;
            }
        }
    }

    /// Follows a prompter, at this address or through it, until the link ends.
    async fn follow(&mut self, ip: IpAddr, address: SocketAddr) -> End {
        let end = self.link(ip, address).await;
        self.playing.unlinked();
        match end {
            Ok(end) => end,
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => End::Refused,
            Err(e) if e.kind() == io::ErrorKind::TimedOut => End::Unheard,
            Err(_) => End::Lost,
        }
    }

    async fn link(&mut self, ip: IpAddr, address: SocketAddr) -> io::Result<End> {
        let direct = address.port() == self.settings.prompters_port();
        let (mut reader, mut writer) = frame::split(connect(address).await?);
        reader.known();
        let first = self.playing.follow(|f, now| f.begin(now, ip, direct));
        writer.write(&first).await?;
        let (sender, mut asks) = mpsc::channel::<Up>(QUEUE);
        self.playing.linked(sender, direct.then_some(ip));
        log::info!("following {ip}");
        let (silent, long_word) = (Duration::from_nanos(SILENT), Duration::from_nanos(LONG_WORD));
        let mut word = Instant::now();
        loop {
            let message = tokio::select! {
                message = timeout_at(reader.heard().max(word) + silent, reader.read::<Down>()) => message,
                ask = asks.recv() => {
                    if let Some(ask) = ask {
                        writer.write(&ask).await?;
                    }
                    continue;
                }
            };
            let now = Instant::now();
            let Ok(message) = message else {
                if now < reader.heard() + silent && now < word + long_word {
                    continue;
                }
                return Ok(End::Lost);
            };
            let Some(message) = message? else { return Ok(End::Lost) };
            word = now;
            let missing = || self.company.as_ref().map(|c| c.missing()).unwrap_or_default();
            for effect in self.playing.follow(|f, now| f.hear(now, message, missing)) {
                match effect {
                    Effect::News(news) => self.playing.news(news),
                    Effect::Lent(lent) => self.playing.rights.lent(&lent),
                    Effect::Say(up) => writer.write(&up).await?,
                    Effect::Leave(end) => return Ok(end),
                }
            }
        }
    }
}

//! Links among prompters, one each way: each dials all others that it has heard of and says on that connection what it has
//! to say. What comes is handed to the agreement, the cell and the office.

use crate::agreement::Agreement;
use crate::trials::wall;
use crate::view::View;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};
use understudy::{Founding, FoundingSaid, Id, Input, Members};
use wings::frame::{self, Reader};
use wings::message::{First, Peer, FORM};
use wings::net::connect;

/// Messages that wait for a link; more are lost, as on a network.
const QUEUE: usize = 512;
const AGAIN: Duration = Duration::from_millis(100);
const HELLO: Duration = Duration::from_millis(500);
/// What was heard of beats is passed on so often.
const BEATS: Duration = Duration::from_millis(400);
const FOUNDING: Duration = Duration::from_millis(50);
/// The core is founded when nobody new has been heard of for so long, by the first seed; by each next one so much later.
const SETTLED: Duration = Duration::from_millis(900);
const SUCCESSION: Duration = Duration::from_millis(1000);
/// A seed that has not been heard by then is not waited for.
const MISSING: Duration = Duration::from_secs(3);

/// Prompters with a disk that are at their first start: the disk's id, if they have one.
type Heard = RefCell<BTreeMap<String, Option<u64>>>;

pub struct Links {
    view: Rc<View>,
    agreement: Agreement,
    heard: Heard,
    founding: RefCell<Founding>,
}

impl Links {
    pub fn new(view: Rc<View>, agreement: Agreement) -> Rc<Self> {
        let seeds = view.settings.seeds();
        let founding = Founding::new(&view.me.name, seeds.iter().map(IpAddr::to_string)).into();
        Rc::new(Links { view, agreement, heard: RefCell::default(), founding })
    }

    /// Keeps a link to each other prompter that is known, passes on beats, founds the core if that is to be done.
    pub async fn run(self: Rc<Self>) {
        spawn_local(self.clone().found());
        let (mut every, mut voters) = (interval(BEATS), Members::new());
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            for (name, _) in self.view.prompters() {
                let new = name != self.view.me.name && !self.view.links.borrow().contains_key(&name);
                if let Some(ip) = name.parse::<IpAddr>().ok().filter(|_| new) {
                    let (sender, queue) = mpsc::channel(QUEUE);
                    self.view.links.borrow_mut().insert(name, sender);
                    spawn_local(self.clone().link(ip, queue));
                }
            }
            if let Some(beats) = self.view.take_fresh() {
                self.view.tell_all(&beats);
            }
            self.view.sweep();
            let now = self.view.duty.borrow().members.clone();
            if now != voters {
                let all: Vec<String> =
                    now.iter().map(|(n, disk)| format!("{n}/{:08x}", *disk as u32)).collect();
                log::info!("voters: {}", all.join(" "));
                voters = now;
            }
        }
    }

    async fn link(self: Rc<Self>, ip: IpAddr, mut queue: mpsc::Receiver<Peer>) {
        let address = SocketAddr::new(ip, self.view.settings.prompters_port());
        loop {
            if let Ok(stream) = connect(address).await {
                // What has waited for a link that was not there is old.
                while queue.try_recv().is_ok() {}
                let (_reader, mut writer) = frame::split(stream);
                let first = First::Prompter { form: FORM, id: self.view.me.clone() };
                let mut hello = Instant::now();
                let mut done = writer.write(&first).await;
                if done.is_ok() {
                    done = writer.write(&self.all_beats()).await;
                }
                while done.is_ok() {
                    if Instant::now() >= hello {
                        hello = Instant::now() + HELLO;
                        done = writer.write(&self.hello()).await;
                        continue;
                    }
                    tokio::select! {
                        message = queue.recv() => match message {
                            None => return,
                            Some(message) => {
                                done = writer.feed(&message).await;
                                while let Ok(more) = queue.try_recv() {
                                    done = done.and(writer.feed(&more).await);
                                }
                                done = done.and(writer.flush().await);
                            }
                        },
                        () = tokio::time::sleep_until(hello) => {}
                    }
                }
            }
            sleep(AGAIN).await;
        }
    }

    fn hello(&self) -> Peer {
        Peer::Hello {
            id: self.view.me.clone(),
            zone: self.view.settings.own.zone.clone(),
            first: self.view.settings.own.initial_start,
            votes: self.view.settings.own.data_directory.is_some(),
            known: self.view.prompters(),
            wall: wall(),
        }
    }

    fn all_beats(&self) -> Peer {
        Peer::Beats { facts: self.view.cell.borrow().facts().cloned().collect(), again: Vec::new() }
    }

    /// At the first start of all, the seeds agree on who votes (`understudy::Founding`): the first by name stands once it has
    /// heard of all seeds and of nobody new for a while, the next ones if nothing comes of that. All who are to vote found
    /// then, each on its own disk. A machine that begins again, or whose disk was lost, is not at its first start.
    async fn found(self: Rc<Self>) {
        let own = &self.view.settings.own;
        let seeds: BTreeSet<String> = self.view.settings.seeds().iter().map(IpAddr::to_string).collect();
        let Some(rank) = seeds.iter().position(|s| *s == self.view.me.name).filter(|_| own.initial_start)
        else {
            return;
        };
        let mine = own.data_directory.is_some().then_some(self.view.me.disk);
        self.heard.borrow_mut().insert(self.view.me.name.clone(), mine);
        let began = Instant::now();
        let (mut heard, mut since) = (0, began);
        loop {
            sleep(FOUNDING).await;
            if !self.view.duty.borrow().members.is_empty() || self.view.duty.borrow().holder.is_some() {
                return;
            }
            let now = self.heard.borrow().len();
            if std::mem::replace(&mut heard, now) != now {
                since = Instant::now();
            }
            let all = seeds.iter().all(|s| self.heard.borrow().contains_key(s));
            let turn = SETTLED + SUCCESSION * rank as u32;
            if (all || began.elapsed() >= MISSING) && since.elapsed() >= turn {
                self.stand();
                sleep(4 * FOUNDING).await;
            }
        }
    }

    /// Tells all voters that are agreed on to found; else stands for those that are known.
    fn stand(&self) {
        let agreed = self.founding.borrow().agreed().cloned();
        let Some(members) = agreed else {
            let voters = self.voters();
            if voters.is_empty() {
                return log::error!("no prompter has a disk: nothing can be agreed on");
            }
            log::info!("stands for founding with {} voters", voters.len());
            let said = self.founding.borrow_mut().stand(voters);
            return self.tell_seeds(said);
        };
        log::info!("{} voters are to found", members.len());
        for name in members.keys() {
            if *name == self.view.me.name {
                self.agreement.tell(Input::Found { members: members.clone() });
            } else {
                self.view.tell(name, Peer::Found { members: members.clone() });
            }
        }
    }

    fn tell_seeds(&self, said: Vec<(String, FoundingSaid)>) {
        said.into_iter().for_each(|(to, said)| self.view.tell(&to, Peer::Founding(said)));
    }

    /// Those with a disk that are at their first start.
    fn voters(&self) -> Members {
        self.heard.borrow().iter().filter_map(|(name, disk)| Some((name.clone(), (*disk)?))).collect()
    }

    /// What another prompter says on its connection, until it ends.
    pub async fn hear(self: Rc<Self>, from: Id, mut reader: Reader) {
        let view = &self.view;
        view.knows(&from.name, "");
        while let Ok(Some(message)) = reader.read::<Peer>().await {
            match message {
                Peer::Hello { id, zone, first, votes, known, wall } => {
                    view.clocks.borrow_mut().hear(view.now(), &id.name, wall);
                    known.iter().for_each(|(name, zone)| view.knows(name, zone));
                    view.knows(&id.name, &zone);
                    if first {
                        self.heard.borrow_mut().insert(id.name.clone(), votes.then_some(id.disk));
                    }
                    if view.duty.borrow().members.get(&id.name) != Some(&id.disk) {
                        self.agreement.tell(Input::Knock { id, votes });
                    }
                }
                Peer::Founding(said) => {
                    if view.settings.own.initial_start {
                        let answers = self.founding.borrow_mut().hear(&from, said);
                        self.tell_seeds(answers);
                    }
                }
                Peer::Found { members } => {
                    if view.settings.own.initial_start {
                        self.agreement.tell(Input::Found { members });
                    }
                }
                Peer::Agree(message) => self.agreement.tell(Input::Message(message)),
                Peer::Beats { facts, again } => {
                    facts.into_iter().for_each(|f| view.beat(f, false));
                    let (now, mut cell) = (view.now(), view.cell.borrow_mut());
                    for (id, sequence) in &again {
                        // Who is not known here will be told whole with the next link.
                        cell.again(now, id, *sequence);
                    }
                }
                Peer::Over { instance } => view.over(&instance),
                Peer::Propose { word } => self.agreement.tell(Input::Propose { tag: 0, word }),
                Peer::Contact { number } => view.contact_asked(&from.name, number),
                Peer::Contacted { number, age, agreed } => view.contacted(number, age, agreed),
                Peer::Ask { gateway, ask } => {
                    if let Some(lent) = self.agreement.lend(&gateway, &ask) {
                        let term = view.duty.borrow().term;
                        view.tell(&from.name, Peer::Lent { gateway, term, lent });
                    }
                }
                Peer::Lent { gateway, term, lent } => {
                    // Of a holder that was: its word counts no more.
                    if term >= view.duty.borrow().term {
                        view.hand(&gateway, wings::message::Down::Lent(lent));
                    }
                }
            }
        }
    }
}

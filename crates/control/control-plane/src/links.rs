//! Links among prompters, one each way: each dials all others that it has heard of and says on that connection what it has
//! to say. What comes is handed to the prompter.

use crate::driver::{wall, Driver};
use consensus::Id;
use control_node::HELLO;
use messages::frame::{self, Reader};
use messages::message::{First, Peer, FORM};
use process::net::connect;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};

/// Messages that wait for a link; more are lost, as on a network.
const QUEUE: usize = 512;
const AGAIN: Duration = Duration::from_millis(100);
/// Prompters that have been heard of are looked at so often.
const DIALS: Duration = Duration::from_millis(400);

pub struct Links {
    driver: Rc<Driver>,
    port: u16,
}

impl Links {
    pub fn new(driver: Rc<Driver>, port: u16) -> Rc<Self> {
        Rc::new(Links { driver, port })
    }

    /// Keeps a link to each other prompter that is known.
    pub async fn run(self: Rc<Self>) {
        let mut every = interval(DIALS);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            let (me, known) = (self.driver.prompter().me().name.clone(), self.driver.prompter().prompters());
            for (name, _) in known {
                let new = name != me && !self.driver.links.borrow().contains_key(&name);
                if let Some(ip) = name.parse::<IpAddr>().ok().filter(|_| new) {
                    let (sender, queue) = mpsc::channel(QUEUE);
                    self.driver.links.borrow_mut().insert(name, sender);
                    spawn_local(self.clone().link(ip, queue));
                }
            }
        }
    }

    async fn link(self: Rc<Self>, ip: IpAddr, mut queue: mpsc::Receiver<Peer>) {
        let address = SocketAddr::new(ip, self.port);
        loop {
            if let Ok(stream) = connect(address).await {
                // What has waited for a link that was not there is old.
                while queue.try_recv().is_ok() {}
                let (_reader, mut writer) = frame::split(stream);
                let first = First::Prompter { form: FORM, id: self.driver.prompter().me().clone() };
                let mut hello = Instant::now();
                let mut done = writer.write(&first).await;
                if done.is_ok() {
                    let beats = self.driver.prompter().all_beats(self.driver.now());
                    done = writer.write(&beats).await;
                }
                while done.is_ok() {
                    if Instant::now() >= hello {
                        hello = Instant::now() + Duration::from_nanos(HELLO);
                        let hello = self.driver.prompter().hello(wall());
                        done = writer.write(&hello).await;
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

    /// What another prompter says on its connection, until it ends.
    pub async fn hear(self: Rc<Self>, from: Id, mut reader: Reader) {
        self.driver.with(|p, _| p.knows(&from.name, ""));
        while let Ok(Some(message)) = reader.read::<Peer>().await {
            self.driver.with(|p, now| p.hear(now, &from, message));
        }
    }
}

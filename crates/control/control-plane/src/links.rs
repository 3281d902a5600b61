//! Links among prompters, one each way: each dials all others that it has heard of and says on that connection what it has
//! to say. What comes is handed to the prompter.

use crate::driver::{unix_millis, Driver};
use consensus::NodeId;
use control_node::HELLO_INTERVAL;
use messages::frame::{self, FrameReader};
use messages::message::{ControlMessage, Greeting, MESSAGE_FORMAT};
use process::net::connect;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};

/// Messages that wait for a link; more are lost, as on a network.
const QUEUE_LENGTH: usize = 512;
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Prompters that have been heard of are looked at so often.
const DIAL_INTERVAL: Duration = Duration::from_millis(400);

pub struct PeerLinks {
    driver: Rc<Driver>,
    port: u16,
}

impl PeerLinks {
    pub fn new(driver: Rc<Driver>, port: u16) -> Rc<Self> {
        Rc::new(PeerLinks { driver, port })
    }

    /// Keeps a link to each other prompter that is known.
    pub async fn run(self: Rc<Self>) {
        let mut every = interval(DIAL_INTERVAL);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            let (me, known) = (self.driver.node().id().name.clone(), self.driver.node().known_nodes());
            for (name, _) in known {
                let new = name != me && !self.driver.links.borrow().contains_key(&name);
                if let Some(ip) = name.parse::<IpAddr>().ok().filter(|_| new) {
                    let (sender, queue) = mpsc::channel(QUEUE_LENGTH);
                    self.driver.links.borrow_mut().insert(name, sender);
                    spawn_local(self.clone().maintain_link(ip, queue));
                }
            }
        }
    }

    async fn maintain_link(self: Rc<Self>, ip: IpAddr, mut queue: mpsc::Receiver<ControlMessage>) {
        let address = SocketAddr::new(ip, self.port);
        loop {
            if let Ok(stream) = connect(address).await {
                // What has waited for a link that was not there is old.
                while queue.try_recv().is_ok() {}
                let (_reader, mut writer) = frame::split(stream);
                let first =
                    Greeting::ControlPlane { form: MESSAGE_FORMAT, id: self.driver.node().id().clone() };
                let mut hello = Instant::now();
                let mut done = writer.write(&first).await;
                if done.is_ok() {
                    let beats = self.driver.node().all_heartbeats(self.driver.now());
                    done = writer.write(&beats).await;
                }
                while done.is_ok() {
                    if Instant::now() >= hello {
                        hello = Instant::now() + Duration::from_nanos(HELLO_INTERVAL);
                        let hello = self.driver.node().hello(unix_millis());
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
            sleep(RECONNECT_DELAY).await;
        }
    }

    /// What another prompter says on its connection, until it ends.
    pub async fn receive(self: Rc<Self>, from: NodeId, mut reader: FrameReader) {
        self.driver.with(|p, _| p.learn_node(&from.name, ""));
        while let Ok(Some(message)) = reader.read::<ControlMessage>().await {
            self.driver.with(|p, now| p.on_control_message(now, &from, message));
        }
    }
}

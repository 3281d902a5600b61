//! Links among control nodes, one each way: each node dials all others that it has heard of and sends on that connection.

use crate::driver::{unix_millis, Driver};
use consensus::NodeId;
use control_node::HELLO_INTERVAL;
use messages::frame::{self, FrameReader, FrameWriter};
use messages::{ControlMessage, Greeting, MESSAGE_FORMAT};
use sockets::connect;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, sleep_until, Instant, MissedTickBehavior};

/// Messages that wait for a link; more are lost, as on a network.
const QUEUE_LENGTH: usize = 512;
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Nodes that were newly heard of are looked for this often.
const DIAL_INTERVAL: Duration = Duration::from_millis(400);

/// The links to all other control nodes.
pub struct PeerLinks {
    driver: Rc<Driver>,
    port: u16,
}

impl PeerLinks {
    /// `port`: where control nodes listen for each other.
    pub fn new(driver: Rc<Driver>, port: u16) -> Rc<Self> {
        Rc::new(PeerLinks { driver, port })
    }

    /// Keeps a link to each other control node that is known.
    pub async fn run(self: Rc<Self>) {
        let mut every = interval(DIAL_INTERVAL);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            let own_name = self.driver.node().id().name.clone();
            let known_nodes = self.driver.node().known_nodes();
            for (name, _) in known_nodes {
                let is_new = name != own_name && !self.driver.links.borrow().contains_key(&name);
                if let Some(ip) = name.parse::<IpAddr>().ok().filter(|_| is_new) {
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
                if self.send_messages(stream, &mut queue).await.is_ok() {
                    // Nobody sends on this link any more.
                    return;
                }
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn send_messages(
        &self,
        stream: TcpStream,
        queue: &mut mpsc::Receiver<ControlMessage>,
    ) -> io::Result<()> {
        let (_reader, mut writer) = frame::split(stream);
        let id = self.driver.node().id().clone();
        writer.write(&Greeting::ControlNode { format: MESSAGE_FORMAT, id }).await?;
        let heartbeats = self.driver.node().all_heartbeats(self.driver.now());
        writer.write(&heartbeats).await?;
        let mut next_hello = Instant::now();
        loop {
            if Instant::now() >= next_hello {
                next_hello = Instant::now() + Duration::from_nanos(HELLO_INTERVAL);
                let hello = self.driver.node().hello(unix_millis());
                writer.write(&hello).await?;
                continue;
            }
            tokio::select! {
                message = queue.recv() => match message {
                    None => return Ok(()),
                    Some(message) => write_batch(&mut writer, message, queue).await?,
                },
                () = sleep_until(next_hello) => {}
            }
        }
    }

    /// Receives what another control node sends on its connection, until that ends.
    pub async fn receive(self: Rc<Self>, from: NodeId, mut reader: FrameReader) {
        self.driver.with(|node, _| node.learn_node(&from.name, ""));
        while let Ok(Some(message)) = reader.read::<ControlMessage>().await {
            self.driver.with(|node, now| node.on_control_message(now, &from, message));
        }
    }
}

/// Writes a message and whatever waits behind it, with one flush.
async fn write_batch(
    writer: &mut FrameWriter,
    first: ControlMessage,
    queue: &mut mpsc::Receiver<ControlMessage>,
) -> io::Result<()> {
    writer.feed(&first).await?;
    while let Ok(message) = queue.try_recv() {
        writer.feed(&message).await?;
    }
    writer.flush().await
}

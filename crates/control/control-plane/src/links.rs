//! Links between control nodes, one per direction: each node dials every other known node and sends on that connection.

use crate::driver::{unix_millis, Driver};
use consensus::NodeId;
use control_node::HELLO_INTERVAL;
use messages::frame::{self, FrameReader, FrameWriter};
use messages::{ControlMessage, Greeting, MESSAGE_FORMAT};
use sockets::connect;
use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, sleep_until, Instant, MissedTickBehavior};

/// Capacity of a link's queue; messages beyond it are dropped, as on a lossy network.
const QUEUE_LENGTH: usize = 512;
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Interval at which newly discovered nodes are dialed.
const DIAL_INTERVAL: Duration = Duration::from_millis(400);

/// The outgoing links to all other control nodes.
pub struct PeerLinks {
    driver: Rc<Driver>,
    port: u16,
}

impl PeerLinks {
    /// `port`: the port on which control nodes accept each other's connections.
    pub fn new(driver: Rc<Driver>, port: u16) -> Rc<Self> {
        Rc::new(PeerLinks { driver, port })
    }

    /// Maintains a link to each other known control node.
    pub async fn run(self: Rc<Self>) {
        let mut dial_interval = interval(DIAL_INTERVAL);
        dial_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            dial_interval.tick().await;
            let own_name = self.driver.node().id().name.clone();
            let known_nodes: BTreeSet<String> =
                self.driver.node().known_nodes().into_iter().map(|(name, _)| name).collect();
            // The links of forgotten nodes end with their senders.
            self.driver.links.borrow_mut().retain(|name, _| known_nodes.contains(name));
            for name in known_nodes {
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
                // Messages queued while there was no connection are stale.
                while queue.try_recv().is_ok() {}
                // Its end is noticed below, or the connection is opened again.
                let _ = self.send_messages(stream, &mut queue).await;
            }
            if queue.is_closed() {
                // The sender was dropped: the node has been forgotten.
                return;
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

    /// Receives the messages of another control node until its connection closes.
    pub async fn receive(self: Rc<Self>, from: NodeId, mut reader: FrameReader) {
        self.driver.with(|node, now| node.on_node_connected(now, &from.name));
        while let Ok(Some(message)) = reader.read::<ControlMessage>().await {
            self.driver.with(|node, now| node.on_control_message(now, &from, message));
        }
    }
}

/// Writes a message and all that are queued behind it, with one flush.
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

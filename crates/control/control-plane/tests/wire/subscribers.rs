//! What a gateway that follows is told, over real sockets: the whole configuration once, then differences; and that a control-plane node
//! which has lost the others cannot prove what it tells.

use crate::core::{configuration, Core, PATIENCE};
use control_state::{CommittedConfiguration, ConfigurationReceiver, LogIndex, ReceiveOutcome};
use messages::frame::{self, FrameReader, FrameWriter};
use messages::{GatewayMessage, GatewayUpdate, Greeting, MESSAGE_FORMAT};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::time::timeout;

struct Gateway {
    reader: FrameReader,
    writer: FrameWriter,
    receiver: ConfigurationReceiver,
    held: Option<Arc<CommittedConfiguration>>,
    /// Bytes of parts, and how many heads of wholes came.
    bytes: usize,
    wholes: usize,
    /// How old the control-plane node's command is, as it says, and where the newest stands.
    pulse: (u32, LogIndex),
}

impl Gateway {
    async fn follow(core: &Core, n: usize, held: Option<Arc<CommittedConfiguration>>) -> Gateway {
        let at: SocketAddr = format!("{}:{}", core.ips[n], core.inner).parse().unwrap();
        let (mut reader, mut writer) = frame::split(TcpStream::connect(at).await.unwrap());
        reader.accept_long_frames();
        let holds = held.as_ref().map_or(0, |c| c.index);
        let (name, zone) = ("edge-1".to_string(), "zone-0".to_string());
        writer
            .write(&Greeting::Gateway {
                format: MESSAGE_FORMAT,
                name,
                zone,
                offset: None,
                configuration_index: holds,
                contact_number: 1,
            })
            .await
            .unwrap();
        let receiver = ConfigurationReceiver::default();
        Gateway { reader, writer, receiver, held, bytes: 0, wholes: 0, pulse: (0, 0) }
    }

    /// Hears what comes until this holds.
    async fn until(&mut self, holds: impl Fn(&Gateway) -> bool) {
        while !holds(self) {
            match timeout(PATIENCE, self.reader.read::<GatewayUpdate>()).await.unwrap().unwrap().unwrap() {
                GatewayUpdate::ConfigurationChunk(part) => {
                    self.bytes += part.bytes.len();
                    self.wholes += usize::from(part.header.as_ref().is_some_and(|h| h.base_index.is_none()));
                    let up = match self.receiver.receive(self.held.as_deref(), part) {
                        ReceiveOutcome::Incomplete { index, bytes } => {
                            GatewayMessage::ChunkReceived { index, received: bytes }
                        }
                        ReceiveOutcome::Complete { configuration, bytes } => {
                            let index = configuration.index;
                            self.held = Some(configuration);
                            GatewayMessage::ChunkReceived { index, received: bytes }
                        }
                        ReceiveOutcome::BaseMissing => GatewayMessage::BaseMissing,
                        ReceiveOutcome::Invalid => panic!("wrong"),
                    };
                    self.writer.write(&up).await.unwrap();
                }
                GatewayUpdate::Heartbeat {
                    quorum_contact_ms: touch_ms,
                    newest_configuration: newest,
                    ..
                } => self.pulse = (touch_ms, newest),
                _ => {}
            }
        }
    }

    async fn until_it_holds(&mut self, body: &[u8]) {
        self.until(|g| g.held.as_ref().is_some_and(|c| c.body == body)).await;
    }
}

#[tokio::test]
async fn gateway_gets_missed_changes_and_learns_when_contact_is_lost() {
    let mut core = Core::open(3);
    let bodies: Vec<Vec<u8>> = [(0, 3), (3, 4), (4, 5)]
        .into_iter()
        .map(|(base, version)| configuration(base, version, "op", 300))
        .collect();
    assert_eq!(core.order(0, &bodies[0]), 200);
    let mut one = Gateway::follow(&core, 0, None).await;
    one.until_it_holds(&bodies[0]).await;
    assert_eq!((one.bytes, one.wholes), (bodies[0].len(), 1));
    assert_eq!(core.order(0, &bodies[1]), 200);
    one.until_it_holds(&bodies[1]).await;
    assert!(one.bytes < bodies[0].len() + 300, "{} of {}", one.bytes, bodies[0].len());

    // At another control-plane node it goes on from what it holds; with other bytes under that place it is told the whole.
    let held = one.held.clone();
    let mut two = Gateway::follow(&core, 1, held.clone()).await;
    let index = held.as_ref().unwrap().index;
    two.until(|g| g.pulse.1 == index).await;
    assert_eq!(two.bytes, 0, "it lacks nothing");
    let other = CommittedConfiguration { version: 4, index, body: b"spoilt".to_vec() };
    let mut three = Gateway::follow(&core, 2, Some(Arc::new(other))).await;
    three.until(|g| g.pulse.1 == index).await;
    assert_eq!(core.order(0, &bodies[2]), 200);
    two.until_it_holds(&bodies[2]).await;
    three.until_it_holds(&bodies[2]).await;
    assert_eq!((two.wholes, three.wholes), (0, 1));

    // In contact, the command is young; alone, the control-plane node says itself that it is old.
    one.until(|g| g.pulse.0 < 1000).await;
    core.kill(1);
    core.kill(2);
    one.until(|g| g.pulse.0 > 1000).await;
}

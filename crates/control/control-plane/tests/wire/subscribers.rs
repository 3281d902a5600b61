//! Subscriptions of gateways over real sockets: a gateway gets the full configuration once and differences after that, and sees
//! from the heartbeats when a control node has lost contact with the quorum.

use crate::cluster::{configuration, Cluster, TIMEOUT};
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
    /// Bytes of the received chunks, and the number of full configurations among them.
    bytes: usize,
    full_transfers: usize,
    /// Milliseconds since the control node's last contact with a quorum, and the log index of the newest configuration.
    heartbeat: (u32, LogIndex),
}

impl Gateway {
    async fn subscribe(cluster: &Cluster, n: usize, held: Option<Arc<CommittedConfiguration>>) -> Gateway {
        let address: SocketAddr = format!("{}:{}", cluster.ips[n], cluster.internal_port).parse().unwrap();
        let (mut reader, mut writer) = frame::split(TcpStream::connect(address).await.unwrap());
        reader.accept_long_frames();
        let configuration_index = held.as_ref().map_or(0, |c| c.index);
        let (name, zone) = ("edge-1".to_string(), "zone-0".to_string());
        writer
            .write(&Greeting::Gateway {
                format: MESSAGE_FORMAT,
                name,
                zone,
                offset: None,
                configuration_index,
                contact_number: 1,
            })
            .await
            .unwrap();
        let receiver = ConfigurationReceiver::default();
        Gateway { reader, writer, receiver, held, bytes: 0, full_transfers: 0, heartbeat: (0, 0) }
    }

    /// Receives updates until the condition holds.
    async fn wait_until(&mut self, holds: impl Fn(&Gateway) -> bool) {
        while !holds(self) {
            match timeout(TIMEOUT, self.reader.read::<GatewayUpdate>()).await.unwrap().unwrap().unwrap() {
                GatewayUpdate::ConfigurationChunk(chunk) => {
                    self.bytes += chunk.bytes.len();
                    self.full_transfers +=
                        usize::from(chunk.header.as_ref().is_some_and(|h| h.base_index.is_none()));
                    let reply = match self.receiver.receive(self.held.as_deref(), chunk) {
                        ReceiveOutcome::Incomplete { index, bytes } => {
                            GatewayMessage::ChunkReceived { index, received: bytes }
                        }
                        ReceiveOutcome::Complete { configuration, bytes } => {
                            let index = configuration.index;
                            self.held = Some(configuration);
                            GatewayMessage::ChunkReceived { index, received: bytes }
                        }
                        ReceiveOutcome::BaseMissing => GatewayMessage::BaseMissing,
                        ReceiveOutcome::Invalid => panic!("invalid chunk"),
                    };
                    self.writer.write(&reply).await.unwrap();
                }
                GatewayUpdate::Heartbeat { quorum_contact_ms, newest_configuration, .. } => {
                    self.heartbeat = (quorum_contact_ms, newest_configuration)
                }
                _ => {}
            }
        }
    }

    async fn wait_for_configuration(&mut self, body: &[u8]) {
        self.wait_until(|gateway| gateway.held.as_ref().is_some_and(|c| c.body == body)).await;
    }
}

#[tokio::test]
async fn gateway_gets_missed_changes_and_learns_when_contact_is_lost() {
    let mut cluster = Cluster::launch(3);
    let bodies: Vec<Vec<u8>> = [(0, 3), (3, 4), (4, 5)]
        .into_iter()
        .map(|(base, version)| configuration(base, version, "op", 300))
        .collect();
    assert_eq!(cluster.replace_configuration(0, &bodies[0]), 200);
    let mut first = Gateway::subscribe(&cluster, 0, None).await;
    first.wait_for_configuration(&bodies[0]).await;
    assert_eq!((first.bytes, first.full_transfers), (bodies[0].len(), 1));
    assert_eq!(cluster.replace_configuration(0, &bodies[1]), 200);
    first.wait_for_configuration(&bodies[1]).await;
    assert!(first.bytes < bodies[0].len() + 300, "{} of {}", first.bytes, bodies[0].len());

    // At another control node the gateway continues from the configuration that it holds; if it holds other bytes under that
    // index, it gets the full configuration.
    let held = first.held.clone();
    let mut second = Gateway::subscribe(&cluster, 1, held.clone()).await;
    let index = held.as_ref().unwrap().index;
    second.wait_until(|gateway| gateway.heartbeat.1 == index).await;
    assert_eq!(second.bytes, 0, "no chunk is needed");
    let other = CommittedConfiguration { version: 4, index, body: b"spoilt".to_vec() };
    let mut third = Gateway::subscribe(&cluster, 2, Some(Arc::new(other))).await;
    third.wait_until(|gateway| gateway.heartbeat.1 == index).await;
    assert_eq!(cluster.replace_configuration(0, &bodies[2]), 200);
    second.wait_for_configuration(&bodies[2]).await;
    third.wait_for_configuration(&bodies[2]).await;
    assert_eq!((second.full_transfers, third.full_transfers), (0, 1));

    // The quorum contact is recent while the nodes are connected; an isolated node reports that it is old.
    first.wait_until(|gateway| gateway.heartbeat.0 < 1000).await;
    cluster.kill(1);
    cluster.kill(2);
    first.wait_until(|gateway| gateway.heartbeat.0 > 1000).await;
}

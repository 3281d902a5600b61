//! Gateways that subscribe: what they are sent goes out as they can take it, what they send comes in.

use crate::driver::{Driver, GatewayLink};
use change_log::Offset;
use control_node::UPDATE_INTERVAL;
use control_state::LogIndex;
use messages::frame::{FrameReader, FrameWriter};
use messages::{GatewayMessage, GatewayUpdate};
use std::future::ready;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::{interval, MissedTickBehavior};

/// Grants that wait for a gateway; it asks again for what is lost.
const GRANT_QUEUE_LENGTH: usize = 64;

/// What a gateway says of itself when it subscribes.
pub struct Subscription {
    /// Its name.
    pub name: String,
    /// How far it has followed this node's changes.
    pub offset: Option<Offset>,
    /// The configuration that it holds; 0: none.
    pub configuration_index: LogIndex,
    /// For its first heartbeat.
    pub contact_number: u64,
}

/// Serves one gateway until its connection ends.
pub async fn serve(driver: Rc<Driver>, subscription: Subscription, reader: FrameReader, writer: FrameWriter) {
    let Subscription { name, offset, configuration_index, contact_number } = subscription;
    let (grants, granted) = mpsc::channel(GRANT_QUEUE_LENGTH);
    let chunk_window = Rc::new(Notify::new());
    let link = driver.with(|node, _| node.subscribe(&name, offset, configuration_index, contact_number));
    let gateway_link = GatewayLink { link, grants, chunk_window: chunk_window.clone() };
    driver.gateway_links.borrow_mut().insert(name.clone(), gateway_link);
    tokio::select! {
        _ = send_updates(&driver, &name, link, granted, &chunk_window, writer) => {}
        () = receive_messages(&driver, &name, link, reader) => {}
    }
    driver.with(|node, _| node.unsubscribe(&name, link));
    // It may have subscribed again on another connection.
    driver.gateway_links.borrow_mut().retain(|other, gateway| *other != name || gateway.link != link);
}

async fn send_updates(
    driver: &Driver,
    name: &str,
    link: u64,
    mut granted: mpsc::Receiver<GatewayUpdate>,
    chunk_window: &Notify,
    mut writer: FrameWriter,
) -> io::Result<()> {
    let mut changes = driver.changes();
    let mut heartbeat = interval(Duration::from_nanos(UPDATE_INTERVAL));
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // What is sent and what has changed since are seen in one step, so that nothing is missed between them.
        if let Some(update) = driver.with(|node, now| node.next_update(now, name, link)) {
            writer.write(&update).await?;
        }
        let chunk = driver.with(|node, _| node.next_chunk(name, link));
        let may_have_more = chunk.is_some();
        if let Some(chunk) = chunk {
            writer.write(&chunk).await?;
        }
        tokio::select! {
            biased;
            grant = granted.recv() => match grant {
                None => return Ok(()),
                Some(grant) => writer.write(&grant).await?,
            },
            _ = heartbeat.tick() => match driver.with(|node, now| node.heartbeat_update(now, name, link)) {
                None => return Ok(()),
                Some(heartbeat) => writer.write(&heartbeat).await?,
            },
            _ = changes.changed() => {}
            () = chunk_window.notified() => {}
            () = ready(()), if may_have_more => {}
        }
    }
}

async fn receive_messages(driver: &Driver, name: &str, link: u64, mut reader: FrameReader) {
    while let Ok(Some(message)) = reader.read::<GatewayMessage>().await {
        driver.with(|node, now| node.on_gateway_message(now, name, link, message));
    }
}

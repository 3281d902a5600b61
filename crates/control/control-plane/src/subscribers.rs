//! Connections of subscribed gateways: sends them updates, configuration chunks and grants as flow control permits, and
//! receives their messages.

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

/// Capacity of a gateway's grant queue; a gateway requests a lost grant again.
const GRANT_QUEUE_LENGTH: usize = 64;

/// The parameters with which a gateway subscribes.
pub struct Subscription {
    /// Name of the gateway.
    pub name: String,
    /// The gateway's position in this node's change log.
    pub offset: Option<Offset>,
    /// Log index of the configuration that the gateway holds; 0 if it has none.
    pub configuration_index: LogIndex,
    /// Contact number for the first heartbeat to this gateway.
    pub contact_number: u64,
}

/// Serves one gateway until its connection closes.
pub async fn serve(driver: Rc<Driver>, subscription: Subscription, reader: FrameReader, writer: FrameWriter) {
    let Subscription { name, offset, configuration_index, contact_number } = subscription;
    let (grants, queued_grants) = mpsc::channel(GRANT_QUEUE_LENGTH);
    let chunk_window = Rc::new(Notify::new());
    let link_id = driver.with(|node, _| node.subscribe(&name, offset, configuration_index, contact_number));
    let gateway_link = GatewayLink { link_id, grants, chunk_window: chunk_window.clone() };
    driver.gateway_links.borrow_mut().insert(name.clone(), gateway_link);
    tokio::select! {
        _ = send_updates(&driver, &name, link_id, queued_grants, &chunk_window, writer) => {}
        () = receive_messages(&driver, &name, link_id, reader) => {}
    }
    driver.with(|node, _| node.unsubscribe(&name, link_id));
    // The gateway may have subscribed again on another connection; that entry stays.
    driver.gateway_links.borrow_mut().retain(|other, gateway| *other != name || gateway.link_id != link_id);
}

async fn send_updates(
    driver: &Driver,
    name: &str,
    link_id: u64,
    mut queued_grants: mpsc::Receiver<GatewayUpdate>,
    chunk_window: &Notify,
    mut writer: FrameWriter,
) -> io::Result<()> {
    let mut changes = driver.changes();
    let mut heartbeat = interval(Duration::from_nanos(UPDATE_INTERVAL));
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // Changes are read and marked as sent in one step, so that no change is missed in between.
        if let Some(update) = driver.with(|node, now| node.next_update(now, name, link_id)) {
            writer.write(&update).await?;
        }
        let chunk = driver.with(|node, _| node.next_chunk(name, link_id));
        let may_have_more = chunk.is_some();
        if let Some(chunk) = chunk {
            writer.write(&chunk).await?;
        }
        tokio::select! {
            biased;
            grant = queued_grants.recv() => match grant {
                None => return Ok(()),
                Some(grant) => writer.write(&grant).await?,
            },
            _ = heartbeat.tick() => match driver.with(|node, now| node.heartbeat_update(now, name, link_id)) {
                None => return Ok(()),
                Some(heartbeat) => writer.write(&heartbeat).await?,
            },
            _ = changes.changed() => {}
            () = chunk_window.notified() => {}
            () = ready(()), if may_have_more => {}
        }
    }
}

async fn receive_messages(driver: &Driver, name: &str, link_id: u64, mut reader: FrameReader) {
    while let Ok(Some(message)) = reader.read::<GatewayMessage>().await {
        driver.with(|node, now| node.on_gateway_message(now, name, link_id, message));
    }
}

//! Gateways that follow: what they are told goes out as they can take it, what they say comes in.

use crate::driver::{Driver, GatewayLink};
use change_log::Offset;
use control_node::UPDATE_INTERVAL;
use messages::frame::{FrameReader, FrameWriter};
use messages::message::GatewayMessage;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::{interval, MissedTickBehavior};

/// Answers that wait for a gateway; it asks again for what is lost.
const GRANT_QUEUE_LENGTH: usize = 64;

/// Serves one gateway until its connection ends. It says how far it has followed this prompter, and which configuration it
/// holds.
pub async fn serve(
    driver: Rc<Driver>,
    name: String,
    (place, holds, contact): (Option<Offset>, control_state::LogIndex, u64),
    mut reader: FrameReader,
    mut writer: FrameWriter,
) {
    let (handed, mut answers) = mpsc::channel(GRANT_QUEUE_LENGTH);
    let room = Rc::new(Notify::new());
    let link = driver.with(|p, _| p.subscribe(&name, place, holds, contact));
    driver
        .gateway_links
        .borrow_mut()
        .insert(name.clone(), GatewayLink { link, grants: handed, chunk_window: room.clone() });
    let tell = async {
        let mut changes = driver.changes();
        let mut pulse = interval(Duration::from_nanos(UPDATE_INTERVAL));
        pulse.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // What is told and what has come since are seen in one step, so nothing is missed between them.
            if let Some(news) = driver.with(|p, now| p.next_update(now, &name, link)) {
                writer.write(&news).await?;
            }
            let part = driver.with(|p, _| p.next_chunk(&name, link));
            let more = part.is_some();
            if let Some(part) = part {
                writer.write(&part).await?;
            }
            tokio::select! {
                biased;
                answer = answers.recv() => match answer {
                    None => return Ok::<(), std::io::Error>(()),
                    Some(answer) => writer.write(&answer).await?,
                },
                _ = pulse.tick() => match driver.with(|p, now| p.heartbeat_update(now, &name, link)) {
                    None => return Ok(()),
                    Some(pulse) => writer.write(&pulse).await?,
                },
                _ = changes.changed() => {}
                () = room.notified() => {}
                () = ready(()), if more => {}
            }
        }
    };
    let hear = async {
        while let Ok(Some(up)) = reader.read::<GatewayMessage>().await {
            driver.with(|p, now| p.on_gateway_message(now, &name, link, up));
        }
    };
    tokio::select! {
        _ = tell => {}
        () = hear => {}
    }
    driver.with(|p, _| p.unsubscribe(&name, link));
    // It may have come again on another connection.
    driver.gateway_links.borrow_mut().retain(|n, outlet| *n != name || outlet.link != link);
}

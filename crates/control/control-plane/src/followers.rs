//! Gateways that follow: what they are told goes out as they can take it, what they say comes in.

use crate::driver::{Driver, Outlet};
use change_log::Place;
use control_node::PULSE;
use messages::frame::{Reader, Writer};
use messages::message::Up;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::{interval, MissedTickBehavior};

/// Answers that wait for a gateway; it asks again for what is lost.
const QUEUE: usize = 64;

/// Serves one gateway until its connection ends. It says how far it has followed this prompter, and which configuration it
/// holds.
pub async fn serve(
    driver: Rc<Driver>,
    name: String,
    (place, holds, contact): (Option<Place>, control_state::Place, u64),
    mut reader: Reader,
    mut writer: Writer,
) {
    let (handed, mut answers) = mpsc::channel(QUEUE);
    let room = Rc::new(Notify::new());
    let link = driver.with(|p, _| p.follow(&name, place, holds, contact));
    driver.outlets.borrow_mut().insert(name.clone(), Outlet { link, handed, room: room.clone() });
    let tell = async {
        let mut changes = driver.news();
        let mut pulse = interval(Duration::from_nanos(PULSE));
        pulse.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // What is told and what has come since are seen in one step, so nothing is missed between them.
            if let Some(news) = driver.with(|p, now| p.news(now, &name, link)) {
                writer.write(&news).await?;
            }
            let part = driver.with(|p, _| p.part(&name, link));
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
                _ = pulse.tick() => match driver.with(|p, now| p.pulse(now, &name, link)) {
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
        while let Ok(Some(up)) = reader.read::<Up>().await {
            driver.with(|p, now| p.heard(now, &name, link, up));
        }
    };
    tokio::select! {
        _ = tell => {}
        () = hear => {}
    }
    driver.with(|p, _| p.unfollow(&name, link));
    // It may have come again on another connection.
    driver.outlets.borrow_mut().retain(|n, outlet| *n != name || outlet.link != link);
}

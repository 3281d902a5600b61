//! Gateways that follow: a scene, then changes, a pulse, and their asks for rights.

use crate::agreement::Agreement;
use crate::view::View;
use callboard::Place;
use promptbook::Word;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, MissedTickBehavior};
use wings::frame::{Reader, Writer};
use wings::message::{Down, Peer, Up};

const PULSE: Duration = Duration::from_millis(200);
/// Answers that wait for a gateway; it asks again for what is lost.
const QUEUE: usize = 64;
/// Gateways that one may miss.
const MISSING: usize = 64;

/// Serves one gateway until its connection ends.
pub async fn serve(
    view: Rc<View>,
    agreement: Agreement,
    name: String,
    place: Option<Place>,
    reader: Reader,
    mut writer: Writer,
) {
    let (sender, mut answers) = mpsc::channel(QUEUE);
    view.followers.borrow_mut().insert(name.clone(), (sender.clone(), Vec::new()));
    let tell = async {
        let mut at = place;
        let mut changes = view.news();
        let mut pulse = interval(PULSE);
        pulse.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // What is told and what has come since are seen in one step, so nothing is missed between them.
            let (news, next) = due(&view, at);
            if let Some(news) = news {
                writer.write(&news).await?;
            }
            at = Some(next);
            tokio::select! {
                _ = changes.changed() => {}
                _ = pulse.tick() => {
                    register(&view, &agreement, &name);
                    writer.write(&beat(&view)).await?;
                }
                answer = answers.recv() => match answer {
                    None => return Ok::<(), std::io::Error>(()),
                    Some(answer) => writer.write(&answer).await?,
                },
            }
        }
    };
    tokio::select! {
        _ = tell => {}
        () = hear(&view, &agreement, &name, reader) => {}
    }
    let mut followers = view.followers.borrow_mut();
    // It may have come again on another connection.
    if followers.get(&name).is_some_and(|(f, _)| f.same_channel(&sender)) {
        followers.remove(&name);
    }
}

/// What a follower at this place is to be told now, and where it is then.
fn due(view: &View, at: Option<Place>) -> (Option<Down>, Place) {
    match at.and_then(|at| Some((at, view.since(at)?))) {
        Some((at, changes)) => {
            let next = Place { at: at.at + changes.len() as u64, ..at };
            ((!changes.is_empty()).then_some(Down::Changes { from: at, changes }), next)
        }
        None => {
            let scene = view.scene();
            let Down::Scene { place, .. } = &scene else { unreachable!("a scene") };
            let place = *place;
            (Some(scene), place)
        }
    }
}

fn beat(view: &View) -> Down {
    let touch = view.duty.borrow().touch;
    let touch_ms = touch.map_or(u64::MAX, |at| view.now().saturating_sub(at) / 1_000_000);
    let touch_ms = u32::try_from(touch_ms).unwrap_or(u32::MAX);
    Down::Pulse { touch_ms, prompters: view.prompters() }
}

/// A gateway that is not agreed on yet has no part of what is shared.
fn register(view: &View, agreement: &Agreement, name: &str) {
    if !view.book.borrow().gateways().contains(name) {
        pass_on(view, agreement, Word::Gateway { name: name.into() }.write());
    }
}

/// Has the holder propose something. It may be lost.
pub fn pass_on(view: &View, agreement: &Agreement, word: Vec<u8>) {
    let duty = view.duty.borrow();
    match &duty.holder {
        _ if duty.is_holder => agreement.tell(understudy::Input::Propose { tag: 0, word }),
        Some(holder) => view.tell(&holder.name, Peer::Propose { word }),
        None => {}
    }
}

async fn hear(view: &View, agreement: &Agreement, name: &str, mut reader: Reader) {
    while let Ok(Some(message)) = reader.read::<Up>().await {
        match message {
            Up::Company { mut missing } => {
                missing.truncate(MISSING);
                log::info!("company: {name} misses {}", missing.join(", "));
                if let Some(follower) = view.followers.borrow_mut().get_mut(name) {
                    follower.1 = missing;
                }
            }
            Up::Ask(ask) => {
                let (is_holder, holder) = {
                    let duty = view.duty.borrow();
                    (duty.is_holder, duty.holder.clone())
                };
                if is_holder {
                    if let Some(lent) = agreement.lend(name, &ask) {
                        view.hand(name, Down::Lent(lent));
                    }
                } else if let Some(holder) = holder {
                    view.tell(&holder.name, Peer::Ask { gateway: name.into(), ask });
                }
            }
        }
    }
}

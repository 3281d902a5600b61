//! Gateways that follow: a scene, then changes, the configuration in parts, a pulse, and their asks for rights.

use crate::agreement::Agreement;
use crate::view::View;
use callboard::Place;
use promptbook::{Sender, Word};
use std::cell::RefCell;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::{interval, MissedTickBehavior};
use wings::frame::{Reader, Writer};
use wings::message::{Down, Peer, Up};

const PULSE: Duration = Duration::from_millis(200);
/// Answers that wait for a gateway; it asks again for what is lost.
const QUEUE: usize = 64;
/// Gateways that one may miss.
const MISSING: usize = 64;

/// What a follower gets of the configuration, and that there may be room for more of it.
struct Sending {
    sender: RefCell<Sender>,
    room: Notify,
}

/// Serves one gateway until its connection ends. It says how far it has followed this prompter, and which configuration it
/// holds.
pub async fn serve(
    view: Rc<View>,
    agreement: Agreement,
    name: String,
    (place, holds): (Option<Place>, promptbook::Place),
    reader: Reader,
    mut writer: Writer,
) {
    let (sender, mut answers) = mpsc::channel(QUEUE);
    view.followers.borrow_mut().insert(name.clone(), (sender.clone(), Vec::new()));
    let sending = Sending { sender: RefCell::new(Sender::new(holds)), room: Notify::new() };
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
            let part = view.part(&mut sending.sender.borrow_mut());
            let more = part.is_some();
            if let Some(part) = part {
                writer.write(&Down::Configuration(part)).await?;
            }
            tokio::select! {
                biased;
                answer = answers.recv() => match answer {
                    None => return Ok::<(), std::io::Error>(()),
                    Some(answer) => writer.write(&answer).await?,
                },
                _ = pulse.tick() => {
                    register(&view, &agreement, &name);
                    writer.write(&beat(&view)).await?;
                }
                _ = changes.changed() => {}
                () = sending.room.notified() => {}
                () = ready(()), if more => {}
            }
        }
    };
    tokio::select! {
        _ = tell => {}
        () = hear(&view, &agreement, &name, &sending, reader) => {}
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
    let touch_ms = u32::try_from(view.untouched_for().as_millis()).unwrap_or(u32::MAX);
    let newest = view.book.borrow().configuration().map_or(0, |c| c.place);
    Down::Pulse { touch_ms, newest, prompters: view.prompters() }
}

/// A gateway that is not agreed on yet has no part of what is shared.
fn register(view: &View, agreement: &Agreement, name: &str) {
    if view.book.borrow().wants_gateway(name) {
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

async fn hear(view: &View, agreement: &Agreement, name: &str, sending: &Sending, mut reader: Reader) {
    while let Ok(Some(message)) = reader.read::<Up>().await {
        match message {
            Up::Company { mut missing } => {
                missing.truncate(MISSING);
                log::info!("company: {name} misses {}", missing.join(", "));
                if let Some(follower) = view.followers.borrow_mut().get_mut(name) {
                    follower.1 = missing;
                }
            }
            Up::Got { place, bytes } => {
                sending.sender.borrow_mut().got(place, bytes);
                sending.room.notify_one();
            }
            Up::Lacks => {
                log::info!("configuration: {name} is told the whole");
                sending.sender.borrow_mut().lacks();
                sending.room.notify_one();
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

//! prompter: granitethread's control plane. It takes beats, drains and configurations, agrees on them with the prompters
//! of the other zones, and tells the gateways that follow it. `docs/operate/system.md` is its page.
#![forbid(unsafe_code)]

mod agreement;
mod control;
mod disk;
mod followers;
mod inquiry;
mod links;
mod trials;
mod view;

use agreement::Agreement;
use control::Control;
use disk::Disk;
use links::Links;
use std::cell::Cell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use understudy::{Id, Input};
use view::View;
use wings::frame;
use wings::message::{First, FORM};
use wings::net::listen;
use wings::settings::{self, Settings};

/// How long a connection may take to say whose it is.
const FIRST: Duration = Duration::from_secs(2);
/// Connections of prompters, gateways and shells at once; one more is closed.
const MET: usize = 384;
/// The cell's lives are kept so often, if they have changed.
const KEEP: Duration = Duration::from_secs(1);
/// Between being told to end and the end: for the duty to go to another, and for calls that are under way.
const LAST: Duration = Duration::from_millis(1200);
/// Whoever is told to end says so again so often.
const LEAVE: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    wings::command::main("prompter", "granitethread's control plane", env!("CARGO_PKG_VERSION"), run)
}

async fn run(settings: Settings, ring: wings::ring::Ring) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    let (mut hup, mut usr1) = (signals(SignalKind::hangup())?, signals(SignalKind::user_defined1())?);
    let control = settings.net.listen_addresses.control_plane.ok_or("no controlPlane address is given")?;
    let inner = listen(SocketAddr::new(settings.own.ip_address, settings.prompters_port()))?;
    let outer = listen(control)?;
    let name = settings.own.ip_address.to_string();
    let open = async {
        match &settings.own.data_directory {
            Some(folder) => Disk::open(folder, &name).await,
            None => Disk::none(),
        }
    };
    let opened = tokio::select! {
        opened = open => opened,
        // The disk does not answer.
        _ = term.recv() => return Ok(()),
        _ = int.recv() => return Ok(()),
    };
    let (disk, held) = opened.map_err(|fault| fault.to_string())?;
    let me = Id { name, disk: held.id };
    let stored = held.stored;
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).map_err(|e| format!("no random numbers are to be had: {e}"))?;
    let seed = u64::from_ne_bytes(seed);
    log::info!(
        "begun as {me}, term {}, {} entries behind {}",
        stored.term,
        stored.entries.len(),
        stored.snapshot.place
    );
    let view = View::new(settings, me, seed);
    held.cell.into_iter().for_each(|fact| view.remember(fact));
    let (agreement, task) = Agreement::start(&view, disk.clone(), stored, seed);
    let mut task = spawn_local(task);
    let links = Links::new(view.clone(), agreement.clone());
    spawn_local(links.clone().run());
    spawn_local(keep_cell(view.clone(), disk));
    spawn_local(meet(view.clone(), agreement.clone(), links, inner));
    spawn_local(trials::run(view.clone(), agreement.clone()));
    spawn_local(control::keep_contact(view.clone()));
    let calls = Control::new(view.clone(), agreement.clone());
    let mut calls = spawn_local(calls.serve(outer));
    loop {
        tokio::select! {
            lost = &mut task => return Err(lost.unwrap_or_else(|e| format!("the agreement ended: {e}"))),
            lost = &mut calls => return Err(format!("the calls ended: {lost:?}")),
            _ = hup.recv() => match Settings::load(&settings::path()) {
                Ok(new) => new.seeds().iter().for_each(|ip| view.knows(&ip.to_string(), "")),
                Err(fault) => log::warn!("SIGHUP: {fault}; the old settings stand"),
            },
            _ = usr1.recv() => ring.write_out("SIGUSR1", &mut std::io::stderr().lock()),
            _ = term.recv() => break,
            _ = int.recv() => break,
        }
    }
    log::info!("told to end");
    let ends = Instant::now() + LAST;
    while Instant::now() < ends {
        // Again, for its vote goes to another only once a new leader knows that it leaves.
        agreement.tell(Input::HandOver);
        tokio::select! {
            _ = &mut task => break,
            () = sleep(LEAVE) => {}
        }
    }
    Ok(())
}

/// Keeps the cell's lives on the disk, for gateways that ask after a start before beats have come.
async fn keep_cell(view: Rc<View>, disk: Disk) {
    let mut kept = 0;
    loop {
        sleep(KEEP).await;
        let (lives, facts) = view.lives();
        if std::mem::replace(&mut kept, lives) != lives {
            disk.keep(facts);
        }
    }
}

/// Connections of other prompters and of gateways.
async fn meet(view: Rc<View>, agreement: Agreement, links: Rc<Links>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        if open.get() >= MET || wings::net::notice(&stream).is_err() {
            continue;
        }
        let (view, agreement, links) = (view.clone(), agreement.clone(), links.clone());
        let open = open.clone();
        spawn_local(async move {
            open.set(open.get() + 1);
            let (mut reader, writer) = frame::split(stream);
            let first = timeout(FIRST, reader.read::<First>()).await;
            reader.known();
            match first {
                Ok(Ok(Some(First::Prompter { form: FORM, id }))) => links.hear(id, reader).await,
                Ok(Ok(Some(First::Gateway { form: FORM, name, place, holds, .. }))) => {
                    followers::serve(view, agreement, name, (place, holds), reader, writer).await;
                }
                Ok(Ok(Some(First::Shell { form: FORM }))) => {
                    inquiry::serve(view, agreement, reader, writer).await
                }
                // Of another form, or nobody's.
                _ => log::info!("a connection that said nothing of ours was closed"),
            }
            open.set(open.get() - 1);
        });
    }
}

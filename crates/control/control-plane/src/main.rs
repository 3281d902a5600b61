//! prompter: granitethread's control plane. It takes beats, drains and configurations, agrees on them with the prompters
//! of the other zones, and tells the gateways that follow it. `docs/operate/system.md` is its page.
#![forbid(unsafe_code)]

mod control;
mod disk;
mod driver;
mod followers;
mod inquiry;
mod links;

use configuration::{Checker, Playbill};
use consensus::Id;
use control::Control;
use control_node::{Prompter, Setup};
use control_state::Versions;
use disk::Disk;
use driver::{Check, Driver};
use links::Links;
use messages::frame;
use messages::message::{First, FORM};
use process::net::listen;
use process::settings::{self, Settings};
use std::cell::Cell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use trial::Terms;

/// How long a connection may take to say whose it is.
const FIRST: Duration = Duration::from_secs(2);
/// Connections of prompters, gateways and shells at once; one more is closed.
const MET: usize = 384;
/// The cell's lives are kept so often, if they have changed.
const KEEP: Duration = Duration::from_secs(1);
/// Between being told to end and the end: for the duty to go to another, and for calls that are under way.
const LAST: Duration = Duration::from_millis(1200);

fn main() -> ExitCode {
    process::command::main(
        "granitethread-control-plane",
        "granitethread's control plane",
        env!("CARGO_PKG_VERSION"),
        run,
    )
}

async fn run(settings: Settings, ring: process::ring::Ring) -> Result<(), String> {
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
    let prompter = Prompter::new(setup(&settings, me, seed), stored, held.cell, 0);
    let driver = Driver::new(prompter, disk.clone(), check());
    let mut task = spawn_local(driver.clone().run());
    let links = Links::new(driver.clone(), settings.prompters_port());
    spawn_local(links.clone().run());
    spawn_local(keep_cell(driver.clone(), disk));
    spawn_local(meet(driver.clone(), links, inner));
    let calls = Control::new(driver.clone(), control.port());
    let mut calls = spawn_local(calls.serve(outer));
    loop {
        tokio::select! {
            lost = &mut task => return Err(format!("the agreement ended: {lost:?}")),
            lost = &mut calls => return Err(format!("the calls ended: {lost:?}")),
            _ = hup.recv() => match Settings::load(&settings::path()) {
                Ok(new) => driver.with(|p, _| new.seeds().iter().for_each(|ip| p.knows(&ip.to_string(), ""))),
                Err(fault) => log::warn!("SIGHUP: {fault}; the old settings stand"),
            },
            _ = usr1.recv() => ring.write_out("SIGUSR1", &mut std::io::stderr().lock()),
            _ = term.recv() => break,
            _ = int.recv() => break,
        }
    }
    log::info!("told to end");
    driver.with(Prompter::leave);
    tokio::select! {
        _ = &mut task => {}
        () = sleep(LAST) => {}
    }
    Ok(())
}

fn setup(settings: &Settings, me: Id, seed: u64) -> Setup {
    Setup {
        me,
        zone: settings.own.zone.clone(),
        votes: settings.own.data_directory.is_some(),
        first: settings.own.initial_start,
        seeds: settings.seeds().iter().map(ToString::to_string).collect(),
        beat: (settings.platform.heartbeat_interval_ms * 1e6) as control_node::Time,
        terms: |body| Playbill::read(body).map(|p| Terms::of(&p)).unwrap_or_default(),
        seed,
    }
}

/// The checker is made with the first change that is to be checked here: its library takes some megabytes.
fn check() -> Check {
    let checker = OnceLock::<Checker>::new();
    Arc::new(move |body| {
        let read = checker.get_or_init(Checker::default).check(body);
        read.map(|c| Versions { base: c.base_version, version: c.config_version }).map_err(|f| f.to_string())
    })
}

/// Keeps the cell's lives on the disk, for gateways that ask after a start before beats have come.
async fn keep_cell(driver: Rc<Driver>, disk: Disk) {
    let mut kept = 0;
    loop {
        sleep(KEEP).await;
        let (lives, facts) = driver.prompter().lives();
        if std::mem::replace(&mut kept, lives) != lives {
            disk.keep(facts);
        }
    }
}

/// Connections of other prompters and of gateways.
async fn meet(driver: Rc<Driver>, links: Rc<Links>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        if open.get() >= MET || process::net::notice(&stream).is_err() {
            continue;
        }
        let (driver, links, open) = (driver.clone(), links.clone(), open.clone());
        spawn_local(async move {
            open.set(open.get() + 1);
            let (mut reader, writer) = frame::split(stream);
            let first = timeout(FIRST, reader.read::<First>()).await;
            reader.known();
            match first {
                Ok(Ok(Some(First::Prompter { form: FORM, id }))) => links.hear(id, reader).await,
                Ok(Ok(Some(First::Gateway { form: FORM, name, place, holds, contact, .. }))) => {
                    followers::serve(driver, name, (place, holds, contact), reader, writer).await;
                }
                Ok(Ok(Some(First::Shell { form: FORM }))) => inquiry::serve(driver, reader, writer).await,
                // Of another form, or nobody's.
                _ => log::info!("a connection that said nothing of ours was closed"),
            }
            open.set(open.get() - 1);
        });
    }
}

//! prompter: granitethread's control plane. It takes beats, drains and configurations, agrees on them with the prompters
//! of the other zones, and tells the gateways that follow it. `docs/operate/system.md` is its page.
#![forbid(unsafe_code)]

mod control;
mod disk;
mod driver;
mod followers;
mod inquiry;
mod links;

use configuration::{Configuration, Validator};
use consensus::NodeId;
use control::CallServer;
use control_node::{ControlNode, NodeConfig};
use control_state::DeclaredVersions;
use disk::StorageHandle;
use driver::{Driver, Validate};
use links::PeerLinks;
use messages::frame;
use messages::message::{Greeting, MESSAGE_FORMAT};
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
use trial::TenantTerms;

/// How long a connection may take to say whose it is.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections of prompters, gateways and shells at once; one more is closed.
const MAX_CONNECTIONS: usize = 384;
/// The cell's lives are kept so often, if they have changed.
const REGISTRY_SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Between being told to end and the end: for the duty to go to another, and for calls that are under way.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1200);

fn main() -> ExitCode {
    process::command::run_daemon(
        "granitethread-control-plane",
        "granitethread's control plane",
        env!("CARGO_PKG_VERSION"),
        run,
    )
}

async fn run(settings: Settings, ring: process::ring::LogRing) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    let (mut hup, mut usr1) = (signals(SignalKind::hangup())?, signals(SignalKind::user_defined1())?);
    let control =
        settings.network.listen_addresses.control_plane.ok_or("no controlPlane address is given")?;
    let inner = listen(SocketAddr::new(settings.identity.ip_address, settings.control_port()))?;
    let outer = listen(control)?;
    let name = settings.identity.ip_address.to_string();
    let open = async {
        match &settings.identity.data_directory {
            Some(folder) => StorageHandle::open(folder, &name).await,
            None => StorageHandle::without_disk(),
        }
    };
    let opened = tokio::select! {
        opened = open => opened,
        // The disk does not answer.
        _ = term.recv() => return Ok(()),
        _ = int.recv() => return Ok(()),
    };
    let (disk, held) = opened.map_err(|fault| fault.to_string())?;
    let me = NodeId { name, disk_id: held.disk_id };
    let stored = held.stored;
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).map_err(|e| format!("no random numbers are to be had: {e}"))?;
    let seed = u64::from_ne_bytes(seed);
    log::info!(
        "begun as {me}, term {}, {} entries behind {}",
        stored.term,
        stored.entries.len(),
        stored.snapshot.index
    );
    let prompter = ControlNode::new(node_config(&settings, me, seed), stored, held.heartbeats, 0);
    let driver = Driver::new(prompter, disk.clone(), validator());
    let mut task = spawn_local(driver.clone().run());
    let links = PeerLinks::new(driver.clone(), settings.control_port());
    spawn_local(links.clone().run());
    spawn_local(save_registry_periodically(driver.clone(), disk));
    spawn_local(accept_connections(driver.clone(), links, inner));
    let calls = CallServer::new(driver.clone(), control.port());
    let mut calls = spawn_local(calls.serve(outer));
    loop {
        tokio::select! {
            lost = &mut task => return Err(format!("the agreement ended: {lost:?}")),
            lost = &mut calls => return Err(format!("the calls ended: {lost:?}")),
            _ = hup.recv() => match Settings::load(&settings::settings_path()) {
                Ok(new) => driver.with(|p, _| new.seed_addresses().iter().for_each(|ip| p.learn_node(&ip.to_string(), ""))),
                Err(fault) => log::warn!("SIGHUP: {fault}; the old settings stand"),
            },
            _ = usr1.recv() => ring.dump("SIGUSR1", &mut std::io::stderr().lock()),
            _ = term.recv() => break,
            _ = int.recv() => break,
        }
    }
    log::info!("told to end");
    driver.with(ControlNode::begin_shutdown);
    tokio::select! {
        _ = &mut task => {}
        () = sleep(SHUTDOWN_TIMEOUT) => {}
    }
    Ok(())
}

fn node_config(settings: &Settings, me: NodeId, seed: u64) -> NodeConfig {
    NodeConfig {
        id: me,
        zone: settings.identity.zone.clone(),
        can_vote: settings.identity.data_directory.is_some(),
        initial_start: settings.identity.initial_start,
        seeds: settings.seed_addresses().iter().map(ToString::to_string).collect(),
        heartbeat_interval: (settings.platform.heartbeat_interval_ms * 1e6) as control_node::Time,
        read_terms: |body| {
            Configuration::parse(body).map(|p| TenantTerms::from_configuration(&p)).unwrap_or_default()
        },
        seed,
    }
}

/// The checker is made with the first change that is to be checked here: its library takes some megabytes.
fn validator() -> Validate {
    let checker = OnceLock::<Validator>::new();
    Arc::new(move |body| {
        let read = checker.get_or_init(Validator::default).validate(body);
        read.map(|c| DeclaredVersions { base: c.base_version, version: c.config_version })
    })
}

/// Keeps the cell's lives on the disk, for gateways that ask after a start before beats have come.
async fn save_registry_periodically(driver: Rc<Driver>, disk: StorageHandle) {
    let mut kept = 0;
    loop {
        sleep(REGISTRY_SAVE_INTERVAL).await;
        let (lives, facts) = driver.node().serving_backends();
        if std::mem::replace(&mut kept, lives) != lives {
            disk.save_registry(facts);
        }
    }
}

/// Connections of other prompters and of gateways.
async fn accept_connections(driver: Rc<Driver>, links: Rc<PeerLinks>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS || process::net::detect_dead_peer(&stream).is_err() {
            continue;
        }
        let (driver, links, open) = (driver.clone(), links.clone(), open.clone());
        spawn_local(async move {
            open.set(open.get() + 1);
            let (mut reader, writer) = frame::split(stream);
            let first = timeout(GREETING_TIMEOUT, reader.read::<Greeting>()).await;
            reader.accept_long_frames();
            match first {
                Ok(Ok(Some(Greeting::ControlPlane { form: MESSAGE_FORMAT, id }))) => {
                    links.receive(id, reader).await
                }
                Ok(Ok(Some(Greeting::Gateway {
                    form: MESSAGE_FORMAT,
                    name,
                    offset: place,
                    configuration_index: holds,
                    contact_number: contact,
                    ..
                }))) => {
                    followers::serve(driver, name, (place, holds, contact), reader, writer).await;
                }
                Ok(Ok(Some(Greeting::Shell { form: MESSAGE_FORMAT }))) => {
                    inquiry::serve(driver, reader, writer).await
                }
                // Of another form, or nobody's.
                _ => log::info!("a connection that said nothing of ours was closed"),
            }
            open.set(open.get() - 1);
        });
    }
}

//! granitethread's control plane: accepts heartbeats, drains and configurations, replicates them with the control nodes of
//! the other zones, and streams updates to the subscribed gateways. See `docs/operate/system.md`.
#![forbid(unsafe_code)]

mod calls;
mod connections;
mod driver;
mod error;
mod links;
mod queries;
mod signals;
mod storage;
mod subscribers;

use calls::CallServer;
use configuration::{Configuration, Validator};
use consensus::NodeId;
use control_node::{ControlNode, LastRead, NodeConfig, ReloadSchedule};
use control_state::DeclaredVersions;
use driver::{Driver, Validate};
use error::ControlPlaneError;
use links::PeerLinks;
use process::command_line::{run_daemon, Program};
use process::log_ring::LogRing;
use process::settings::{settings_path, Settings};
use signals::{SignalRequest, Signals};
use sockets::listen;
use std::io::stderr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use storage::{LoadedState, StorageError, StorageHandle};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, sleep};
use trial::TenantTerms;

/// Interval at which the registry is saved if it has changed.
const REGISTRY_SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which it is checked whether the settings file is to be read again.
const RELOAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for a graceful shutdown: covers the leadership transfer and calls in flight.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1200);

fn main() -> ExitCode {
    let program = Program {
        name: "granitethread-control-plane",
        summary: "granitethread's control plane",
        version: env!("CARGO_PKG_VERSION"),
    };
    run_daemon(program, run)
}

async fn run(settings: Settings, ring: LogRing) -> Result<(), ControlPlaneError> {
    let mut signals = Signals::listen()?;
    let addresses = &settings.network.listen_addresses;
    let control_address = addresses.control_plane.ok_or(ControlPlaneError::NoControlAddress)?;
    let peer_listener = listen(SocketAddr::new(settings.identity.ip_address, settings.control_port()))?;
    let call_listener = listen(control_address)?;
    let opened = tokio::select! {
        opened = open_storage(&settings) => opened,
        // A disk that does not respond must not block the shutdown.
        () = signals.shutdown() => return Ok(()),
    };
    let (storage, loaded) = opened?;
    let driver = start_node(&settings, &storage, loaded)?;
    let mut consensus = spawn_local(driver.clone().run());
    let links = PeerLinks::new(driver.clone(), settings.control_port());
    spawn_local(links.clone().run());
    spawn_local(save_registry_periodically(driver.clone(), storage));
    spawn_local(connections::accept(driver.clone(), links, peer_listener));
    let calls = CallServer::new(driver.clone(), control_address.port());
    let mut calls = spawn_local(calls.serve(call_listener));
    spawn_local(reload_settings_while_peerless(driver.clone()));
    loop {
        tokio::select! {
            ended = &mut consensus => return Err(ControlPlaneError::ConsensusEnded(ended)),
            ended = &mut calls => return Err(ControlPlaneError::CallServerEnded(ended)),
            request = signals.next() => match request {
                SignalRequest::Shutdown => break,
                SignalRequest::Reload => reload_seeds(&driver),
                SignalRequest::DumpLog => ring.dump("SIGUSR1", &mut stderr().lock()),
            },
        }
    }
    shut_down(&driver, &mut consensus).await;
    Ok(())
}

async fn open_storage(settings: &Settings) -> Result<(StorageHandle, LoadedState), StorageError> {
    match &settings.identity.data_directory {
        Some(directory) => StorageHandle::open(directory, &settings.identity.ip_address.to_string()).await,
        None => StorageHandle::without_disk(),
    }
}

fn start_node(
    settings: &Settings,
    storage: &StorageHandle,
    loaded: LoadedState,
) -> Result<Rc<Driver>, ControlPlaneError> {
    let id = NodeId { name: settings.identity.ip_address.to_string(), disk_id: loaded.disk_id };
    let stored = loaded.stored;
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).map_err(ControlPlaneError::Random)?;
    let config = node_config(settings, id, u64::from_ne_bytes(seed));
    log::info!(
        "started as {}, term {}, {} entries behind {}",
        config.id,
        stored.term,
        stored.entries.len(),
        stored.snapshot.index
    );
    if let Some(warning) = storage::empty_directory_warning(settings, &stored) {
        log::warn!("{warning}");
    }
    let node = ControlNode::new(config, stored, loaded.heartbeats, 0);
    Ok(Driver::new(node, storage.clone(), validator()))
}

fn node_config(settings: &Settings, id: NodeId, seed: u64) -> NodeConfig {
    NodeConfig {
        id,
        zone: settings.identity.zone.clone(),
        can_vote: settings.identity.data_directory.is_some(),
        initial_start: settings.identity.initial_start,
        seeds: settings.seed_addresses().iter().map(ToString::to_string).collect(),
        heartbeat_interval: (settings.platform.heartbeat_interval_ms * 1e6) as control_node::Time,
        read_terms: |body| {
            Configuration::parse(body).map(|c| TenantTerms::from_configuration(&c)).unwrap_or_default()
        },
        fallback_lifetime: quota::FALLBACK_LIFETIME,
        min_voters: settings.contract.fault_tolerance.min_voters(),
        seed,
    }
}

/// Returns the validator of configurations. The schema is compiled with the first change that is validated on this node,
/// because the schema library takes several megabytes.
fn validator() -> Validate {
    let validator = OnceLock::<Validator>::new();
    Arc::new(move |body| {
        let configuration = validator.get_or_init(Validator::default).validate(body)?;
        Ok(DeclaredVersions { base: configuration.base_version, version: configuration.config_version })
    })
}

/// Handles SIGHUP: replaces the seeds by those of the current settings file.
fn reload_seeds(driver: &Driver) {
    match Settings::load(&settings_path()) {
        Ok(settings) => learn_seeds(driver, &settings),
        Err(error) => log::warn!("SIGHUP: {error}; keeping the previous settings"),
    }
}

fn learn_seeds(driver: &Driver, settings: &Settings) {
    let seeds: Vec<String> = settings.seed_addresses().iter().map(ToString::to_string).collect();
    driver.with(|node, now| node.set_seeds(now, &seeds));
}

/// Adds the seeds of the settings file to the known nodes when the file has changed without a signal, as long as this node
/// hears no other.
async fn reload_settings_while_peerless(driver: Rc<Driver>) {
    let path = settings_path();
    let mut schedule = ReloadSchedule::new(driver.with(|_, now| now));
    let mut last_read = LastRead::default();
    let mut timer = interval(RELOAD_CHECK_INTERVAL);
    loop {
        timer.tick().await;
        let (now, last_heard) = driver.with(|node, now| (now, node.last_heard_from_peer()));
        if !schedule.is_due(now, last_heard, fastrand::f64()) {
            continue;
        }
        let read = std::fs::read_to_string(&path).map_err(|error| error.to_string());
        if !last_read.is_new(read.clone()) {
            continue;
        }
        let name = path.display().to_string();
        match read.map(|text| Settings::parse(&name, &text)) {
            Ok(Ok(settings)) => {
                let seeds = settings.seed_addresses();
                log::info!("no other control node is heard; the settings file names {seeds:?}");
                learn_seeds(&driver, &settings);
            }
            Ok(Err(error)) => log::warn!("{error}; keeping the previous settings"),
            Err(error) => log::warn!("{name}: {error}; keeping the previous settings"),
        }
    }
}

/// Saves the registry periodically, so that gateways that subscribe right after a restart get backends before the first
/// heartbeats arrive.
async fn save_registry_periodically(driver: Rc<Driver>, storage: StorageHandle) {
    let mut saved_version = 0;
    loop {
        sleep(REGISTRY_SAVE_INTERVAL).await;
        let (version, backends) = driver.node().serving_backends();
        if std::mem::replace(&mut saved_version, version) != version {
            storage.save_registry(backends);
        }
    }
}

async fn shut_down(driver: &Driver, consensus: &mut JoinHandle<()>) {
    log::info!("shutting down");
    driver.with(ControlNode::begin_shutdown);
    tokio::select! {
        _ = consensus => {}
        () = sleep(SHUTDOWN_TIMEOUT) => {}
    }
}

//! granitethread's data plane as part of the whole system: serves clients according to the configuration and the
//! backends that the control plane reports. See `docs/operate/system.md`.
#![forbid(unsafe_code)]

mod backend_protocol;
mod budgeted_module;
mod client_requests;
mod control_link;
mod error;
mod gateway;
mod membership;
mod pools;
mod readiness;
mod relay;
mod request_classes;
mod tenant_quota;

use backend_protocol::{BackendProtocol, Misdirected};
use budgeted_module::BudgetedModule;
use client_requests::ClientRequests;
use control_link::ControlLink;
use engine::Timing;
use error::DataPlaneError;
use gateway::Gateway;
use interface::Module;
use membership::Membership;
use process::command_line::{run_daemon, Program};
use process::log_ring::LogRing;
use process::settings::Settings;
use proxy::backends::{Backends, Limits};
use proxy::driver::{Config, Driver};
use proxy::fronts::http1::Server;
use proxy::fronts::{Budget, ClientListener};
use proxy::handover::Link;
use sockets::{listen, PEER_TIMEOUT};
use std::future::Future;
use std::io::stderr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use subscription::SubscriptionConfig;
use tenant_quota::TenantQuota;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

const MS: u64 = 1_000_000;
/// File descriptors that the machine reserves for files (`DEPLOY.md`, Memory and descriptors).
const MACHINE_RESERVED_DESCRIPTORS: usize = 200;
/// File descriptors for uses other than clients and backends: standard streams, listeners, links and readiness
/// checks.
const RESERVED_DESCRIPTORS: usize = 40;
const MIN_SOCKETS: usize = 64;
/// Idle time after which a backend closes a connection, as backends declare it. The gateway uses half of it.
const BACKEND_KEEPALIVE: Duration = Duration::from_secs(10);
const BACKEND_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum pause of a response that is still arriving when its request's time limit has passed.
const STREAM_OVERTIME: Duration = Duration::from_millis(100);
/// Time by which the response is sent before the client's time limit.
const RESPONSE_MARGIN: u64 = 25 * MS;
/// Time after that in which the decision module may still decide.
const MODULE_GRACE: u64 = 5 * MS;
/// Time for which a process that has just started lets its first clients wait for a configuration.
const INITIAL_CONFIGURATION_WAIT: Duration = Duration::from_millis(700);
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of checks for backends whose address another backend has taken over.
const MISDIRECTED_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Ratio of the memory limit that is available for request bodies.
const BODY_MEMORY_RATIO: f64 = 1.0 / 8.0;
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// Bounds of the grace period in the settings, in seconds.
const GRACE_BOUNDS_S: (f64, f64) = (1.0, 3600.0);

fn main() -> ExitCode {
    let program = Program {
        name: "granitethread-data-plane",
        summary: "granitethread's data plane",
        version: env!("CARGO_PKG_VERSION"),
    };
    run_daemon(program, run)
}

async fn run(settings: Settings, ring: LogRing) -> Result<(), DataPlaneError> {
    let signal_stream = |kind| signal(kind).map_err(DataPlaneError::Signals);
    let (terminate, interrupt) =
        (signal_stream(SignalKind::terminate())?, signal_stream(SignalKind::interrupt())?);
    let (hangup, user_defined1) =
        (signal_stream(SignalKind::hangup())?, signal_stream(SignalKind::user_defined1())?);
    let addresses = &settings.network.listen_addresses;
    let clients = listen(addresses.front_http1.ok_or(DataPlaneError::NoAddress("frontHttp1"))?)?;
    let readiness = listen(addresses.readiness.ok_or(DataPlaneError::NoAddress("readiness"))?)?;
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).map_err(DataPlaneError::Random)?;
    let seed = u64::from_ne_bytes(seed);
    fastrand::seed(seed);

    let quota = TenantQuota::new();
    let gateway = new_gateway(&settings, quota.clone());
    let sockets = max_sockets(&settings);
    let protocol = BackendProtocol::default();
    let misdirected = protocol.misdirected.clone();
    let backends = Backends::new(&backend_limits(sockets), Box::new(protocol));
    let driver = new_driver(&settings, &gateway, &backends, seed)?;
    gateway.set_driver(driver.clone());
    spawn_local(quota.clone().report());
    spawn_local(quota.run());
    let membership = Membership::open(&settings)?;
    spawn_control_connections(&settings, &gateway, membership.clone())?;
    spawn_local(backends.clone().close_idle());

    let server = Rc::new(new_server(&settings, &gateway, &driver, backends, sockets));
    let (ready_gateway, ready_server) = (gateway.clone(), server.clone());
    let is_ready = move || ready_gateway.is_ready() && ready_server.takes_clients();
    spawn_local(readiness::serve(readiness, Rc::new(is_ready)));
    spawn_local(remove_misdirected(gateway.clone(), misdirected));
    spawn_local(handle_signals(hangup, user_defined1, ring));
    let stop = shutdown(terminate, interrupt, membership);
    serve_clients(&gateway, driver, server, clients, stop).await
}

fn new_gateway(settings: &Settings, quota: Rc<TenantQuota>) -> Rc<Gateway> {
    let identity = &settings.identity;
    let config = SubscriptionConfig {
        name: identity.node_name.clone(),
        zone: identity.zone.clone(),
        ip: identity.ip_address,
    };
    let zones = &settings.network.zones;
    let zone = zones.keys().position(|zone| *zone == identity.zone).unwrap_or(zones.len());
    Gateway::new(quota, config, zone as u32, settings.contract.bounds.retry_budget_ratio)
}

/// Returns the number of sockets, half of them for clients and half for backends.
fn max_sockets(settings: &Settings) -> usize {
    let descriptors = settings.identity.limits.max_file_descriptors;
    descriptors.saturating_sub(MACHINE_RESERVED_DESCRIPTORS + RESERVED_DESCRIPTORS).max(MIN_SOCKETS)
}

fn backend_limits(sockets: usize) -> Limits {
    Limits {
        max_connections: sockets / 2,
        connect_timeout: BACKEND_CONNECT_TIMEOUT,
        keepalive: BACKEND_KEEPALIVE,
        unacknowledged_timeout: Some(PEER_TIMEOUT),
        response_pause_timeout: None,
        relay_overtime: Some(STREAM_OVERTIME),
    }
}

fn new_driver(
    settings: &Settings,
    gateway: &Rc<Gateway>,
    backends: &Rc<Backends>,
    seed: u64,
) -> Result<Rc<Driver>, DataPlaneError> {
    let timing = Timing {
        way_back: RESPONSE_MARGIN,
        module_grace: MODULE_GRACE,
        key_margin: 0,
        min_batch_interval: 0,
    };
    let (module_settings, max_attempts) = (gateway.settings(), gateway.max_attempts.clone());
    let retry_budget = gateway.retry_budget.clone();
    let pools = gateway.clone();
    let driver = Driver::new(Config {
        settings: gateway.settings(),
        seed,
        timing,
        module: Box::new(move |seed, now| {
            let (settings, max_attempts) = (module_settings.clone(), max_attempts.clone());
            let module = BudgetedModule::new(settings, max_attempts, retry_budget.clone(), seed, now);
            module.map(|module| Box::new(module) as Box<dyn Module>).map_err(|error| error.to_string())
        }),
        backends: backends.clone(),
        zones: settings.network.zones.keys().cloned().collect(),
        pools: Box::new(move |target| pools.pools_of_backend(&target.model)),
    });
    let driver = driver.map_err(DataPlaneError::Module)?;
    // The gateway uses all backends until it has an index among the gateways.
    driver.set_gateway_position(Some((0, 1)));
    Ok(driver)
}

/// Starts the connections to control nodes and to other gateways.
fn spawn_control_connections(
    settings: &Settings,
    gateway: &Rc<Gateway>,
    membership: Option<Rc<Membership>>,
) -> Result<(), DataPlaneError> {
    spawn_local(ControlLink::new(gateway.clone(), settings.clone(), membership.clone()).run());
    if let Some(membership) = membership {
        spawn_local(membership.run());
    }
    if let Some(port) = settings.relay_port() {
        let listener = listen(SocketAddr::new(settings.identity.ip_address, port))?;
        spawn_local(relay::serve(gateway.clone(), listener, settings.control_port()));
    }
    Ok(())
}

fn new_server(
    settings: &Settings,
    gateway: &Rc<Gateway>,
    driver: &Rc<Driver>,
    backends: Rc<Backends>,
    sockets: usize,
) -> Server<ClientRequests> {
    let (min_grace, max_grace) = GRACE_BOUNDS_S;
    let grace = Duration::from_secs_f64(settings.contract.bounds.grace_s.clamp(min_grace, max_grace));
    let memory = settings.identity.limits.memory_mb * BYTES_PER_MEGABYTE;
    let bodies = Budget::new((memory * BODY_MEMORY_RATIO) as usize);
    let requests = ClientRequests::new(gateway.clone(), grace);
    Server::new(requests, driver.clone(), backends, Link::new(None), bodies, sockets / 2)
}

/// Removes backends at whose address another backend answered.
async fn remove_misdirected(gateway: Rc<Gateway>, misdirected: Misdirected) {
    loop {
        sleep(MISDIRECTED_POLL_INTERVAL).await;
        for backend in std::mem::take(&mut *misdirected.borrow_mut()) {
            gateway.observe(|view| view.on_misdirected(&backend));
        }
    }
}

/// Handles SIGHUP and SIGUSR1. SIGHUP requires no action, since the settings file is read again whenever no control
/// node is found.
async fn handle_signals(mut hangup: Signal, mut user_defined1: Signal, ring: LogRing) {
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            _ = user_defined1.recv() => ring.dump("SIGUSR1", &mut stderr().lock()),
        }
    }
}

async fn shutdown(mut terminate: Signal, mut interrupt: Signal, membership: Option<Rc<Membership>>) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    if let Some(membership) = membership {
        membership.leave();
    }
}

/// Serves clients until `stop` completes. Clients that connect before there is a configuration wait in the listener's
/// queue, since they could not be served earlier. A configuration from before the start is sufficient: waiting for
/// proof of contact with a majority cost more than it saved.
async fn serve_clients(
    gateway: &Gateway,
    driver: Rc<Driver>,
    server: Rc<Server<ClientRequests>>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), DataPlaneError> {
    let started = Instant::now();
    let can_serve = || gateway.routes().is_some() && driver.can_serve();
    while !can_serve() && started.elapsed() < INITIAL_CONFIGURATION_WAIT {
        sleep(INITIAL_POLL_INTERVAL).await;
    }
    let driver_task = spawn_local(async move { driver.run().await });
    tokio::select! {
        result = driver_task => match result {
            Err(error) => Err(DataPlaneError::DriverEnded(error)),
            Ok(never) => match never {},
        },
        () = server.accept(ClientListener::owned(listener), stop) => Ok(()),
    }
}

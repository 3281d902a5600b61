//! granitethread's data plane in the whole system: serves clients by the configuration and the backends that the control
//! plane tells of. `docs/operate/system.md` is its page.
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
use proxy::fronts::Budget;
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
/// Descriptors that the machine reserves for files (`DEPLOY.md`, Memory and descriptors).
const MACHINE_RESERVED_DESCRIPTORS: usize = 200;
/// Descriptors that are neither clients nor backends: streams, listeners, links, readiness checks.
const RESERVED_DESCRIPTORS: usize = 40;
const MIN_SOCKETS: usize = 64;
/// How long a backend leaves a connection idle, by its own word; half of it is used.
const BACKEND_KEEPALIVE: Duration = Duration::from_secs(10);
const BACKEND_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// An answer that is still arriving when its request's time is up may pause for so long.
const STREAM_OVERTIME: Duration = Duration::from_millis(100);
/// The answer leaves so long before its client stops waiting.
const RESPONSE_MARGIN: u64 = 25 * MS;
/// How long past that the decision module may still decide.
const MODULE_GRACE: u64 = 5 * MS;
/// A process that has just started lets its first clients wait so long for a configuration.
const INITIAL_CONFIGURATION_WAIT: Duration = Duration::from_millis(700);
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Backends whose address another has taken over are looked for this often.
const MISDIRECTED_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The part of the memory that bodies may take.
const BODY_MEMORY_RATIO: f64 = 1.0 / 8.0;
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// Bounds of the grace that settings may state, in seconds.
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
    let listen_for = |kind| signal(kind).map_err(DataPlaneError::Signals);
    let (terminate, interrupt) = (listen_for(SignalKind::terminate())?, listen_for(SignalKind::interrupt())?);
    let (hangup, user_defined1) =
        (listen_for(SignalKind::hangup())?, listen_for(SignalKind::user_defined1())?);
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
    spawn_control_side(&settings, &gateway, membership.clone())?;
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
    Gateway::new(quota, config, zone as u32)
}

/// Half of them are for clients and half for backends.
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
        relay_overtime: Some(STREAM_OVERTIME),
    }
}

fn new_driver(
    settings: &Settings,
    gateway: &Rc<Gateway>,
    backends: &Rc<Backends>,
    seed: u64,
) -> Result<Rc<Driver>, DataPlaneError> {
    let figures = Timing {
        way_back: RESPONSE_MARGIN,
        module_grace: MODULE_GRACE,
        key_margin: 0,
        min_batch_interval: 0,
    };
    let (module_settings, max_attempts) = (gateway.settings(), gateway.max_attempts.clone());
    let retry_ratio = settings.contract.bounds.retry_budget_ratio;
    let pools = gateway.clone();
    let driver = Driver::new(Config {
        settings: gateway.settings(),
        seed,
        timing: figures,
        module: Box::new(move |seed, now| {
            let (settings, max_attempts) = (module_settings.clone(), max_attempts.clone());
            let module = BudgetedModule::new(settings, max_attempts, retry_ratio, seed, now);
            module.map(|module| Box::new(module) as Box<dyn Module>).map_err(|error| error.to_string())
        }),
        backends: backends.clone(),
        zones: settings.network.zones.keys().cloned().collect(),
        pools: Box::new(move |target| pools.pools_of_backend(&target.model)),
    });
    let driver = driver.map_err(DataPlaneError::Module)?;
    // Until it has a place among the gateways it keeps to no part of the backends.
    driver.set_gateway_position(Some((0, 1)));
    Ok(driver)
}

/// Starts what connects this gateway to control nodes and to other gateways.
fn spawn_control_side(
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

/// Takes out backends at whose address another one answered.
async fn remove_misdirected(gateway: Rc<Gateway>, misdirected: Misdirected) {
    loop {
        sleep(MISDIRECTED_POLL_INTERVAL).await;
        for backend in std::mem::take(&mut *misdirected.borrow_mut()) {
            gateway.observe(|view| view.on_misdirected(&backend));
        }
    }
}

/// A settings file is read again whenever no control node is found, so that SIGHUP asks for nothing more.
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

/// Serves clients until `stop`. Those that connect before there is a configuration wait in the listener's queue: sooner there
/// would be nothing to answer. One of before the start will do: to wait for a majority's proof cost more than it saved.
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
    let driving = spawn_local(async move { driver.run().await });
    tokio::select! {
        ended = driving => match ended {
            Err(error) => Err(DataPlaneError::DriverEnded(error)),
            Ok(never) => match never {},
        },
        () = server.accept(listener, stop) => Ok(()),
    }
}

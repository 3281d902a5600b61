//! proscenium: granitethread's data plane in the whole system. It serves clients by the configuration and the backends that
//! the prompters tell of. `docs/operate/system.md` is its page.
#![forbid(unsafe_code)]

mod company;
mod door;
mod follow;
mod house;
mod playing;
mod pools;
mod ready;
mod relay;
mod rights;
mod sorts;
mod wire;

use company::Membership;
use door::ClientRequests;
use engine::Figures;
use follow::ControlLink;
use house::BudgetedModule;
use interface::Module;
use playing::Gateway;
use process::net::{listen, PEER_TIMEOUT};
use process::settings::Settings;
use proxy::backends::{Backends, Limits};
use proxy::driver::{Driver, Setup};
use proxy::fronts::{http1, Budget};
use proxy::handover::Link;
use rights::TenantQuota;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

const MS: u64 = 1_000_000;
/// Descriptors that are neither clients nor backends: streams, listeners, links, readings.
const RESERVED_DESCRIPTORS: usize = 40;
/// What a backend leaves a connection idle for, by its own word; half of it is used.
const BACKEND_KEEPALIVE: Duration = Duration::from_secs(10);
const BACKEND_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// An answer that is still coming when its request's time is over may pause for so long.
const STREAM_OVERTIME: Duration = Duration::from_millis(100);
/// The answer leaves so long before its client stops waiting.
const RESPONSE_MARGIN: u64 = 25 * MS;
/// A process that has just begun lets its first clients wait so long for the first word of a prompter.
const INITIAL_CONFIGURATION_WAIT: Duration = Duration::from_millis(700);
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Backends that took an address over are looked for so often.
const MISDIRECTED_POLL_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    process::command::run_daemon(
        "granitethread-data-plane",
        "granitethread's data plane",
        env!("CARGO_PKG_VERSION"),
        run,
    )
}

async fn run(settings: Settings, ring: process::ring::LogRing) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    // A settings file is read anew whenever no prompter is found, so word that it has changed asks for nothing more.
    let (mut hup, mut usr1) = (signals(SignalKind::hangup())?, signals(SignalKind::user_defined1())?);
    let addresses = &settings.network.listen_addresses;
    let front = addresses.front_http1.ok_or("no frontHttp1 address is given")?;
    let readiness = addresses.readiness.ok_or("no readiness address is given")?;
    let (front, readiness) = (listen(front)?, listen(readiness)?);
    let mut seed = [0; 8];
    getrandom::fill(&mut seed).map_err(|e| format!("no random numbers are to be had: {e}"))?;
    let seed = u64::from_ne_bytes(seed);
    fastrand::seed(seed);

    let zones: Vec<String> = settings.network.zones.keys().cloned().collect();
    let zone = zones.iter().position(|z| *z == settings.identity.zone).unwrap_or(zones.len()) as u32;
    let rights = TenantQuota::new();
    let own = &settings.identity;
    let me = subscription::SubscriptionConfig {
        name: own.node_name.clone(),
        zone: own.zone.clone(),
        ip: own.ip_address,
    };
    let playing = Gateway::new(rights.clone(), me, zone);
    let sockets =
        settings.identity.limits.max_file_descriptors.saturating_sub(200 + RESERVED_DESCRIPTORS).max(64);
    let wire = wire::BackendProtocol::default();
    let misdirected = wire.misdirected.clone();
    let unheard = Some(PEER_TIMEOUT);
    let overtime = Some(STREAM_OVERTIME);
    let limits = Limits {
        sockets: sockets / 2,
        connect_timeout: BACKEND_CONNECT_TIMEOUT,
        keepalive: BACKEND_KEEPALIVE,
        unheard,
        overtime,
    };
    let backends = Backends::new(&limits, Box::new(wire));
    let figures = Figures { way_back: RESPONSE_MARGIN, module_grace: 5 * MS, key_margin: 0, gap: 0 };
    let (attempts, own) = (playing.max_attempts.clone(), playing.settings());
    let ratio = settings.contract.bounds.retry_budget_ratio;
    let pools = playing.clone();
    let driver = Driver::new(Setup {
        settings: playing.settings(),
        seed,
        figures,
        module: Box::new(move |seed, now| {
            let house = BudgetedModule::new(own.clone(), attempts.clone(), ratio, seed, now)?;
            Ok(Box::new(house) as Box<dyn Module>)
        }),
        backends: backends.clone(),
        zones,
        pools: Box::new(move |t| pools.pools_of_backend(&t.model)),
    })?;
    // Until it has a place among the gateways it keeps to no part of the backends.
    driver.neighbours(Some((0, 1)));
    playing.set_driver(driver.clone());
    spawn_local(rights.run());
    let company = Membership::open(&settings)?;
    spawn_local(ControlLink::new(playing.clone(), settings.clone(), company.clone()).run());
    if let Some(company) = company.clone() {
        spawn_local(company.run());
    }
    if let Some(port) = settings.relay_port() {
        let listener = listen(SocketAddr::new(settings.identity.ip_address, port))?;
        spawn_local(relay::serve(playing.clone(), listener, settings.control_port()));
    }
    spawn_local(backends.clone().reap());
    let grace = Duration::from_secs_f64(settings.contract.bounds.grace_s.clamp(1.0, 3600.0));
    let bodies = Budget::new((settings.identity.limits.memory_mb / 8.0 * 1e6) as usize);
    let door = ClientRequests::new(playing.clone(), grace);
    let server = http1::Server::new(door, driver.clone(), backends, Link::new(None), bodies, sockets / 2);
    let server = Rc::new(server);
    let (seen, watched, seen_first) = (playing.clone(), server.clone(), playing.clone());
    spawn_local(ready::serve(readiness, Rc::new(move || seen.is_ready() && watched.takes_clients())));
    spawn_local(async move {
        loop {
            sleep(MISDIRECTED_POLL_INTERVAL).await;
            for name in std::mem::take(&mut *misdirected.borrow_mut()) {
                playing.observe(|fold| fold.on_misdirected(&name));
            }
        }
    });
    spawn_local(async move {
        loop {
            tokio::select! {
                _ = hup.recv() => {}
                _ = usr1.recv() => ring.dump("SIGUSR1", &mut std::io::stderr().lock()),
            }
        }
    });
    let stop = async move {
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
        if let Some(company) = company {
            company.leave();
        }
    };
    // Clients that connect meanwhile wait in the listener's queue: sooner there would be nothing to tell them. A word
    // from before a start will do: to wait for a majority's cost more than it saved.
    let begun = Instant::now();
    while !(seen_first.routes().is_some() && driver.can_serve())
        && begun.elapsed() < INITIAL_CONFIGURATION_WAIT
    {
        sleep(INITIAL_POLL_INTERVAL).await;
    }
    let driving = spawn_local(async move { driver.run().await });
    tokio::select! {
        lost = driving => Err(format!("the driver ended: {lost:?}")),
        () = server.accept(front, stop) => Ok(()),
    }
}

//! granitethread: one gateway on real sockets around the decision module.
#![forbid(unsafe_code)]

mod admin;
mod allowance;
mod api;
mod ask;
mod config;
mod discovery;
mod fleet;
mod log;
mod routes;
mod snapshot;
mod wire;

use admin::Admin;
use api::Api;
use background::{Pace, Service};
use clap::{Parser, Subcommand};
use discovery::News;
use engine::Timing;
use fleet::Fleet;
use granitehub::{Gateway, Module, Time};
use membership::Role;
use operator::{LogFormat, Operator};
use proxy::backends::{self, Backends};
use proxy::driver::{Config, Driver};
use proxy::fronts::{http1, Budget};
use proxy::handover::Link;
use snapshot::Snapshots;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::spawn_local;
use tracing::{error, info, warn};

/// An API gateway that keeps each customer of a shared fleet of backends to its plan.
///
/// LB_CONFIG names its own file (deploy/gateway.example.json is one), GRANITETHREAD_OPERATOR the operators'
/// (deploy/operator.toml), if there is one.
#[derive(Parser)]
#[command(name = "granitethread", version)]
struct Args {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Reads an operators' file, or a gateway's own (.json), says what is wrong with it, and ends
    Check { file: PathBuf },
    /// What a gateway has kept for its next life
    Snapshot {
        #[command(subcommand)]
        what: SnapshotCommand,
    },
    /// The fleet as a running gateway sees it
    Fleet {
        #[command(subcommand)]
        what: FleetCommand,
    },
}

#[derive(Subcommand)]
enum SnapshotCommand {
    /// Prints whose it is, how old, and what is wrong with it
    Show {
        file: PathBuf,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Who lives, in its eyes
    Status {
        /// The gateway's second address (its operator, or LB_OPERATOR)
        #[arg(long)]
        at: SocketAddr,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    let done = match Args::parse().command {
        None => start(),
        Some(Command::Fleet { what: FleetCommand::Status { at, json } }) => {
            log::start(LogFormat::Plain);
            ask::fleet(at, json)
        }
        Some(Command::Snapshot { what: SnapshotCommand::Show { file, json } }) => {
            log::start(LogFormat::Plain);
            snapshot::show(&file, json)
        }
        Some(Command::Check { file }) => {
            log::start(LogFormat::Plain);
            check(&file)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            error!("granitethread: {what}");
            ExitCode::FAILURE
        }
    }
}

fn check(file: &Path) -> Result<(), String> {
    if file.extension().is_some_and(|e| e == "json") {
        return config::check(file);
    }
    let operator = operator(file)?;
    routes::Routes::check(&operator).map_err(|e| format!("{}:{e}", file.display()))
}

/// The operators' file.
fn operator(file: &Path) -> Result<Operator, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    operator::read(&text).map_err(|trouble| format!("{name}:{trouble}"))
}

fn start() -> Result<(), String> {
    let operator = match std::env::var_os("GRANITETHREAD_OPERATOR") {
        None => Ok(Operator::default()),
        Some(file) => operator(Path::new(&file)),
    };
    log::start(operator.as_ref().map_or(LogFormat::Plain, |o| o.log));
    let operator = operator?;
    let config = config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(|e| format!("cannot start the event loop: {e}"))?;
    // As a task: what wakes the future of `block_on` itself costs a write to an eventfd each time.
    runtime.block_on(async { spawn_local(run(config, operator)).await }).map_err(|e| format!("lost: {e}"))?
}

/// Runs the gateway, or the planner, until a signal ends it.
async fn run(config: config::Config, operator: Operator) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    // Before `/ready`: from then on the signal may arrive, and by default it would end the process.
    let reload = signals(SignalKind::hangup())?;
    let fleet = prepare_fleet(&operator)?;
    let leaving = fleet.clone();
    let stop = async {
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
        if let Some(fleet) = leaving {
            fleet.leave();
        }
    };
    match &operator.planner {
        Some(planner) => allowance::planner::run(planner, &operator.allowances, &config.settings, stop).await,
        None => run_gateway(config, operator, fleet, reload, stop).await,
    }
}

/// The membership view, if it is configured; it runs from now on.
fn prepare_fleet(operator: &Operator) -> Result<Option<Rc<Fleet>>, String> {
    let role = if operator.planner.is_some() { Role::Planner } else { Role::Gateway };
    let fleet = operator.fleet.as_ref().map(|table| Fleet::prepare(table, role)).transpose()?;
    if let Some(fleet) = &fleet {
        spawn_local(fleet.clone().run());
    }
    Ok(fleet)
}

async fn run_gateway(
    config: config::Config,
    operator: Operator,
    fleet: Option<Rc<Fleet>>,
    reload: Signal,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let routes = routes::Routes::new(&operator, &config.settings).map_err(|e| format!("routes: {e}"))?;
    let settings = granitehub::Settings { pools: routes.pools(), ..config.settings.clone() };
    let routes = Rc::new(routes);
    let backends = backends_of(&config, &settings);
    let driver = Driver::new(driver_config(&config, &operator, &settings, &routes, &backends))?;
    if let Some(forwarder) = &operator.forwarder {
        let now = driver.time(tokio::time::Instant::now());
        let setup = allowance::forwarder::prepare(forwarder, &operator.allowances, &settings, now)?;
        spawn_local(allowance::forwarder::run(setup, driver.clone()));
    }
    let mut known_revision = config.known.as_ref().map(|known| known.rev);
    if operator.snapshot.is_some() {
        driver.export_list();
    }
    if let Some(known) = config.known {
        driver.apply_cached_list(known);
    }
    let inherited = std::env::var("LB_INHERITED_FD").ok();
    let listener = listener(config.listen, inherited.as_deref())?;
    // Only an inherited socket is shared with a process that comes after.
    let link = Link::new(inherited.and(std::env::var_os("TMPDIR")).map(PathBuf::from));
    let operator_listener =
        config.operator.map(sockets::listen).transpose().map_err(|error| error.to_string())?;
    if let Ok(address) = listener.local_addr() {
        info!(%address, "listening on {address}");
    }
    let bodies = Budget::new(config.body_bytes);
    let api = Api::new(driver.clone(), routes, &settings);
    let (max_clients, gateway) = (config.client_sockets, driver.clone());
    let server =
        Rc::new(http1::Server::new(api, gateway, backends.clone(), link.clone(), bodies, max_clients));
    if let Some(listener) = operator_listener {
        if let Ok(address) = listener.local_addr() {
            info!(%address, "operators' calls on {address}");
        }
        let (driver, server, link) = (driver.clone(), server.clone(), link.clone());
        let classes = settings.classes.iter().map(|c| c.name.clone()).collect();
        spawn_local(Rc::new(Admin { driver, server, link, classes, fleet: fleet.clone() }).serve(listener));
    }
    let snapshots = operator
        .snapshot
        .as_ref()
        .and_then(|table| Snapshots::begin(table, &settings, link.role(), &driver, &mut known_revision));
    if let Some(snapshots) = snapshots {
        let link = link.clone();
        spawn_local(snapshots.run(driver.clone(), move || link.role()));
    }
    spawn_local(link.follow(driver.clone()));
    let pace = Pace::new(discovery_service(&settings), config.seed);
    let callers = Rc::new(Cell::new(None));
    if let Some(fleet) = &fleet {
        fleet.serves(&operator, &driver, settings.gateways, &callers);
    }
    // A shared service is asked for no more than what changed since: the whole list costs it work for each line.
    let known_revision = known_revision.filter(|_| settings.subscribe);
    spawn_local(follow(config.discovery, known_revision, pace, callers, reload, driver.clone()));
    spawn_local(backends.close_idle());
    let driver = spawn_local(async move { driver.run().await });
    tokio::select! {
        lost = driver => Err(format!("the driver ended: {lost:?}")),
        () = server.accept(listener, stop) => Ok(()),
    }
}

fn backends_of(config: &config::Config, settings: &granitehub::Settings) -> Rc<Backends> {
    let limits = backends::Limits {
        max_connections: config.backend_sockets,
        connect_timeout: config.connect_timeout,
        keepalive: config.keepalive,
        unacknowledged_timeout: None,
        relay_overtime: None,
    };
    let wire = wire::Backward { most_units: settings.max_units.max(1.0) };
    Backends::new(&limits, Box::new(wire))
}

fn driver_config(
    config: &config::Config,
    operator: &Operator,
    settings: &granitehub::Settings,
    routes: &Rc<routes::Routes>,
    backends: &Rc<Backends>,
) -> Config {
    let nanos = |duration: Duration| duration.as_nanos() as Time;
    let table = &operator.lifecycle;
    let timing = Timing {
        way_back: nanos(table.way_back),
        module_grace: nanos(table.module_grace),
        key_margin: nanos(table.key_margin),
        min_batch_interval: nanos(table.gap),
    };
    let (module_settings, routes) = (settings.clone(), routes.clone());
    Config {
        settings: settings.clone(),
        seed: config.seed,
        timing,
        module: Box::new(move |seed, now| {
            let gateway = Gateway::new(module_settings.clone(), seed, now)?;
            Ok(Box::new(gateway) as Box<dyn Module>)
        }),
        backends: backends.clone(),
        zones: config.zones.clone(),
        pools: Box::new(move |target| routes.of(target)),
    }
}

fn discovery_service(settings: &granitehub::Settings) -> Service {
    if settings.subscribe {
        let within = Duration::from_nanos(settings.max_poll_interval);
        Service::Shared { gateways: settings.gateways, within }
    } else {
        Service::Local
    }
}

/// The inherited socket with this descriptor's number, or one of our own.
fn listener(address: SocketAddr, inherited: Option<&str>) -> Result<TcpListener, String> {
    match inherited {
        None => sockets::listen(address).map_err(|error| error.to_string()),
        Some(number) => inherit(number).map_err(|e| format!("LB_INHERITED_FD is {number:?}: {e}")),
    }
}

/// The listening socket that the parent process left open for this one.
fn inherit(number: &str) -> Result<TcpListener, String> {
    let listener = inherit::listener(number)?;
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    TcpListener::from_std(listener).map_err(|e| e.to_string())
}

/// Watches discovery where the configuration says it is, also after a new one. The watch that waits at the
/// old address is dropped at once: what that has yet to tell would come too late.
async fn follow(
    address: SocketAddr,
    held: Option<u64>,
    mut pace: Pace,
    callers: Rc<Cell<Option<u32>>>,
    mut hup: Signal,
    driver: Rc<Driver>,
) {
    let mut begin = |address, held| {
        let driver = driver.clone();
        let callers = callers.clone();
        spawn_local(discovery::watch(address, held, pace.fork(), callers, move |news| match news {
            News::List(scope, list) => driver.apply_list(scope, list),
            News::Failed(what) => driver.discovery_failed(what),
        }))
    };
    let mut watch = begin(address, held);
    while hup.recv().await.is_some() {
        match config::reload() {
            Ok(address) => {
                info!(%address, "new configuration: discovery at {address}");
                watch.abort();
                // Revisions of another service say nothing here.
                watch = begin(address, None);
            }
            Err(what) => warn!(cause = what, "new configuration refused, the old one stands: {what}"),
        }
    }
}

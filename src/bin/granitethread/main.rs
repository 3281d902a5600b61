//! `granitethread`: runs one gateway, the decision module on real sockets, or a planner.
#![forbid(unsafe_code)]

mod admin;
mod admin_client;
mod allowance;
mod api;
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
use discovery::Update;
use engine::Timing;
use fleet::Fleet;
use granitehub::{Gateway, Module, Time};
use membership::Role;
use operator::{LogFormat, OperatorConfig};
use proxy::backends::{self, Backends};
use proxy::driver::{Config, Driver};
use proxy::fronts::{http1, Budget, ClientListener};
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

/// Pause within a response after which a request that may be repeated is sent elsewhere.
const RESPONSE_PAUSE_TIMEOUT: Duration = Duration::from_millis(250);

/// An API gateway that enforces each customer's plan on a shared fleet of backends.
///
/// LB_CONFIG names the gateway's configuration file (such as deploy/gateway.example.json), GRANITETHREAD_OPERATOR the
/// optional operators' file (such as deploy/operator.toml).
#[derive(Parser)]
#[command(name = "granitethread", version)]
struct Args {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Validates an operators' file, or a gateway's configuration file (.json), and exits
    Check { file: PathBuf },
    /// Inspects the snapshot that a gateway has saved for its next process
    Snapshot {
        #[command(subcommand)]
        command: SnapshotCommand,
    },
    /// Queries a running gateway's view of the fleet
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
}

#[derive(Subcommand)]
enum SnapshotCommand {
    /// Prints a snapshot's author, age and damaged sections
    Show {
        file: PathBuf,
        /// Prints one JSON object
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Prints the members and their states
    Status {
        /// The gateway's admin address (`operator` in its file, or LB_OPERATOR)
        #[arg(long)]
        at: SocketAddr,
        /// Prints one JSON object
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        None => start(),
        Some(Command::Fleet { command: FleetCommand::Status { at, json } }) => {
            log::start(LogFormat::Plain);
            admin_client::fleet_status(at, json)
        }
        Some(Command::Snapshot { command: SnapshotCommand::Show { file, json } }) => {
            log::start(LogFormat::Plain);
            snapshot::show(&file, json)
        }
        Some(Command::Check { file }) => {
            log::start(LogFormat::Plain);
            check(&file)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("granitethread: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(file: &Path) -> Result<(), String> {
    if file.extension().is_some_and(|e| e == "json") {
        return config::check(file);
    }
    let operator = read_operator_file(file)?;
    routes::Routes::check(&operator).map_err(|e| format!("{}:{e}", file.display()))
}

/// Reads an operators' file.
fn read_operator_file(file: &Path) -> Result<OperatorConfig, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    operator::read(&text).map_err(|error| format!("{name}:{error}"))
}

fn start() -> Result<(), String> {
    let operator = match std::env::var_os("GRANITETHREAD_OPERATOR") {
        None => Ok(OperatorConfig::default()),
        Some(file) => read_operator_file(Path::new(&file)),
    };
    log::start(operator.as_ref().map_or(LogFormat::Plain, |o| o.log));
    let operator = operator?;
    let config = config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(|e| format!("cannot start the event loop: {e}"))?;
    // Run as a task: each wake-up of the future of `block_on` itself would cost a write to an eventfd.
    runtime
        .block_on(async { spawn_local(run(config, operator)).await })
        .map_err(|e| format!("the main task failed: {e}"))?
}

/// Runs the gateway, or the planner, until SIGTERM or SIGINT.
async fn run(config: config::Config, operator: OperatorConfig) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    // Registered before `/ready` is served: SIGHUP may arrive from then on, and by default would end the process.
    let reload = signals(SignalKind::hangup())?;
    let fleet = prepare_fleet(&operator)?;
    let fleet_to_leave = fleet.clone();
    let stop = async {
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
        if let Some(fleet) = fleet_to_leave {
            fleet.leave();
        }
    };
    match &operator.planner {
        Some(planner) => allowance::planner::run(planner, &operator.allowances, &config.settings, stop).await,
        None => run_gateway(config, operator, fleet, reload, stop).await,
    }
}

/// Starts the membership view if it is configured.
fn prepare_fleet(operator: &OperatorConfig) -> Result<Option<Rc<Fleet>>, String> {
    let role = if operator.planner.is_some() { Role::Planner } else { Role::Gateway };
    let fleet = operator.fleet.as_ref().map(|table| Fleet::prepare(table, role)).transpose()?;
    if let Some(fleet) = &fleet {
        spawn_local(fleet.clone().run());
    }
    Ok(fleet)
}

async fn run_gateway(
    config: config::Config,
    operator: OperatorConfig,
    fleet: Option<Rc<Fleet>>,
    reload: Signal,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let routes = routes::Routes::new(&operator, &config.settings).map_err(|e| format!("routes: {e}"))?;
    let settings = granitehub::Settings { pools: routes.pools(), ..config.settings.clone() };
    let routes = Rc::new(routes);
    let backends = new_backends(&config, &settings);
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
    // Only an inherited socket is shared with a successor process.
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
        .and_then(|table| Snapshots::open(table, &settings, link.role(), &driver, &mut known_revision));
    if let Some(snapshots) = snapshots {
        let link = link.clone();
        spawn_local(snapshots.run(driver.clone(), move || link.role()));
    }
    spawn_local(link.follow(driver.clone()));
    let pace = Pace::new(discovery_service(&settings), config.seed);
    let callers = Rc::new(Cell::new(None));
    if let Some(fleet) = &fleet {
        fleet.set_consumers(&operator, &driver, settings.gateways, &callers);
    }
    // A shared discovery service is asked only for the changes since this revision: the whole list costs it work for each
    // line.
    let known_revision = known_revision.filter(|_| settings.subscribe);
    spawn_local(follow_discovery(config.discovery, known_revision, pace, callers, reload, driver.clone()));
    spawn_local(backends.close_idle());
    let driver = spawn_local(async move { driver.run().await });
    tokio::select! {
        result = driver => Err(format!("the driver ended: {result:?}")),
        () = server.accept(listener, stop) => Ok(()),
    }
}

fn new_backends(config: &config::Config, settings: &granitehub::Settings) -> Rc<Backends> {
    let limits = backends::Limits {
        max_connections: config.backend_sockets,
        connect_timeout: config.connect_timeout,
        keepalive: config.keepalive,
        unacknowledged_timeout: None,
        response_pause_timeout: Some(RESPONSE_PAUSE_TIMEOUT),
        relay_overtime: None,
    };
    let wire = wire::BackendProtocol { max_units: settings.max_units.max(1.0) };
    Backends::new(&limits, Box::new(wire))
}

fn driver_config(
    config: &config::Config,
    operator: &OperatorConfig,
    settings: &granitehub::Settings,
    routes: &Rc<routes::Routes>,
    backends: &Rc<Backends>,
) -> Config {
    let nanos = |duration: Duration| duration.as_nanos() as Time;
    let lifecycle = &operator.lifecycle;
    let timing = Timing {
        way_back: nanos(lifecycle.way_back),
        module_grace: nanos(lifecycle.module_grace),
        key_margin: nanos(lifecycle.key_margin),
        min_batch_interval: nanos(lifecycle.min_batch_interval),
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
        pools: Box::new(move |target| routes.pools_of(target)),
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

/// Returns the inherited socket with this descriptor number, or binds a new one.
fn listener(address: SocketAddr, inherited: Option<&str>) -> Result<ClientListener, String> {
    match inherited {
        None => sockets::listen(address).map(ClientListener::owned).map_err(|error| error.to_string()),
        Some(number) => inherited_listener(number)
            .map(ClientListener::shared)
            .map_err(|e| format!("LB_INHERITED_FD is {number:?}: {e}")),
    }
}

/// Returns the listening socket that the parent process left open for this one.
fn inherited_listener(number: &str) -> Result<TcpListener, String> {
    let listener = inherit::listener(number)?;
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    TcpListener::from_std(listener).map_err(|e| e.to_string())
}

/// Watches discovery at the configured address, and restarts the watch when SIGHUP reloads the configuration. The watch at
/// the old address is aborted at once: its next update would be out of date.
async fn follow_discovery(
    address: SocketAddr,
    known_revision: Option<u64>,
    mut pace: Pace,
    callers: Rc<Cell<Option<u32>>>,
    mut reload: Signal,
    driver: Rc<Driver>,
) {
    let mut start_watch =
        |address, known_revision| {
            let driver = driver.clone();
            let callers = callers.clone();
            spawn_local(discovery::watch(address, known_revision, pace.fork(), callers, move |update| {
                match update {
                    Update::List(scope, list) => driver.apply_list(scope, list),
                    Update::Failed(error) => driver.discovery_failed(error),
                }
            }))
        };
    let mut watch = start_watch(address, known_revision);
    while reload.recv().await.is_some() {
        match config::reload() {
            Ok(address) => {
                info!(%address, "new configuration: discovery at {address}");
                watch.abort();
                // Revisions of another service are not comparable.
                watch = start_watch(address, None);
            }
            Err(error) => warn!(cause = error, "new configuration refused, the old one stands: {error}"),
        }
    }
}

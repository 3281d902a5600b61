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

async fn run(config: config::Config, operator: Operator) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    // Before `/ready`: from then on the signal may come, and by default it would end the process.
    let hup = signals(SignalKind::hangup())?;
    let stop = async {
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    };
    let role = if operator.planner.is_some() { Role::Planner } else { Role::Gateway };
    let fleet = operator.fleet.as_ref().map(|table| Fleet::prepare(table, role)).transpose()?;
    if let Some(fleet) = &fleet {
        spawn_local(fleet.clone().run());
    }
    let leaves = fleet.clone();
    let stop = async {
        stop.await;
        if let Some(fleet) = leaves {
            fleet.leave();
        }
    };
    if let Some(planner) = &operator.planner {
        return allowance::planner::run(planner, &operator.allowances, &config.settings, stop).await;
    }
    let routes = routes::Routes::new(&operator, &config.settings).map_err(|e| format!("routes: {e}"))?;
    let settings = granitehub::Settings { pools: routes.pools(), ..config.settings };
    let limits = backends::Limits {
        max_connections: config.backend_sockets,
        connect_timeout: config.connect_timeout,
        keepalive: config.keepalive,
        unacknowledged_timeout: None,
        relay_overtime: None,
    };
    let wire = wire::Backward { most_units: settings.most_units.max(1.0) };
    let backends = Backends::new(&limits, Box::new(wire));
    let (routes, own, table) = (Rc::new(routes), settings.clone(), &operator.lifecycle);
    let nanos = |d: Duration| d.as_nanos() as Time;
    let figures = Timing {
        way_back: nanos(table.way_back),
        module_grace: nanos(table.module_grace),
        key_margin: nanos(table.key_margin),
        min_batch_interval: nanos(table.gap),
    };
    let pools = routes.clone();
    let driver = Driver::new(Config {
        settings: settings.clone(),
        seed: config.seed,
        timing: figures,
        module: Box::new(move |seed, now| {
            Gateway::new(own.clone(), seed, now).map(|g| Box::new(g) as Box<dyn Module>)
        }),
        backends: backends.clone(),
        zones: config.zones,
        pools: Box::new(move |target| pools.of(target)),
    })?;
    if let Some(forwarder) = &operator.forwarder {
        let now = driver.time(tokio::time::Instant::now());
        let setup = allowance::forwarder::prepare(forwarder, &operator.allowances, &settings, now)?;
        spawn_local(allowance::forwarder::run(setup, driver.clone()));
    }
    let service = if settings.subscribe {
        Service::Shared {
            gateways: settings.gateways,
            within: Duration::from_nanos(settings.max_poll_interval),
        }
    } else {
        Service::Local
    };
    let mut held = config.known.as_ref().map(|known| known.rev);
    if operator.snapshot.is_some() {
        driver.export_list();
    }
    if let Some(known) = config.known {
        driver.apply_cached_list(known);
    }
    let inherited = std::env::var("LB_INHERITED_FD").ok();
    let listener = match &inherited {
        None => http1::listen(config.listen)?,
        Some(number) => inherit(number).map_err(|e| format!("LB_INHERITED_FD is {number:?}: {e}"))?,
    };
    // Only what is inherited is shared with a process that comes after.
    let link = Link::new(inherited.and(std::env::var_os("TMPDIR")).map(PathBuf::from));
    let second = config.operator.map(http1::listen).transpose()?;
    if let Ok(address) = listener.local_addr() {
        info!(%address, "listening on {address}");
    }
    let bodies = Budget::new(config.body_bytes);
    let api = Api::new(driver.clone(), routes, &settings);
    let (room, gateway) = (config.client_sockets, driver.clone());
    let server = Rc::new(http1::Server::new(api, gateway, backends.clone(), link.clone(), bodies, room));
    if let Some(listener) = second {
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
        .and_then(|table| Snapshots::begin(table, &settings, link.role(), &driver, &mut held));
    if let Some(snapshots) = snapshots {
        let link = link.clone();
        spawn_local(snapshots.run(driver.clone(), move || link.role()));
    }
    spawn_local(link.follow(driver.clone()));
    let pace = Pace::new(service, config.seed);
    let callers = Rc::new(Cell::new(None));
    if let Some(fleet) = &fleet {
        fleet.serves(&operator, &driver, settings.gateways, &callers);
    }
    // A shared service is asked for no more than what changed since: the whole list costs it work for each line.
    let held = held.filter(|_| settings.subscribe);
    spawn_local(follow(config.discovery, held, pace, callers, hup, driver.clone()));
    spawn_local(backends.close_idle());
    let driver = spawn_local(async move { driver.run().await });
    tokio::select! {
        lost = driver => Err(format!("the driver ended: {lost:?}")),
        () = server.accept(listener, stop) => Ok(()),
    }
}

/// The listening socket that whoever started this process left open for it.
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
            News::Failed(what) => driver.list_failed(what),
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

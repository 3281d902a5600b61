//! granitethread: one gateway on real sockets around the decision module.
#![forbid(unsafe_code)]

/// A line of the log. Unlike `eprintln!` it survives whoever reads the log.
macro_rules! log {
    ($($part:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}
pub(crate) use log;

mod backends;
mod config;
mod discovery;
mod driver;
mod list;
mod server;

use backends::Backends;
use driver::Driver;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::spawn_local;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log!("granitethread: {what}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let config = config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(|e| format!("cannot start the event loop: {e}"))?;
    // As a task: what wakes the future of `block_on` itself costs a write to an eventfd each time.
    runtime.block_on(async { spawn_local(run(config)).await }).map_err(|e| format!("lost: {e}"))?
}

async fn run(config: config::Config) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    // Before `/ready`: from then on the signal may come, and by default it would end the process.
    let hup = signals(SignalKind::hangup())?;
    let backends = Backends::new(&backends::Limits {
        sockets: config.backend_sockets,
        most_units: config.settings.most_units,
        connect_timeout: config.connect_timeout,
        keepalive: config.keepalive,
    });
    let driver = Driver::new(config.settings, config.seed, config.zones, backends.clone())?;
    if let Some(known) = config.known {
        driver.cached(known);
    }
    let listener = server::listen(config.listen)?;
    if let Ok(address) = listener.local_addr() {
        log!("listening on {address}");
    }
    let server = Rc::new(server::Server::new(driver.clone(), backends.clone(), config.client_sockets));
    spawn_local(follow(config.discovery, hup, driver.clone()));
    spawn_local(backends.reap());
    let driver = spawn_local(async move { driver.run().await });
    let stop = async {
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    };
    tokio::select! {
        lost = driver => Err(format!("the driver ended: {lost:?}")),
        () = server.accept(listener, stop) => Ok(()),
    }
}

/// Watches discovery where the configuration says it is, also after a new one. The watch that waits at the
/// old address is dropped at once: what that has yet to tell would come too late.
async fn follow(address: SocketAddr, mut hup: Signal, driver: Rc<Driver>) {
    let begin = |address| {
        let driver = driver.clone();
        spawn_local(discovery::watch(address, move |news| driver.news(news)))
    };
    let mut watch = begin(address);
    while hup.recv().await.is_some() {
        match config::reload() {
            Ok(address) => {
                log!("new configuration: discovery at {address}");
                watch.abort();
                watch = begin(address);
            }
            Err(what) => log!("new configuration refused, the old one stands: {what}"),
        }
    }
}

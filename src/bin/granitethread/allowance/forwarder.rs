//! The forwarder's sockets: a connection to each planner that is talked to, a report a tick. The account
//! decides; a planner that is slow to read is skipped, not waited for.

use super::{key, nonce, random, receive, terms};
use forward::Account;
use granitehub::{Settings, Time};
use operator::{Allowances, Forwarder};
use plan::message::Report;
use plan::wire::{Link, Message, Side};
use proxy::driver::Driver;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// Between two tries to connect, and the longest that one may take.
const PAUSE: Duration = Duration::from_millis(100);
const CONNECT: Duration = Duration::from_millis(500);
/// A planner that takes a report no sooner is dropped.
const WRITE: Duration = Duration::from_secs(1);
/// Reports that may wait for a planner: the next makes the last one moot.
const WAITING: usize = 1;

pub struct Setup {
    account: Account,
    key: Vec<u8>,
    planners: Vec<SocketAddr>,
    tick: Duration,
    version: u8,
}

/// Reads the key and makes the account.
pub fn prepare(own: &Forwarder, all: &Allowances, s: &Settings, now: Time) -> Result<Setup, String> {
    let terms = terms(all, s)?;
    let tick = Duration::from_nanos(terms.tick);
    let account = Account::new(terms, own.seat, nonce()?, own.planners.len(), now)?;
    Ok(Setup {
        account,
        key: key(&own.key_file)?,
        planners: own.planners.clone(),
        tick,
        version: all.version,
    })
}

/// Talks to the planners for as long as the process lives.
pub async fn run(setup: Setup, driver: Rc<Driver>) {
    let Setup { account, key, planners, tick, version } = setup;
    driver.set_account(account);
    let key = Rc::new(key);
    let mut to: Vec<Sender<Report>> = Vec::new();
    for (n, address) in planners.into_iter().enumerate() {
        let (sender, reports) = channel(WAITING);
        to.push(sender);
        spawn_local(connection(n, address, key.clone(), version, reports, driver.clone()));
    }
    let mut every = interval(tick);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        for (planner, report) in driver.reports() {
            if let Some(sender) = to.get(planner) {
                // Full: the planner is slow, and the next report will say all that this one does.
                let _ = sender.try_send(report);
            }
        }
    }
}

async fn connection(
    n: usize,
    address: SocketAddr,
    key: Rc<Vec<u8>>,
    version: u8,
    mut reports: Receiver<Report>,
    driver: Rc<Driver>,
) {
    let mut quiet = false;
    loop {
        // A planner that nobody wants to talk to is not connected to.
        let Some(mut next) = reports.recv().await else { return };
        if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(address)).await {
            let _ = stream.set_nodelay(true);
            let Ok(random) = random() else { continue };
            let link = RefCell::new(Link::new(Side::Forwarder, &key, random, version));
            let (mut read, mut write) = stream.into_split();
            let hello = link.borrow().hello();
            if write.write_all(&hello).await.is_ok() {
                let reading = async {
                    while let Some(got) = receive(&mut read, &link).await {
                        for message in got.map_err(|fault| fault.to_string())? {
                            if let Message::Grant(grant) = message {
                                driver.apply_grant(n, grant);
                            }
                        }
                    }
                    Err::<(), _>("it ended the connection".to_string())
                };
                let writing = async {
                    loop {
                        let frame = link.borrow_mut().seal(&Message::Report(next));
                        // Before the planner's hello nothing can be said; the next report will do.
                        if !frame.is_empty() {
                            let written = timeout(WRITE, write.write_all(&frame)).await;
                            if !matches!(written, Ok(Ok(()))) {
                                return "it takes no reports".to_string();
                            }
                        }
                        match reports.recv().await {
                            Some(report) => next = report,
                            None => return "over".to_string(),
                        }
                    }
                };
                let why = tokio::select! {
                    why = reading => why.err().unwrap_or_default(),
                    why = writing => why,
                };
                if !std::mem::replace(&mut quiet, true) {
                    tracing::warn!(%address, cause = why, "planner {address}: {why}");
                }
            }
        } else if !std::mem::replace(&mut quiet, true) {
            tracing::warn!(%address, "planner {address}: it can't be reached");
        }
        sleep(PAUSE).await;
        if driver.is_lent_to(n) {
            quiet = false;
        }
    }
}

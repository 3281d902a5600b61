//! Client of the planners: one connection to each planner in use, and one report per tick. The account makes the decisions; a
//! planner that is slow to read is skipped, not waited for.

use super::{lease_config, nonce, random_bytes, read_key, receive};
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

/// Delay between two attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Timeout of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A planner that does not accept a report within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of reports queued for a planner: each report supersedes the previous one.
const MAX_QUEUED_REPORTS: usize = 1;

/// Parameters of [`run`].
pub struct Setup {
    account: Account,
    key: Vec<u8>,
    planners: Vec<SocketAddr>,
    tick: Duration,
    version: u8,
}

/// Reads the key and creates the account.
pub fn prepare(
    table: &Forwarder,
    allowances: &Allowances,
    settings: &Settings,
    now: Time,
) -> Result<Setup, String> {
    let config = lease_config(allowances, settings)?;
    let tick = Duration::from_nanos(config.tick);
    let account = Account::new(config, table.seat, nonce()?, table.planners.len(), now)?;
    Ok(Setup {
        account,
        key: read_key(&table.key_file)?,
        planners: table.planners.clone(),
        tick,
        version: allowances.version,
    })
}

/// Exchanges reports and grants with the planners until the process ends.
pub async fn run(setup: Setup, driver: Rc<Driver>) {
    let Setup { account, key, planners, tick, version } = setup;
    driver.set_account(account);
    let key = Rc::new(key);
    let mut senders: Vec<Sender<Report>> = Vec::new();
    for (index, address) in planners.into_iter().enumerate() {
        let (sender, reports) = channel(MAX_QUEUED_REPORTS);
        senders.push(sender);
        spawn_local(run_connection(index, address, key.clone(), version, reports, driver.clone()));
    }
    let mut ticks = interval(tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (planner, report) in driver.reports() {
            if let Some(sender) = senders.get(planner) {
                // If the queue is full, the planner is slow; the next report will contain everything that this one does.
                let _ = sender.try_send(report);
            }
        }
    }
}

/// Keeps a connection to one planner while there are reports for it, and logs the first failure of a series.
async fn run_connection(
    planner: usize,
    address: SocketAddr,
    key: Rc<Vec<u8>>,
    version: u8,
    mut reports: Receiver<Report>,
    driver: Rc<Driver>,
) {
    let mut failure_logged = false;
    loop {
        // Connect only when there is a report for this planner.
        let Some(mut report) = reports.recv().await else { return };
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            let _ = stream.set_nodelay(true);
            let Ok(random) = random_bytes() else { continue };
            let link = RefCell::new(Link::new(Side::Forwarder, &key, random, version));
            let (mut read, mut write) = stream.into_split();
            let hello = link.borrow().hello();
            if write.write_all(&hello).await.is_ok() {
                let reading = async {
                    while let Some(received) = receive(&mut read, &link).await {
                        for message in received.map_err(|error| error.to_string())? {
                            if let Message::Grant(grant) = message {
                                driver.apply_grant(planner, grant);
                            }
                        }
                    }
                    Err::<(), _>("the planner closed the connection".to_string())
                };
                let writing = async {
                    loop {
                        let frame = link.borrow_mut().seal(&Message::Report(report));
                        // No frame can be sealed before the planner's hello; the next report replaces this one.
                        if !frame.is_empty() {
                            let write_result = timeout(WRITE_TIMEOUT, write.write_all(&frame)).await;
                            if !matches!(write_result, Ok(Ok(()))) {
                                return "failed to write a report".to_string();
                            }
                        }
                        match reports.recv().await {
                            Some(next_report) => report = next_report,
                            None => return "no more reports".to_string(),
                        }
                    }
                };
                let reason = tokio::select! {
                    reason = reading => reason.err().unwrap_or_default(),
                    reason = writing => reason,
                };
                if !std::mem::replace(&mut failure_logged, true) {
                    tracing::warn!(%address, cause = reason, "planner {address}: {reason}");
                }
            }
        } else if !std::mem::replace(&mut failure_logged, true) {
            tracing::warn!(%address, "planner {address}: cannot connect");
        }
        sleep(RECONNECT_DELAY).await;
        if driver.is_lent_to(planner) {
            failure_logged = false;
        }
    }
}

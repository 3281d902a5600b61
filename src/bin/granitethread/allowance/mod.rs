//! Planners and forwarders on sockets: the terms, the key, and connections that carry `plan`'s wire.

pub mod forwarder;
pub mod planner;

use granitehub::Settings;
use operator::Allowances;
use plan::wire::{Link, Message, WireError, MIN_KEY_BYTES};
use plan::{Allowance, LeaseConfig};
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// The longest key that is read.
const MOST_KEY: u64 = 4096;

/// The installation's terms, from the operators' file and the plans.
pub fn terms(allowances: &Allowances, s: &Settings) -> Result<LeaseConfig, String> {
    let plan = |p: &granitehub::Plan| Allowance {
        quota_rate: p.rate,
        quota_depth: p.depth,
        hard_limit_rate: p.hard_limit_rate,
        hard_limit_depth: p.hard_limit_burst,
        slots: f64::from(p.parallel),
    };
    let mut terms = LeaseConfig::new(allowances.seats, s.plans.iter().map(plan).collect());
    terms.tick = allowances.tick.as_nanos() as u64;
    terms.lease_ttl = allowances.lease.as_nanos() as u64;
    terms.loan_ttl = allowances.loan.as_nanos() as u64;
    terms.max_clock_drift = f64::from(allowances.drift_permille) / 1000.0;
    terms.max_attempt = s.classes.iter().map(|c| c.deadline).max().unwrap_or(terms.max_attempt);
    terms.max_request_units = s.max_units.max(1.0);
    terms.validate()?;
    Ok(terms)
}

/// The shared key: a file that nobody but its owner may read, without the line's end.
pub fn key(file: &Path) -> Result<Vec<u8>, String> {
    let name = file.display();
    let open = std::fs::File::open(file).map_err(|e| format!("key_file {name}: {e}"))?;
    let mode = open.metadata().map_err(|e| format!("key_file {name}: {e}"))?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(format!("key_file {name}: mode {:o}: others may read it, 600 is wanted", mode & 0o777));
    }
    let mut key = Vec::new();
    open.take(MOST_KEY + 1).read_to_end(&mut key).map_err(|e| format!("key_file {name}: {e}"))?;
    while key.last().is_some_and(|b| matches!(b, b'\n' | b'\r')) {
        key.pop();
    }
    if !(MIN_KEY_BYTES..=MOST_KEY as usize).contains(&key.len()) {
        return Err(format!(
            "key_file {name}: {} bytes: {MIN_KEY_BYTES} to {MOST_KEY} are wanted",
            key.len()
        ));
    }
    Ok(key)
}

/// A number that tells this life of a process from every other; never 0. From the operating system: one seeded
/// from the clock could come again, and with it the leases of another life.
pub fn nonce() -> Result<u64, String> {
    Ok(u64::from_be_bytes(random()?).max(1))
}

/// Random bytes from the operating system, which nobody can guess and which don't come again.
pub fn random<const N: usize>() -> Result<[u8; N], String> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|e| format!("no random bytes: {e}"))?;
    Ok(bytes)
}

/// Reads what comes next of a connection; none at its end.
async fn receive(
    half: &mut OwnedReadHalf,
    link: &std::cell::RefCell<Link>,
) -> Option<Result<Vec<Message>, WireError>> {
    let mut bytes = [0; 16 << 10];
    match half.read(&mut bytes).await {
        Ok(0) | Err(_) => None,
        Ok(n) => Some(link.borrow_mut().receive(&bytes[..n])),
    }
}

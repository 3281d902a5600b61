//! Planners and forwarders on sockets: the lease parameters, the shared key, and connections that carry the protocol of
//! `plan`.

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

/// Maximum length of a key.
const MAX_KEY_BYTES: u64 = 4096;

/// Builds the installation's lease parameters from the operators' file and the plans.
pub fn lease_config(allowances: &Allowances, settings: &Settings) -> Result<LeaseConfig, String> {
    let plan = |p: &granitehub::Plan| Allowance {
        quota_rate: p.rate,
        quota_depth: p.depth,
        hard_limit_rate: p.hard_limit_rate,
        hard_limit_depth: p.hard_limit_burst,
        slots: f64::from(p.parallel),
    };
    let mut config = LeaseConfig::new(allowances.seats, settings.plans.iter().map(plan).collect());
    config.tick = allowances.tick.as_nanos() as u64;
    config.lease_ttl = allowances.lease.as_nanos() as u64;
    config.loan_ttl = allowances.loan.as_nanos() as u64;
    config.max_clock_drift = f64::from(allowances.drift_permille) / 1000.0;
    config.max_attempt = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(config.max_attempt);
    config.max_request_units = settings.max_units.max(1.0);
    config.validate()?;
    Ok(config)
}

/// Reads the shared key from a file, which only its owner may be able to read. Trailing line breaks are removed.
pub fn read_key(file: &Path) -> Result<Vec<u8>, String> {
    let name = file.display();
    let opened = std::fs::File::open(file).map_err(|e| format!("key_file {name}: {e}"))?;
    let mode = opened.metadata().map_err(|e| format!("key_file {name}: {e}"))?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(format!("key_file {name}: mode {:o}: others may read it, 600 is wanted", mode & 0o777));
    }
    let mut key = Vec::new();
    opened.take(MAX_KEY_BYTES + 1).read_to_end(&mut key).map_err(|e| format!("key_file {name}: {e}"))?;
    while key.last().is_some_and(|b| matches!(b, b'\n' | b'\r')) {
        key.pop();
    }
    if !(MIN_KEY_BYTES..=MAX_KEY_BYTES as usize).contains(&key.len()) {
        return Err(format!(
            "key_file {name}: {} bytes: {MIN_KEY_BYTES} to {MAX_KEY_BYTES} are wanted",
            key.len()
        ));
    }
    Ok(key)
}

/// Returns a number that identifies this run of the process; never 0. It comes from the operating system: a number seeded
/// from the clock could repeat, and then the leases of another run would be taken for this one's.
pub fn nonce() -> Result<u64, String> {
    Ok(u64::from_be_bytes(random_bytes()?).max(1))
}

/// Returns random bytes from the operating system, which are unpredictable and do not repeat.
pub fn random_bytes<const N: usize>() -> Result<[u8; N], String> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|e| format!("cannot get random bytes: {e}"))?;
    Ok(bytes)
}

/// Reads the next bytes of a connection and returns the messages that they complete; none at its end.
async fn receive(
    reader: &mut OwnedReadHalf,
    link: &std::cell::RefCell<Link>,
) -> Option<Result<Vec<Message>, WireError>> {
    let mut bytes = [0; 16 << 10];
    match reader.read(&mut bytes).await {
        Ok(0) | Err(_) => None,
        Ok(n) => Some(link.borrow_mut().receive(&bytes[..n])),
    }
}

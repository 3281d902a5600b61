//! Parser of the operators' file. Each subsystem has a table in it; a subsystem whose table is absent is off. The
//! parser does no I/O: the caller passes the text.
//!
//! A file is accepted or rejected as a whole. The first problem found is returned as a [`ConfigError`] with the line, the
//! key and the expected value.
//!
//! ```
//! let defaults = operator::read("").expect("an empty file is valid");
//! assert_eq!(defaults.lifecycle.module_grace.as_millis(), 5);
//! let error = operator::read("[lifecycle]\nkey_margin_ms = 7000\n").unwrap_err();
//! assert_eq!(error.to_string(), "2: lifecycle.key_margin_ms: 7000 is out of range: 0 to 1000 is wanted");
//! ```
#![forbid(unsafe_code)]

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// Maximum number of pools.
pub const MAX_POOLS: usize = 32;

/// Settings of the operators' file, with defaults for absent keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    pub lifecycle: Lifecycle,
    pub allowances: Allowances,
    /// Absent: this process is not a planner.
    pub planner: Option<Planner>,
    /// Absent: this process is not a forwarder.
    pub forwarder: Option<Forwarder>,
    /// Absent: this process has no membership view.
    pub fleet: Option<Fleet>,
    /// Absent: no state survives this process.
    pub snapshot: Option<Snapshot>,
    /// `log.format`, "plain" or "json", default plain: plain text, or one JSON object per line with fields.
    pub log: LogFormat,
    /// `[[pool]]`: if absent, all servers form one pool.
    pub pools: Vec<Pool>,
    /// `[[route]]`: if absent, `/api` is routed to the first pool.
    pub routes: Vec<Route>,
}

/// `[[pool]]`: a group of servers; at most 32 pools. A server may be in several pools or in none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// `name`: the name that routes refer to.
    pub name: String,
    /// `zone`, `model`, `group`: selects servers with one of these values; if absent, any.
    pub zones: Vec<String>,
    pub models: Vec<String>,
    pub groups: Vec<u32>,
}

/// `[[route]]`: a match on requests and the pools that receive them (docs/design/route.md defines the precedence).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// Line of the file, counted from 1.
    pub line: usize,
    /// `host`: a name, or `*.` and a name; if absent, any.
    pub host: Option<String>,
    /// `prefix`, default `/`: prefix of the path, matched by whole segments.
    pub prefix: String,
    /// `method`, `class`: matches one of these values; if absent, any.
    pub methods: Vec<String>,
    pub classes: Vec<String>,
    /// `header`: headers that must all be present with these values.
    pub headers: Vec<(String, String)>,
    /// `pool`, or `split`: pool names with their weights, 0 to 1000000.
    pub split: Vec<(String, u32)>,
    /// `rewrite`: replacement for the prefix in the request to a server.
    pub rewrite: Option<String>,
}

/// Output format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Plain,
    Json,
}

/// `[allowances]`: lease parameters, the same for all planners and forwarders of an installation
/// (docs/design/planners.md).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowances {
    /// `seats`, 1 to 4096, default 6: maximum number of forwarders.
    pub seats: u16,
    /// `tick_ms`, 20 to 1000, default 50: interval between two reports of a forwarder.
    pub tick: Duration,
    /// `lease_ms`, 3 ticks to 10000, default 500: TTL of a lease.
    pub lease: Duration,
    /// `loan_ms`, 2 leases to 60000, default 1500: how long a planner still counts a silent forwarder as active.
    pub loan: Duration,
    /// `drift_permille`, 0 to 200, default 10: maximum difference between the rates of two monotonic clocks.
    pub drift_permille: u32,
    /// `version`, 1 to 2, default 2: latest wire protocol version to use; the earlier one is for a rollout.
    pub version: u8,
}

impl Default for Allowances {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Allowances { seats: 6, tick: ms(50), lease: ms(500), loan: ms(1500), drift_permille: 10, version: 2 }
    }
}

/// `[planner]`: this process grants leases and serves no clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planner {
    /// `listen`: address for connections of forwarders.
    pub listen: SocketAddr,
    /// `state`: address that serves `GET /planner/state`.
    pub state: SocketAddr,
    /// `key_file`: file with the shared key, readable only by its owner.
    pub key_file: PathBuf,
    /// `most_customers`, 1 to 10000000, default 200000: maximum number of tracked customers, about 300 bytes each.
    pub max_customers: usize,
}

/// `[forwarder]`: this gateway spends the quota that planners grant it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarder {
    /// `seat`, 0 to seats - 1: unique to this forwarder at any time.
    pub seat: u16,
    /// `planners`: 1 to 16 addresses in order of preference.
    pub planners: Vec<SocketAddr>,
    /// `names`, default none: member names of the planners in the membership view, one for each and in the same order.
    /// With names, planners believed to be alive are asked first.
    pub names: Vec<String>,
    pub key_file: PathBuf,
}

/// `[snapshot]`: this gateway's state is saved for the process that follows (docs/design/recovery.md).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// `folder`: a directory on persistent storage that no other gateway uses.
    pub folder: PathBuf,
    /// `name`, 1 to 64 bytes: name of this gateway, unchanged across restarts. A snapshot of another name is refused.
    pub name: String,
    /// `every_ms`, 200 to 60000, default 1000: interval between snapshots, which bounds what a crash loses.
    pub interval: Duration,
}

/// `[fleet]`: this process takes part in the fleet's membership protocol (docs/design/fleet.md).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// `name`, 1 to 64 bytes: name of this member, unique in the fleet and unchanged across restarts.
    pub name: String,
    /// `zone`, up to 32 bytes, default none: zone that is announced to the other members.
    pub zone: String,
    /// `listen`: a UDP address and port.
    pub listen: SocketAddr,
    /// `advertise`, default `listen`: address at which the other members reach it, through relays and address
    /// translation.
    pub advertise: SocketAddr,
    /// `seeds`: addresses of up to 64 members; the member's own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// `key_file`: file with the shared key, readable only by its owner.
    pub key_file: PathBuf,
    /// `old_key_file`: previous key, still accepted during a key rotation.
    pub old_key_file: Option<PathBuf>,
    /// `period_ms`, 50 to 5000, default 200: interval between two probes, the same at all members.
    pub probe_interval: Duration,
    /// `keep_dead_s`, 10 to 86400, default 600: how long dead members are kept and retried.
    pub dead_retention: Duration,
    /// `subsets`, default false: chooses the servers to keep connections to by the live members.
    pub subsets: bool,
    /// `discovery`, default false: spaces calls to a shared discovery service by the number of live members.
    pub discovery: bool,
    /// `most_members`, 2 to 20000, default 4096: maximum number of members kept, about 300 bytes each.
    pub max_members: usize,
}

/// `[lifecycle]`: timing of the request lifecycle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lifecycle {
    /// `way_back_ms`, 1 to 500, default 20: how long before the client's deadline the final answer is due here.
    pub way_back: Duration,
    /// `module_grace_ms`, 0 to 50, default 5: how long after that the decision module may still determine the outcome.
    pub module_grace: Duration,
    /// `key_margin_ms`, 0 to 1000, default 20: how long before servers forget an idempotency key its last retry is
    /// written.
    pub key_margin: Duration,
    /// `gap_us`, 0 to 10000, default 0: minimum interval between two calls of the decision module; 0 disables the delay.
    pub min_batch_interval: Duration,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Lifecycle {
            way_back: ms(20),
            module_grace: ms(5),
            key_margin: ms(20),
            min_batch_interval: Duration::ZERO,
        }
    }
}

/// The first problem found in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Counted from 1.
    pub line: usize,
    /// Table and name of the key, as far as they can be determined.
    pub key: String,
    /// The value found and the expected one.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let colon = if self.key.is_empty() { "" } else { ": " };
        write!(f, "{}: {}{colon}{}", self.line, self.key, self.message)
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    lifecycle: LifecycleTable,
    allowances: AllowancesTable,
    planner: Option<PlannerTable>,
    forwarder: Option<ForwarderTable>,
    fleet: Option<FleetTable>,
    snapshot: Option<SnapshotTable>,
    log: LogTable,
    pool: Vec<Spanned<PoolTable>>,
    route: Vec<Spanned<RouteTable>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PoolTable {
    name: String,
    #[serde(default)]
    zone: Vec<String>,
    #[serde(default)]
    model: Vec<String>,
    #[serde(default)]
    group: Vec<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteTable {
    host: Option<String>,
    prefix: Option<String>,
    #[serde(default)]
    method: Vec<String>,
    #[serde(default)]
    class: Vec<String>,
    #[serde(default)]
    header: BTreeMap<String, String>,
    pool: Option<String>,
    split: Option<BTreeMap<String, u32>>,
    rewrite: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct LogTable {
    format: LogFormat,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct AllowancesTable {
    seats: Option<Spanned<i64>>,
    tick_ms: Option<Spanned<i64>>,
    lease_ms: Option<Spanned<i64>>,
    loan_ms: Option<Spanned<i64>>,
    drift_permille: Option<Spanned<i64>>,
    version: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannerTable {
    listen: Spanned<String>,
    state: Spanned<String>,
    key_file: PathBuf,
    most_customers: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ForwarderTable {
    seat: Spanned<i64>,
    planners: Spanned<Vec<Spanned<String>>>,
    names: Option<Spanned<Vec<String>>>,
    key_file: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetTable {
    name: Spanned<String>,
    zone: Option<Spanned<String>>,
    listen: Spanned<String>,
    advertise: Option<Spanned<String>>,
    #[serde(default)]
    seeds: Vec<Spanned<String>>,
    key_file: PathBuf,
    old_key_file: Option<PathBuf>,
    period_ms: Option<Spanned<i64>>,
    keep_dead_s: Option<Spanned<i64>>,
    most_members: Option<Spanned<i64>>,
    #[serde(default)]
    subsets: bool,
    #[serde(default)]
    discovery: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotTable {
    folder: PathBuf,
    name: Spanned<String>,
    every_ms: Option<Spanned<i64>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct LifecycleTable {
    way_back_ms: Option<Spanned<i64>>,
    module_grace_ms: Option<Spanned<i64>>,
    key_margin_ms: Option<Spanned<i64>>,
    gap_us: Option<Spanned<i64>>,
}

/// Parses the text of a file.
///
/// # Errors
/// Returns the first [`ConfigError`] found: invalid TOML, an unknown table or key, a wrong type, or a number out of range.
pub fn read(text: &str) -> Result<OperatorConfig, ConfigError> {
    let file: File = toml::from_str(text).map_err(|e| {
        // The error's text may span several lines; the first is sufficient.
        let message = e.message().lines().next().unwrap_or_default().to_string();
        error_at(text, e.span().map_or(0, |s| s.start), message)
    })?;
    let allowances = allowances(text, file.allowances)?;
    let pools = pools(text, file.pool)?;
    let table = file.lifecycle;
    let default = Lifecycle::default();
    let ms = |value: Option<Spanned<i64>>, range, default| milliseconds(text, value, range, default);
    Ok(OperatorConfig {
        lifecycle: Lifecycle {
            way_back: ms(table.way_back_ms, 1..=500, default.way_back)?,
            module_grace: ms(table.module_grace_ms, 0..=50, default.module_grace)?,
            key_margin: ms(table.key_margin_ms, 0..=1000, default.key_margin)?,
            min_batch_interval: Duration::from_micros(
                number(text, table.gap_us, 0..=10_000, 0)?.unsigned_abs(),
            ),
        },
        planner: file.planner.map(|t| planner(text, t)).transpose()?,
        forwarder: file
            .forwarder
            .map(|t| forwarder(text, t, &allowances, file.fleet.is_some()))
            .transpose()?,
        fleet: file.fleet.map(|t| fleet(text, t)).transpose()?,
        snapshot: file.snapshot.map(|t| snapshot(text, t)).transpose()?,
        allowances,
        log: file.log.format,
        routes: file.route.into_iter().map(|t| route(text, t, &pools)).collect::<Result<_, _>>()?,
        pools,
    })
}

fn pools(text: &str, tables: Vec<Spanned<PoolTable>>) -> Result<Vec<Pool>, ConfigError> {
    let mut pools: Vec<Pool> = Vec::new();
    for table in tables {
        let offset = table.span().start;
        let table = table.into_inner();
        if pools.len() == MAX_POOLS {
            return Err(error_at(text, offset, format!("more than {MAX_POOLS} pools")));
        }
        if pools.iter().any(|p| p.name == table.name) {
            return Err(error_at(text, offset, format!("two pools are named {:?}", table.name)));
        }
        pools.push(Pool { name: table.name, zones: table.zone, models: table.model, groups: table.group });
    }
    Ok(pools)
}

fn route(text: &str, table: Spanned<RouteTable>, pools: &[Pool]) -> Result<Route, ConfigError> {
    let offset = table.span().start;
    let table = table.into_inner();
    let fail = |message: String| Err(error_at(text, offset, message));
    let split = match (table.pool, table.split) {
        (Some(pool), None) => vec![(pool, 1)],
        (None, Some(split)) => split.into_iter().collect(),
        _ => return fail("either pool or split is wanted".into()),
    };
    if let Some((name, _)) = split.iter().find(|(name, _)| pools.iter().all(|p| p.name != *name)) {
        return fail(format!("no pool is named {name:?}"));
    }
    Ok(Route {
        line: text.get(..offset).unwrap_or(text).matches('\n').count() + 1,
        host: table.host,
        prefix: table.prefix.unwrap_or_else(|| "/".into()),
        methods: table.method,
        classes: table.class,
        headers: table.header.into_iter().collect(),
        split,
        rewrite: table.rewrite,
    })
}

fn allowances(text: &str, table: AllowancesTable) -> Result<Allowances, ConfigError> {
    let default = Allowances::default();
    let ms = |d: Duration| d.as_millis() as i64;
    let tick = milliseconds(text, table.tick_ms, 20..=1000, default.tick)?;
    let lease = milliseconds(text, table.lease_ms, 3 * ms(tick)..=10_000, default.lease.max(3 * tick))?;
    let loan = milliseconds(text, table.loan_ms, 2 * ms(lease)..=60_000, default.loan.max(3 * lease))?;
    let seats = number(text, table.seats, 1..=4096, default.seats.into())? as u16;
    let drift_permille = number(text, table.drift_permille, 0..=200, default.drift_permille.into())? as u32;
    let version = number(text, table.version, 1..=2, default.version.into())? as u8;
    Ok(Allowances { seats, tick, lease, loan, drift_permille, version })
}

fn planner(text: &str, table: PlannerTable) -> Result<Planner, ConfigError> {
    Ok(Planner {
        listen: address(text, &table.listen)?,
        state: address(text, &table.state)?,
        key_file: table.key_file,
        max_customers: number(text, table.most_customers, 1..=10_000_000, 200_000)? as usize,
    })
}

fn forwarder(
    text: &str,
    table: ForwarderTable,
    allowances: &Allowances,
    has_fleet: bool,
) -> Result<Forwarder, ConfigError> {
    let seat = number(text, Some(table.seat), 0..=i64::from(allowances.seats) - 1, 0)? as u16;
    let planners = table.planners.get_ref();
    if !(1..=16).contains(&planners.len()) {
        let message = format!("{} addresses: 1 to 16 are wanted", planners.len());
        return Err(error_at(text, table.planners.span().start, message));
    }
    let planners: Vec<SocketAddr> = planners.iter().map(|p| address(text, p)).collect::<Result<_, _>>()?;
    if let Some(names) = &table.names {
        let (offset, count, expected) = (names.span().start, names.get_ref().len(), planners.len());
        if !has_fleet {
            return Err(error_at(text, offset, "names: a table [fleet] is wanted".into()));
        }
        if count != expected {
            return Err(error_at(
                text,
                offset,
                format!("{count} names: one for each of {expected} planners is wanted"),
            ));
        }
    }
    let names = table.names.map(Spanned::into_inner).unwrap_or_default();
    Ok(Forwarder { seat, planners, names, key_file: table.key_file })
}

fn printable(
    text: &str,
    value: &Spanned<String>,
    min_len: usize,
    max_len: usize,
) -> Result<String, ConfigError> {
    let len = value.get_ref().len();
    if (min_len..=max_len).contains(&len) && !value.get_ref().contains(char::is_control) {
        return Ok(value.get_ref().clone());
    }
    Err(error_at(
        text,
        value.span().start,
        format!("{len} bytes: {min_len} to {max_len} printable ones are wanted"),
    ))
}

fn snapshot(text: &str, table: SnapshotTable) -> Result<Snapshot, ConfigError> {
    let interval = milliseconds(text, table.every_ms, 200..=60_000, Duration::from_secs(1))?;
    Ok(Snapshot { folder: table.folder, name: printable(text, &table.name, 1, 64)?, interval })
}

fn fleet(text: &str, table: FleetTable) -> Result<Fleet, ConfigError> {
    let printable = |value, min_len, max_len| printable(text, value, min_len, max_len);
    let listen = address(text, &table.listen)?;
    let advertise = table.advertise.as_ref().unwrap_or(&table.listen);
    let advertised = address(text, advertise)?;
    if advertised.ip().is_unspecified() || advertised.port() == 0 {
        let message = format!("{advertised}: nobody is reached there; advertise is wanted");
        return Err(error_at(text, advertise.span().start, message));
    }
    if let Some(excess) = table.seeds.get(64) {
        return Err(error_at(text, excess.span().start, "more than 64 seeds".into()));
    }
    Ok(Fleet {
        name: printable(&table.name, 1, 64)?,
        zone: table.zone.as_ref().map_or(Ok(String::new()), |z| printable(z, 0, 32))?,
        listen,
        advertise: advertised,
        seeds: table.seeds.iter().map(|s| address(text, s)).collect::<Result<_, _>>()?,
        key_file: table.key_file,
        old_key_file: table.old_key_file,
        probe_interval: milliseconds(text, table.period_ms, 50..=5000, Duration::from_millis(200))?,
        dead_retention: Duration::from_secs(
            number(text, table.keep_dead_s, 10..=86_400, 600)?.unsigned_abs(),
        ),
        subsets: table.subsets,
        discovery: table.discovery,
        max_members: number(text, table.most_members, 2..=20_000, 4096)? as usize,
    })
}

fn address(text: &str, value: &Spanned<String>) -> Result<SocketAddr, ConfigError> {
    let invalid = |_| {
        let message = format!("{:?}: an address and port are wanted", value.get_ref());
        error_at(text, value.span().start, message)
    };
    value.get_ref().parse().map_err(invalid)
}

fn number(
    text: &str,
    value: Option<Spanned<i64>>,
    range: RangeInclusive<i64>,
    default: i64,
) -> Result<i64, ConfigError> {
    let Some(value) = value else { return Ok(default) };
    let n = *value.get_ref();
    if range.contains(&n) {
        return Ok(n);
    }
    let message = format!("{n} is out of range: {} to {} is wanted", range.start(), range.end());
    Err(error_at(text, value.span().start, message))
}

fn milliseconds(
    text: &str,
    value: Option<Spanned<i64>>,
    range: RangeInclusive<i64>,
    default: Duration,
) -> Result<Duration, ConfigError> {
    let ms = number(text, value, range, default.as_millis() as i64)?;
    Ok(Duration::from_millis(ms.unsigned_abs()))
}

/// Builds the error for a byte offset: determines the line, the key and its table from the text.
fn error_at(text: &str, offset: usize, message: String) -> ConfigError {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count();
    let mut lines = text.lines();
    let table =
        text.lines().take(line + 1).filter_map(|l| l.trim().strip_prefix('[')?.split(']').next()).last();
    let key = lines.nth(line).and_then(|l| Some(l.split_once('=')?.0.trim()));
    let key = match (table, key) {
        (Some(table), Some(key)) => format!("{table}.{key}"),
        (table, key) => table.or(key).unwrap_or_default().to_string(),
    };
    ConfigError { line: line + 1, key, message }
}

#[cfg(test)]
mod tests;

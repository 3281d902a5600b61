//! The operators' file: every subsystem is a table in it, and what is absent is off. No I/O: the text is handed
//! in.
//!
//! Whatever is wrong with a file is one [`Trouble`], which names the line, the key and what was wanted; nothing
//! of the file takes effect then.
//!
//! ```
//! let defaults = operator::read("").expect("an empty file switches nothing on");
//! assert_eq!(defaults.lifecycle.module_grace.as_millis(), 5);
//! let trouble = operator::read("[lifecycle]\nkey_margin_ms = 7000\n").unwrap_err();
//! assert_eq!(trouble.to_string(), "2: lifecycle.key_margin_ms: 7000 is out of range: 0 to 1000 is wanted");
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

/// The most pools.
pub const MOST_POOLS: usize = 32;

/// What the operators want, with the defaults where they say nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    pub lifecycle: Lifecycle,
    pub allowances: Allowances,
    /// Absent: this process is no planner, or no forwarder.
    pub planner: Option<Planner>,
    pub forwarder: Option<Forwarder>,
    /// Absent: this process keeps no view of the fleet.
    pub fleet: Option<Fleet>,
    /// Absent: nothing is kept over the death of this process.
    pub snapshot: Option<Snapshot>,
    /// `log.format`, "plain" or "json", default plain: words, or one JSON object a line with fields.
    pub log: LogFormat,
    /// `[[pool]]`: absent, all servers are one pool.
    pub pools: Vec<Pool>,
    /// `[[route]]`: absent, `/api` goes to the first pool.
    pub routes: Vec<Route>,
}

/// `[[pool]]`: servers that belong together, up to 32 pools. A server may be in several, or in none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// `name`: what routes call it.
    pub name: String,
    /// `zone`, `model`, `group`: servers with one of these; absent, any.
    pub zones: Vec<String>,
    pub models: Vec<String>,
    pub groups: Vec<u32>,
}

/// `[[route]]`: requests of one kind, and whose they are (docs/design/route.md has the precedence).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// Where it stands in the file.
    pub line: usize,
    /// `host`: a name, or `*.` and a name; absent, any.
    pub host: Option<String>,
    /// `prefix`, default `/`: of the path, by whole segments.
    pub prefix: String,
    /// `method`, `class`: one of these; absent, any.
    pub methods: Vec<String>,
    pub classes: Vec<String>,
    /// `header`: all of these, with these values.
    pub headers: Vec<(String, String)>,
    /// `pool`, or `split`: pools by name with their weights, 0 to 1000000.
    pub split: Vec<(String, u32)>,
    /// `rewrite`: what the prefix becomes on the way to a server.
    pub rewrite: Option<String>,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Plain,
    Json,
}

/// `[allowances]`: the terms that all planners and forwarders of an installation share (docs/design/planners.md).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowances {
    /// `seats`, 1 to 4096, default 6: how many forwarders may exist.
    pub seats: u16,
    /// `tick_ms`, 20 to 1000, default 50: between two reports of a forwarder.
    pub tick: Duration,
    /// `lease_ms`, 3 ticks to 10000, default 500: a lease's life.
    pub lease: Duration,
    /// `loan_ms`, 2 leases to 60000, default 1500: how long a planner counts on a forwarder that is silent.
    pub loan: Duration,
    /// `drift_permille`, 0 to 200, default 10: by how much the rates of two monotonic clocks may differ.
    pub drift_permille: u32,
    /// `version`, 1 to 2, default 2: the latest version of the wire to speak; the earlier one for a roll-out.
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
    /// `listen`: where forwarders connect.
    pub listen: SocketAddr,
    /// `state`: where `GET /planner/state` is answered.
    pub state: SocketAddr,
    /// `key_file`: the shared key; readable by its owner alone.
    pub key_file: PathBuf,
    /// `most_customers`, 1 to 10000000, default 200000: customers kept at a time, some 300 bytes each.
    pub most_customers: usize,
}

/// `[forwarder]`: this gateway spends what planners grant it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarder {
    /// `seat`, 0 to seats - 1: one for each forwarder, never for two at a time.
    pub seat: u16,
    /// `planners`: addresses, the first before the others; 1 to 16.
    pub planners: Vec<SocketAddr>,
    /// `names`, default none: under which names the planners stand in the fleet's view, one for each and in their order;
    /// then those who are believed to live are asked first.
    pub names: Vec<String>,
    pub key_file: PathBuf,
}

/// `[snapshot]`: what this gateway knows is kept for its next life (docs/design/recovery.md).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// `folder`: on a lasting disk, of this gateway's own.
    pub folder: PathBuf,
    /// `name`, 1 to 64 bytes: this gateway's, the same after a restart. Another's snapshot is refused.
    pub name: String,
    /// `every_ms`, 200 to 60000, default 1000: so much is lost at the most.
    pub every: Duration,
}

/// `[fleet]`: this process keeps a view of the fleet with the others (docs/design/fleet.md).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// `name`, 1 to 64 bytes: this member's, unlike any other's and the same after a restart.
    pub name: String,
    /// `zone`, up to 32 bytes, default none: said to the others.
    pub zone: String,
    /// `listen`: a UDP address and port.
    pub listen: SocketAddr,
    /// `advertise`, default `listen`: where the others reach it, through relays and address translation.
    pub advertise: SocketAddr,
    /// `seeds`: addresses of some members, up to 64; its own among them does no harm.
    pub seeds: Vec<SocketAddr>,
    /// `key_file`: the shared key; readable by its owner alone. `old_key_file`: one that is still taken while keys change.
    pub key_file: PathBuf,
    pub old_key_file: Option<PathBuf>,
    /// `period_ms`, 50 to 5000, default 200: between two probes; the same at all.
    pub period: Duration,
    /// `keep_dead_s`, 10 to 86400, default 600: so long the dead are kept and tried.
    pub keep_dead: Duration,
    /// `subsets`, default false: which servers are kept connections to follows who lives.
    pub subsets: bool,
    /// `discovery`, default false: how far apart calls to a shared discovery lie follows how many live.
    pub discovery: bool,
    /// `most_members`, 2 to 20000, default 4096: kept at a time, some 300 bytes each.
    pub most_members: usize,
}

/// `[lifecycle]`: the figures of a request's life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lifecycle {
    /// `way_back_ms`, 1 to 500, default 20: so long before the client's time is up the final answer is due here.
    pub way_back: Duration,
    /// `module_grace_ms`, 0 to 50, default 5: how long past that the decision module may still have the last
    /// word.
    pub module_grace: Duration,
    /// `key_margin_ms`, 0 to 1000, default 20: so long before servers forget a key its last repeat is written.
    pub key_margin: Duration,
    /// `gap_us`, 0 to 10000, default 0: between two calls of the decision module, at the least; 0 is at once.
    pub gap: Duration,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Lifecycle { way_back: ms(20), module_grace: ms(5), key_margin: ms(20), gap: Duration::ZERO }
    }
}

/// What is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// From 1.
    pub line: usize,
    /// Its table and name, as far as they can be told.
    pub key: String,
    /// What was found and what was wanted.
    pub what: String,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let colon = if self.key.is_empty() { "" } else { ": " };
        write!(f, "{}: {}{colon}{}", self.line, self.key, self.what)
    }
}

impl std::error::Error for Trouble {}

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

/// Reads the text of a file.
///
/// # Errors
/// The first [`Trouble`] found: what is no TOML, an unknown table or key, a wrong type, a figure out of range.
pub fn read(text: &str) -> Result<Operator, Trouble> {
    let file: File = toml::from_str(text).map_err(|e| {
        // The error's text may run over lines; the first says it all.
        let what = e.message().lines().next().unwrap_or_default().to_string();
        trouble(text, e.span().map_or(0, |s| s.start), what)
    })?;
    let allowances = allowances(text, file.allowances)?;
    let pools = pools(text, file.pool)?;
    let table = file.lifecycle;
    let default = Lifecycle::default();
    let ms = |value: Option<Spanned<i64>>, range, default| milliseconds(text, value, range, default);
    Ok(Operator {
        lifecycle: Lifecycle {
            way_back: ms(table.way_back_ms, 1..=500, default.way_back)?,
            module_grace: ms(table.module_grace_ms, 0..=50, default.module_grace)?,
            key_margin: ms(table.key_margin_ms, 0..=1000, default.key_margin)?,
            gap: Duration::from_micros(number(text, table.gap_us, 0..=10_000, 0)?.unsigned_abs()),
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

fn pools(text: &str, tables: Vec<Spanned<PoolTable>>) -> Result<Vec<Pool>, Trouble> {
    let mut pools: Vec<Pool> = Vec::new();
    for table in tables {
        let at = table.span().start;
        let t = table.into_inner();
        if pools.len() == MOST_POOLS {
            return Err(trouble(text, at, format!("more than {MOST_POOLS} pools")));
        }
        if pools.iter().any(|p| p.name == t.name) {
            return Err(trouble(text, at, format!("two pools are named {:?}", t.name)));
        }
        pools.push(Pool { name: t.name, zones: t.zone, models: t.model, groups: t.group });
    }
    Ok(pools)
}

fn route(text: &str, table: Spanned<RouteTable>, pools: &[Pool]) -> Result<Route, Trouble> {
    let at = table.span().start;
    let t = table.into_inner();
    let wrong = |what: String| Err(trouble(text, at, what));
    let split = match (t.pool, t.split) {
        (Some(pool), None) => vec![(pool, 1)],
        (None, Some(split)) => split.into_iter().collect(),
        _ => return wrong("either pool or split is wanted".into()),
    };
    if let Some((name, _)) = split.iter().find(|(name, _)| pools.iter().all(|p| p.name != *name)) {
        return wrong(format!("no pool is named {name:?}"));
    }
    Ok(Route {
        line: text.get(..at).unwrap_or(text).matches('\n').count() + 1,
        host: t.host,
        prefix: t.prefix.unwrap_or_else(|| "/".into()),
        methods: t.method,
        classes: t.class,
        headers: t.header.into_iter().collect(),
        split,
        rewrite: t.rewrite,
    })
}

fn allowances(text: &str, table: AllowancesTable) -> Result<Allowances, Trouble> {
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

fn planner(text: &str, table: PlannerTable) -> Result<Planner, Trouble> {
    Ok(Planner {
        listen: address(text, &table.listen)?,
        state: address(text, &table.state)?,
        key_file: table.key_file,
        most_customers: number(text, table.most_customers, 1..=10_000_000, 200_000)? as usize,
    })
}

fn forwarder(
    text: &str,
    table: ForwarderTable,
    terms: &Allowances,
    fleet: bool,
) -> Result<Forwarder, Trouble> {
    let seat = number(text, Some(table.seat), 0..=i64::from(terms.seats) - 1, 0)? as u16;
    let planners = table.planners.get_ref();
    if !(1..=16).contains(&planners.len()) {
        let what = format!("{} addresses: 1 to 16 are wanted", planners.len());
        return Err(trouble(text, table.planners.span().start, what));
    }
    let planners: Vec<SocketAddr> = planners.iter().map(|p| address(text, p)).collect::<Result<_, _>>()?;
    if let Some(names) = &table.names {
        let (at, count, wanted) = (names.span().start, names.get_ref().len(), planners.len());
        if !fleet {
            return Err(trouble(text, at, "names: a table [fleet] is wanted".into()));
        }
        if count != wanted {
            return Err(trouble(
                text,
                at,
                format!("{count} names: one for each of {wanted} planners is wanted"),
            ));
        }
    }
    let names = table.names.map(Spanned::into_inner).unwrap_or_default();
    Ok(Forwarder { seat, planners, names, key_file: table.key_file })
}

fn words(text: &str, value: &Spanned<String>, least: usize, most: usize) -> Result<String, Trouble> {
    let n = value.get_ref().len();
    if (least..=most).contains(&n) && !value.get_ref().contains(char::is_control) {
        return Ok(value.get_ref().clone());
    }
    Err(trouble(text, value.span().start, format!("{n} bytes: {least} to {most} printable ones are wanted")))
}

fn snapshot(text: &str, table: SnapshotTable) -> Result<Snapshot, Trouble> {
    let every = milliseconds(text, table.every_ms, 200..=60_000, Duration::from_secs(1))?;
    Ok(Snapshot { folder: table.folder, name: words(text, &table.name, 1, 64)?, every })
}

fn fleet(text: &str, table: FleetTable) -> Result<Fleet, Trouble> {
    let words = |value, least, most| words(text, value, least, most);
    let listen = address(text, &table.listen)?;
    let advertise = table.advertise.as_ref().unwrap_or(&table.listen);
    let reached = address(text, advertise)?;
    if reached.ip().is_unspecified() || reached.port() == 0 {
        let what = format!("{reached}: nobody is reached there; advertise is wanted");
        return Err(trouble(text, advertise.span().start, what));
    }
    if let Some(more) = table.seeds.get(64) {
        return Err(trouble(text, more.span().start, "more than 64 seeds".into()));
    }
    Ok(Fleet {
        name: words(&table.name, 1, 64)?,
        zone: table.zone.as_ref().map_or(Ok(String::new()), |z| words(z, 0, 32))?,
        listen,
        advertise: reached,
        seeds: table.seeds.iter().map(|s| address(text, s)).collect::<Result<_, _>>()?,
        key_file: table.key_file,
        old_key_file: table.old_key_file,
        period: milliseconds(text, table.period_ms, 50..=5000, Duration::from_millis(200))?,
        keep_dead: Duration::from_secs(number(text, table.keep_dead_s, 10..=86_400, 600)?.unsigned_abs()),
        subsets: table.subsets,
        discovery: table.discovery,
        most_members: number(text, table.most_members, 2..=20_000, 4096)? as usize,
    })
}

fn address(text: &str, value: &Spanned<String>) -> Result<SocketAddr, Trouble> {
    let wrong = |_| {
        let what = format!("{:?}: an address and port are wanted", value.get_ref());
        trouble(text, value.span().start, what)
    };
    value.get_ref().parse().map_err(wrong)
}

fn number(
    text: &str,
    value: Option<Spanned<i64>>,
    range: RangeInclusive<i64>,
    default: i64,
) -> Result<i64, Trouble> {
    let Some(value) = value else { return Ok(default) };
    let n = *value.get_ref();
    if range.contains(&n) {
        return Ok(n);
    }
    let what = format!("{n} is out of range: {} to {} is wanted", range.start(), range.end());
    Err(trouble(text, value.span().start, what))
}

fn milliseconds(
    text: &str,
    value: Option<Spanned<i64>>,
    range: RangeInclusive<i64>,
    default: Duration,
) -> Result<Duration, Trouble> {
    let ms = number(text, value, range, default.as_millis() as i64)?;
    Ok(Duration::from_millis(ms.unsigned_abs()))
}

/// Where that is: the line, and the key with its table, read off the text.
fn trouble(text: &str, at: usize, what: String) -> Trouble {
    let before = text.get(..at).unwrap_or(text);
    let line = before.matches('\n').count();
    let mut lines = text.lines();
    let table =
        text.lines().take(line + 1).filter_map(|l| l.trim().strip_prefix('[')?.split(']').next()).last();
    let key = lines.nth(line).and_then(|l| Some(l.split_once('=')?.0.trim()));
    let key = match (table, key) {
        (Some(table), Some(key)) => format!("{table}.{key}"),
        (table, key) => table.or(key).unwrap_or_default().to_string(),
    };
    Trouble { line: line + 1, key, what }
}

#[cfg(test)]
mod tests;

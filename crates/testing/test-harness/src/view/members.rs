//! Members of the fleet as real processes behind relays, and what they report of each other.

use crate::peers::Discovery;
use crate::planners::Files;
use crate::program::{Program, EXAMPLE};
use crate::udp_relay::{Link, Relays};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::Command;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const MEMBERS: usize = 24;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The members and the network between them.
pub struct Members {
    pub relays: Relays,
    pub running: Vec<Option<Program>>,
    /// Index of the relay that each member uses.
    relay_indices: Vec<usize>,
    /// Index of the one unused relay.
    spare_relay: usize,
    pub files: Files,
    /// Seeds, as written in the table `[fleet]`.
    pub seeds: String,
    /// Key file of each member.
    pub keys: Vec<PathBuf>,
    pub program: PathBuf,
    pub defect: Option<String>,
    pub discovery: Discovery,
    /// Members on the other side of a partition.
    pub partitioned: BTreeSet<usize>,
    /// Members that are suspended with SIGSTOP.
    pub stopped: BTreeSet<usize>,
}

impl Members {
    pub fn new(
        relays: Relays,
        files: Files,
        keys: Vec<PathBuf>,
        (program, defect): (PathBuf, Option<String>),
        discovery: Discovery,
    ) -> Self {
        let seeds: Vec<String> = relays.advertised[..3].iter().map(|a| format!("\"{a}\"")).collect();
        Members {
            relays,
            running: (0..MEMBERS).map(|_| None).collect(),
            relay_indices: (0..MEMBERS).collect(),
            spare_relay: MEMBERS,
            files,
            seeds: seeds.join(", "),
            keys,
            program,
            defect,
            discovery,
            partitioned: BTreeSet::new(),
            stopped: BTreeSet::new(),
        }
    }

    /// Starts a process with this member's name, behind its relay.
    fn spawn_member(&mut self, n: usize) -> Result<Program, String> {
        let relay = self.relay_indices[n];
        let text = format!(
            "[fleet]\nname = \"member-{n}\"\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = \"{}\"\n",
            self.relays.listen_address(relay),
            self.relays.advertised[relay],
            self.seeds,
            self.keys[n].display()
        );
        let file = self.files.add(&format!("member-{n}.toml"), &text, 0o600)?;
        let discovery = self.discovery.address;
        Program::start_member(&self.program, EXAMPLE, discovery, &file, self.defect.as_deref())
    }

    /// Starts a member.
    pub fn start(&mut self, n: usize) -> Result<(), String> {
        self.running[n] = Some(self.spawn_member(n)?);
        Ok(())
    }

    /// Starts another process with this name behind the unused relay. Returns the previous process, if it still runs:
    /// it is no longer a member.
    pub fn start_elsewhere(&mut self, n: usize) -> Result<Option<Program>, String> {
        std::mem::swap(&mut self.relay_indices[n], &mut self.spare_relay);
        let process = self.spawn_member(n)?;
        Ok(self.running[n].replace(process))
    }

    /// Kills a member, if it runs.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut member) = self.running[n].take() {
            member.kill();
        }
    }

    /// Returns the members that run and are not suspended.
    pub fn active(&self) -> Vec<usize> {
        let runs = |n: &usize| self.running[*n].is_some() && !self.stopped.contains(n);
        (0..MEMBERS).filter(runs).collect()
    }

    /// Sets the network faults of every ordered pair of members.
    pub fn links(&self, link: impl Fn(usize, usize) -> Link) {
        let member_behind = |relay| self.relay_indices.iter().position(|p| *p == relay);
        self.relays.set(|a, b| match (member_behind(a), member_behind(b)) {
            (Some(a), Some(b)) => link(a, b),
            _ => Link::default(),
        });
    }

    /// Returns the datagrams and bytes that all members have sent so far.
    pub fn sent(&self) -> (u64, u64) {
        let sent = self.relay_indices.iter().map(|p| self.relays.sent(*p));
        sent.fold((0, 0), |sum, n| (sum.0 + n.0, sum.1 + n.1))
    }

    /// Returns this member's status of the fleet.
    pub fn status(&self, n: usize) -> Option<Value> {
        status(self.running[n].as_ref()?)
    }

    /// Whether the members of each side of the partition see each other, and no others, as alive or suspect.
    pub fn settled(&self) -> bool {
        let active = self.active();
        let (here, there): (Vec<usize>, Vec<usize>) =
            active.iter().partition(|n| !self.partitioned.contains(n));
        [here, there].iter().all(|side| {
            let digests: Option<BTreeSet<String>> = side
                .iter()
                .map(|n| {
                    let status = self.status(*n)?;
                    let living = count(&status, |m| m["state"] == "alive" || m["state"] == "suspect");
                    (living == side.len()).then(|| status["digest"].to_string())
                })
                .collect();
            digests.is_some_and(|d| d.len() <= 1)
        })
    }

    /// Waits until the views are settled. Returns how long that took, or `None` after `most`.
    pub fn until_settled(&self, most: Duration) -> Option<Duration> {
        let began = Instant::now();
        loop {
            if self.settled() {
                return Some(began.elapsed());
            }
            if began.elapsed() > most {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Counts the cases in which a member considers a running member of the same side dead.
    pub fn false_deaths(&self) -> usize {
        let active = self.active();
        let (here, there): (Vec<usize>, Vec<usize>) =
            active.iter().partition(|n| !self.partitioned.contains(n));
        [here, there].iter().map(|side| self.false_deaths_between(side, side)).sum()
    }

    /// Counts the cases in which one of `these` considers one of `those` dead.
    pub fn false_deaths_between(&self, these: &[usize], those: &[usize]) -> usize {
        let names: BTreeSet<String> = those.iter().map(|n| format!("member-{n}")).collect();
        let named = |m: &Value| m["name"].as_str().is_some_and(|n| names.contains(n));
        let false_deaths = |s: &Value| count(s, |m| m["state"] == "dead" && named(m));
        these.iter().filter_map(|n| self.status(*n)).map(|s| false_deaths(&s)).sum()
    }

    /// Returns the sum of the versions of the settled view over all running members.
    pub fn versions(&self) -> u64 {
        let version = |n| self.status(n).and_then(|s| s["settled"]["version"].as_u64());
        self.active().into_iter().filter_map(version).sum()
    }

    /// Returns the datagrams that all running members have dropped.
    pub fn dropped(&self) -> u64 {
        let causes = |n| self.status(n).and_then(|s| s["dropped"].as_object().cloned());
        let sum = |all: serde_json::Map<String, Value>| all.values().filter_map(Value::as_u64).sum::<u64>();
        self.active().into_iter().filter_map(causes).map(sum).sum()
    }

    /// Limits this member to a tenth of a core for this time: it runs for 10 of 100 ms.
    pub fn slow(&self, n: usize, time: Duration) -> Option<JoinHandle<()>> {
        let id = self.running[n].as_ref()?.child.id().to_string();
        Some(thread::spawn(move || {
            let until = Instant::now() + time;
            let signal = |name: &str| drop(Command::new("kill").args([name, id.as_str()]).status());
            while Instant::now() < until {
                signal("-STOP");
                thread::sleep(Duration::from_millis(90));
                signal("-CONT");
                thread::sleep(Duration::from_millis(10));
            }
        }))
    }
}

/// Returns a process's status of the fleet.
pub fn status(member: &Program) -> Option<Value> {
    let (status, body) = member.call("GET /status/fleet", "")?;
    (status == 200).then_some(())?;
    serde_json::from_slice(&body).ok()
}

/// Counts the members in a status for which `predicate` holds.
pub fn count(status: &Value, predicate: impl Fn(&Value) -> bool) -> usize {
    status["members"].as_array().map_or(0, |all| all.iter().filter(|m| predicate(m)).count())
}

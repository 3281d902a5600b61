//! The scenario of the fleet's view: real gateways that find each other through relays, under a schedule of faults
//! drawn from the seed. After each fault: how long until all that can reach each other have one view.

use crate::bed::{Link, Relays};
use crate::peers::{list, Discovery};
use crate::planners::Files;
use crate::program::{locate, Program, EXAMPLE};
use crate::scenario::{Figures, Play, Scenario};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "view",
    about: "24 gateways that keep a view of the fleet, killed, cut off, stopped and brought back: one view each time",
    seconds: 90,
    test_seconds: 20,
    defects: &[
        ("deaf-relay", "one relay never passes anything on: its process can't be reached"),
        ("other-key", "one process has another key"),
        ("never-healed", "a cut stays, and the rig says that it was healed"),
    ],
    run,
};

const MEMBERS: usize = 24;
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// On top of each bound, for 24 processes and their looks on two cores.
const ROOM: Duration = Duration::from_millis(500);
const KEY: &str = "the key of the rig, sixteen and more bytes\n";

struct Bed {
    relays: Relays,
    members: Vec<Option<Program>>,
    files: Vec<PathBuf>,
    program: PathBuf,
    discovery: Discovery,
    /// Who is on the other side of a cut.
    apart: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
}

impl Bed {
    fn start(&mut self, n: usize) -> Result<(), String> {
        let member =
            Program::start_member(&self.program, EXAMPLE, self.discovery.address, Path::new(&self.files[n]))?;
        self.members[n] = Some(member);
        Ok(())
    }

    fn running(&self) -> Vec<usize> {
        let runs = |n: &usize| self.members[*n].is_some() && !self.stopped.contains(n);
        (0..MEMBERS).filter(runs).collect()
    }

    /// What this member says of the fleet.
    fn status(&self, n: usize) -> Option<Value> {
        let (status, body) = self.members[n].as_ref()?.call("GET /status/fleet", "")?;
        (status == 200).then_some(())?;
        serde_json::from_slice(&body).ok()
    }

    /// Whether those of one side see each other and nobody else.
    fn settled(&self) -> bool {
        let running = self.running();
        let (here, there): (Vec<usize>, Vec<usize>) = running.iter().partition(|n| !self.apart.contains(n));
        [here, there].iter().all(|side| {
            let digests: Option<BTreeSet<String>> = side
                .iter()
                .map(|n| {
                    let status = self.status(*n)?;
                    let lives = |m: &&Value| m["state"] == "alive" || m["state"] == "suspect";
                    let living = status["members"].as_array()?.iter().filter(lives).count();
                    (living == side.len()).then(|| status["digest"].to_string())
                })
                .collect();
            digests.is_some_and(|d| d.len() <= 1)
        })
    }

    /// How long until that holds; none if it does not within `most`.
    fn until_settled(&self, most: Duration) -> Option<Duration> {
        let began = Instant::now();
        loop {
            if self.settled() {
                return Some(began.elapsed());
            }
            if began.elapsed() > most {
                return None;
            }
            thread::sleep(LOOK_EVERY);
        }
    }

    /// Beliefs in a death of somebody who runs, on this member's side.
    fn wronged(&self) -> usize {
        let running = self.running();
        let name = |n: &usize| format!("member-{n}");
        let names: BTreeSet<String> = running.iter().map(name).collect();
        let dead = |n: &usize| {
            let status = self.status(*n);
            let members = status.as_ref().and_then(|s| s["members"].as_array()).cloned().unwrap_or_default();
            members
                .iter()
                .filter(|m| m["state"] == "dead" && m["name"].as_str().is_some_and(|n| names.contains(n)))
                .count()
        };
        running.iter().map(dead).sum()
    }

    fn kill(&mut self, n: usize) {
        if let Some(mut member) = self.members[n].take() {
            member.kill();
        }
    }
}

/// One fault of the schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Crash(usize),
    SevenInTen,
    Halves,
    OneDirection(usize, usize),
    Loss,
    Stop(usize),
    Leave(usize),
    QuickRestart(usize),
}

/// Each kind once, in an order and at members drawn from the seed.
fn schedule(rng: &mut fastrand::Rng) -> Vec<Fault> {
    let mut one = || rng.usize(3..MEMBERS);
    let mut faults = vec![
        Fault::Crash(one()),
        Fault::SevenInTen,
        Fault::Halves,
        Fault::OneDirection(one(), one()),
        Fault::Loss,
        Fault::Stop(one()),
        Fault::Leave(one()),
        Fault::QuickRestart(one()),
    ];
    rng.shuffle(&mut faults);
    faults
}

/// Times of one kind, in milliseconds, and how many had none within the bound.
#[derive(Default)]
struct Times(Vec<u64>, usize);

struct Run<'a> {
    bed: Bed,
    play: &'a Play,
    rng: fastrand::Rng,
    crash: Times,
    leave: Times,
    wave: Times,
    heal: Times,
    join: Times,
    wronged: usize,
    alone: usize,
}

impl Run<'_> {
    fn time(bed: &Bed, bound: u64, times: &mut Times) {
        match bed.until_settled(Duration::from_millis(bound) + ROOM) {
            Some(took) => times.0.push(took.as_millis() as u64),
            None => {
                times.1 += 1;
                // The next fault begins from one view, if there is one.
                let _ = bed.until_settled(Duration::from_secs(4));
            }
        }
    }

    fn bring_back(&mut self) -> Result<(), String> {
        let gone: Vec<usize> = (0..MEMBERS).filter(|n| self.bed.members[*n].is_none()).collect();
        if gone.is_empty() {
            return Ok(());
        }
        gone.iter().try_for_each(|n| self.bed.start(*n))?;
        Self::time(&self.bed, 1500, &mut self.join);
        Ok(())
    }

    fn fault(&mut self, fault: Fault) -> Result<(), String> {
        match fault {
            Fault::Crash(n) => {
                self.bed.kill(n);
                Self::time(&self.bed, 2500, &mut self.crash);
            }
            Fault::SevenInTen => {
                let killed = self.rng.choose_multiple(0..MEMBERS, MEMBERS * 7 / 10);
                killed.into_iter().for_each(|n| self.bed.kill(n));
                Self::time(&self.bed, 4000, &mut self.wave);
            }
            Fault::Halves => {
                let apart: BTreeSet<usize> =
                    self.rng.choose_multiple(0..MEMBERS, MEMBERS / 2).into_iter().collect();
                let cut = apart.clone();
                self.bed
                    .relays
                    .set(|a, b| Link { silent: cut.contains(&a) != cut.contains(&b), ..Link::default() });
                self.bed.apart = apart;
                thread::sleep(Duration::from_secs(6));
                // One dies on each side meanwhile.
                let of =
                    |bed: &Bed, there| bed.running().into_iter().find(|n| bed.apart.contains(n) == there);
                for side in [false, true] {
                    if let Some(n) = of(&self.bed, side) {
                        self.bed.kill(n);
                    }
                }
                Self::time(&self.bed, 4000, &mut self.crash);
                if !self.play.has("never-healed") {
                    self.bed.relays.set(|_, _| Link::default());
                }
                self.bed.apart.clear();
                Self::time(&self.bed, 4000, &mut self.heal);
                self.bed.relays.set(|_, _| Link::default());
            }
            Fault::OneDirection(a, b) => {
                self.bed.relays.set(|from, to| Link { silent: (from, to) == (a, b), ..Link::default() });
                self.watch(Duration::from_secs(4));
                self.bed.relays.set(|_, _| Link::default());
            }
            Fault::Loss => {
                let delay = Duration::from_millis(10);
                self.bed.relays.set(|_, _| Link { loss: 0.2, doubled: 0.05, delay, silent: false });
                self.watch(Duration::from_secs(6));
                self.bed.relays.set(|_, _| Link::default());
            }
            Fault::Stop(n) => {
                let Some(member) = &self.bed.members[n] else { return Ok(()) };
                member.signal("-STOP");
                self.bed.stopped.insert(n);
                thread::sleep(Duration::from_secs(5));
                if let Some(member) = &self.bed.members[n] {
                    member.signal("-CONT");
                }
                self.bed.stopped.remove(&n);
                // It must not believe what it believed.
                let status = self.bed.status(n);
                let members =
                    status.as_ref().and_then(|s| s["members"].as_array()).cloned().unwrap_or_default();
                self.alone += members.iter().filter(|m| m["state"] == "dead").count();
                Self::time(&self.bed, 4000, &mut self.heal);
            }
            Fault::Leave(n) => {
                if let Some(member) = &mut self.bed.members[n] {
                    member.drain(Duration::from_secs(6))?;
                }
                self.bed.members[n] = None;
                Self::time(&self.bed, 1500, &mut self.leave);
            }
            Fault::QuickRestart(n) => {
                self.bed.kill(n);
                self.bed.start(n)?;
                Self::time(&self.bed, 2500, &mut self.join);
            }
        }
        self.bring_back()
    }

    /// For so long nobody who runs may be held for dead.
    fn watch(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.wronged += self.bed.wronged();
            thread::sleep(Duration::from_millis(200));
        }
    }
}

fn run(play: &Play) -> Result<Figures, String> {
    let program = locate()?;
    let mut files = Files(Vec::new());
    let key = files.add("fleet.key", KEY, 0o600)?;
    let other = files.add("other.key", "another key, sixteen and more bytes\n", 0o600)?;
    let relays = Relays::new(MEMBERS, play.seed)?;
    let seeds = relays.advertised[..3].iter().fold(String::new(), |mut text, a| {
        let _ = write!(text, "\"{a}\", ");
        text
    });
    let mut operators = Vec::new();
    for n in 0..MEMBERS {
        let key = if play.has("other-key") && n == 5 { &other } else { &key };
        let text = format!(
            "[fleet]\nname = \"member-{n}\"\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{seeds}]\nkey_file = \"{}\"\n",
            relays.place(n),
            relays.advertised[n],
            key.display()
        );
        operators.push(files.add(&format!("member-{n}.toml"), &text, 0o600)?);
    }
    let discovery = Discovery::new(list(1, true, &[]));
    let members = (0..MEMBERS).map(|_| None).collect();
    let (apart, stopped) = Default::default();
    let bed = Bed { relays, members, files: operators, program, discovery, apart, stopped };
    let rng = fastrand::Rng::with_seed(play.seed);
    let (crash, leave, wave, heal, join) = Default::default();
    let mut run = Run { bed, play, rng, crash, leave, wave, heal, join, wronged: 0, alone: 0 };
    if play.has("deaf-relay") {
        run.bed.relays.set(|_, to| Link { silent: to == 5, ..Link::default() });
    }
    let until = Instant::now() + play.time;
    run.bring_back()?;
    // At rest: what each sends.
    let sum =
        |bed: &Bed| (0..MEMBERS).map(|n| bed.relays.sent(n)).fold((0, 0), |s, n| (s.0 + n.0, s.1 + n.1));
    let (before, began) = (sum(&run.bed), Instant::now());
    thread::sleep(Duration::from_secs(3));
    let (after, took) = (sum(&run.bed), began.elapsed().as_secs_f64() * MEMBERS as f64);
    let mut played = Vec::new();
    if play.has("never-healed") {
        run.fault(Fault::Halves)?;
    }
    while Instant::now() < until && run.crash.1 + run.leave.1 + run.wave.1 + run.heal.1 + run.join.1 == 0 {
        for fault in schedule(&mut run.rng) {
            if Instant::now() < until {
                played.push(format!("{fault:?}"));
                run.fault(fault)?;
            }
        }
    }
    let mut f = Figures::default();
    f.set("schedule", played);
    for (name, times) in [
        ("leave", &mut run.leave),
        ("crash", &mut run.crash),
        ("seven_in_ten", &mut run.wave),
        ("heal", &mut run.heal),
        ("join", &mut run.join),
    ] {
        times.0.sort_unstable();
        f.set(&format!("{name}_ms"), times.0.clone());
        f.none(&format!("{name}_not_in_time"), times.1);
    }
    f.none("healthy_held_for_dead", run.wronged);
    f.none("blamed_by_who_was_stopped", run.alone);
    f.set("datagrams_a_second", ((after.0 - before.0) as f64 / took * 10.0).round() / 10.0);
    f.set("bytes_a_second", ((after.1 - before.1) as f64 / took).round());
    Ok(f)
}

//! Scenario of the fleet's view: real gateways that find each other through relays, under a schedule of faults drawn
//! from the seed. After each fault it measures how long it takes until all that can reach each other have the same
//! view.

pub mod faults;
mod members;

use crate::peers::{list, Discovery};
use crate::planners::Files;
use crate::program::{locate, locate_with_defects};
use crate::scenario::{Figures, Play, Scenario};
use crate::udp_relay::{Link, Relays};
use faults::{schedule, Fault};
use members::{count, Members, MEMBERS};
use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

pub const SCENARIO: Scenario = Scenario {
    name: "view",
    about: "24 gateways that keep a view of the fleet, killed, cut off, stopped and restarted: each time they agree on one view",
    seconds: 120,
    test_seconds: 20,
    defects: &[
        ("deaf-relay", "one relay forwards nothing: its process cannot be reached"),
        ("other-key", "one process has another key"),
        ("never-healed", "a partition stays, and the harness takes it for healed"),
    ],
    program_defects: PLANTED,
    run,
};

/// Defects of the program itself: name, and a schedule of faults that exposes it. They need a separate build.
pub const PLANTED: &[(&str, &str)] = &[
    ("refutation-left-out", "loss, one-direction 5 6, stop 7"),
    ("dead-never-tried", "halves 1"),
    ("old-life-believed", "quick-restart 5, twice 6, quick-restart 7, moved 8, quick-restart 9"),
    ("dead-believed-at-once", "halves 1, halves 2, halves 3"),
    ("alone-buries-all", "cut-off 5"),
    ("leave-not-told", "leave 5"),
    ("settled-at-once", "seven-in-ten 1"),
    ("replay-taken", "replay"),
    // Not a defect: plain SWIM, for comparison.
    ("plain-swim", "loss, halves 1"),
];

/// Added to each bound, since 24 processes and the polls of their status share two cores.
const SCHEDULING_SLACK: Duration = Duration::from_millis(500);
const KEY: &str = "the key of the rig, sixteen and more bytes\n";
/// Members that an isolated member may consider dead: those that it was probing before it noticed its isolation.
const MAX_DEAD_WHEN_ISOLATED: usize = 2;
/// Versions of the view that one wave of failures may cause at each survivor.
const MAX_VERSIONS_PER_WAVE: f64 = 3.0;

/// Convergence times after one kind of fault, in milliseconds, and how many were not within the bound.
#[derive(Default)]
struct ConvergenceTimes(Vec<u64>, usize);

/// State and results of a run.
struct Run<'a> {
    members: Members,
    play: &'a Play,
    crash: ConvergenceTimes,
    leave: ConvergenceTimes,
    wave: ConvergenceTimes,
    heal: ConvergenceTimes,
    join: ConvergenceTimes,
    /// Cases in which a running member was considered dead.
    false_deaths: usize,
    /// Members considered dead by a member that itself had been stopped or isolated.
    deaths_after_isolation: usize,
    /// Members that did not report that they were isolated, or that another process had taken their name.
    unreported_states: usize,
    /// Number of replayed datagrams, and of those that were dropped.
    replayed: (usize, u64),
    versions: Option<f64>,
}

impl Run<'_> {
    /// Waits until the views agree, and records the time or that it exceeded the bound.
    fn await_convergence(members: &Members, bound: u64, times: &mut ConvergenceTimes) {
        match members.until_settled(Duration::from_millis(bound) + SCHEDULING_SLACK) {
            Some(took) => times.0.push(took.as_millis() as u64),
            None => {
                times.1 += 1;
                // Wait again, so that the next fault begins with agreeing views if possible.
                let _ = members.until_settled(Duration::from_secs(4));
            }
        }
    }

    /// Starts the members that do not run, and waits until they have joined.
    fn restart_missing(&mut self) -> Result<(), String> {
        let gone: Vec<usize> = (0..MEMBERS).filter(|n| self.members.running[*n].is_none()).collect();
        if gone.is_empty() {
            return Ok(());
        }
        gone.iter().try_for_each(|n| self.members.start(*n))?;
        Self::await_convergence(&self.members, 1500, &mut self.join);
        Ok(())
    }

    /// Injects one fault, measures its effects, and restores the links and the members.
    fn inject(&mut self, fault: Fault) -> Result<(), String> {
        let members = &mut self.members;
        match fault {
            Fault::Crash(n) => {
                members.kill(n);
                Self::await_convergence(members, 2500, &mut self.crash);
            }
            Fault::SevenInTen { draw } => {
                let mut rng = fastrand::Rng::with_seed(draw);
                let killed = rng.choose_multiple(0..MEMBERS, MEMBERS * 7 / 10);
                killed.into_iter().for_each(|n| members.kill(n));
                let before = members.versions();
                Self::await_convergence(members, 4000, &mut self.wave);
                // Wait until the changes have become a settled version.
                thread::sleep(Duration::from_millis(2500));
                let made = (members.versions() - before) as f64 / members.active().len() as f64;
                self.versions = Some(self.versions.unwrap_or(0.0).max((made * 100.0).round() / 100.0));
            }
            Fault::Halves { draw } => self.partition_halves(&mut fastrand::Rng::with_seed(draw)),
            Fault::OneDirection(a, b) => {
                members.links(|from, to| Link { silent: (from, to) == (a, b), ..Link::default() });
                self.count_false_deaths(Duration::from_secs(4));
            }
            Fault::Loss => {
                let delay = Duration::from_millis(10);
                members.links(|_, _| Link { loss: 0.2, duplicated: 0.05, delay, silent: false });
                self.count_false_deaths(Duration::from_secs(6));
            }
            Fault::Stop(n) => {
                let Some(member) = &members.running[n] else { return Ok(()) };
                member.signal("-STOP");
                members.stopped.insert(n);
                thread::sleep(Duration::from_secs(5));
                member.signal("-CONT");
                members.stopped.remove(&n);
                // It must not consider the others dead on the strength of its own pause.
                self.deaths_after_isolation +=
                    members.status(n).map_or(0, |s| count(&s, |m| m["state"] == "dead"));
                Self::await_convergence(members, 4000, &mut self.heal);
            }
            Fault::Leave(n) => {
                let Some(mut leaves) = members.running[n].take() else { return Ok(()) };
                // It keeps serving its clients for a while; the others must know of its leave at once.
                leaves.signal("-TERM");
                Self::await_convergence(members, 1000, &mut self.leave);
                leaves.drain(Duration::from_secs(6))?;
            }
            Fault::QuickRestart(n) => {
                members.kill(n);
                members.start(n)?;
                Self::await_convergence(members, 2500, &mut self.join);
            }
            Fault::CutOff(n) => {
                members.links(|a, b| Link { silent: (a == n) != (b == n), ..Link::default() });
                thread::sleep(Duration::from_secs(8));
                let status =
                    members.status(n).ok_or("a member that is cut off did not answer its operator")?;
                self.unreported_states += usize::from(status["cut_off_ms"].is_null());
                let dead = count(&status, |m| m["state"] == "dead");
                self.deaths_after_isolation += if dead > MAX_DEAD_WHEN_ISOLATED { dead } else { 0 };
                members.links(|_, _| Link::default());
                Self::await_convergence(members, 4000, &mut self.heal);
            }
            Fault::Slow(n) => {
                let slow = members.slow(n, Duration::from_secs(5));
                self.count_false_deaths(Duration::from_secs(5));
                if let Some(slow) = slow {
                    slow.join().map_err(|_| "the thread that suspends and resumes it panicked")?;
                }
            }
            Fault::Moved(n) => {
                members.kill(n);
                drop(members.start_elsewhere(n)?);
                Self::await_convergence(members, 2500, &mut self.join);
            }
            Fault::Twice(n) => {
                let before = members.start_elsewhere(n)?;
                Self::await_convergence(members, 2500, &mut self.join);
                // It hears of the later process when it pings another member, if not before.
                thread::sleep(Duration::from_millis(500));
                let said = before.as_ref().and_then(members::status);
                self.unreported_states += usize::from(said.is_none_or(|s| s["superseded"] != true));
            }
            Fault::Replay => {
                let dropped = members.dropped();
                let played =
                    members.relays.replay(Duration::from_secs(1)).map_err(|e| format!("replay: {e}"))?;
                thread::sleep(Duration::from_millis(200));
                self.replayed.0 += played;
                self.replayed.1 += members.dropped() - dropped;
                // The views must be unchanged, so there is nothing to wait for.
                self.false_deaths += usize::from(!members.settled());
            }
        }
        self.members.links(|_, _| Link::default());
        self.restart_missing()
    }

    /// Partitions the members into halves for 6 s, kills one on each side, and heals the partition.
    fn partition_halves(&mut self, rng: &mut fastrand::Rng) {
        let members = &mut self.members;
        let partitioned: BTreeSet<usize> = rng.choose_multiple(0..MEMBERS, MEMBERS / 2).into_iter().collect();
        members.links(|a, b| Link {
            silent: partitioned.contains(&a) != partitioned.contains(&b),
            ..Link::default()
        });
        members.partitioned = partitioned;
        thread::sleep(Duration::from_secs(6));
        // One member is killed on each side meanwhile.
        for side in [false, true] {
            let member = members.active().into_iter().find(|n| members.partitioned.contains(n) == side);
            if let Some(n) = member {
                members.kill(n);
            }
        }
        Self::await_convergence(members, 4000, &mut self.crash);
        if !self.play.has("never-healed") {
            members.links(|_, _| Link::default());
        }
        let (here, there): (Vec<usize>, Vec<usize>) =
            members.active().iter().partition(|n| !members.partitioned.contains(n));
        members.partitioned.clear();
        // No member may take the other half's view of members on its own side.
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(2) && !members.settled() {
            self.false_deaths +=
                members.false_deaths_between(&here, &here) + members.false_deaths_between(&there, &there);
        }
        let before = began.elapsed().as_millis() as u64;
        Self::await_convergence(members, 4000 - before.min(4000), &mut self.heal);
        if let Some(last) = self.heal.0.last_mut() {
            *last += before;
        }
    }

    /// Counts, for this time, the cases in which a running member is considered dead.
    fn count_false_deaths(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.false_deaths += self.members.false_deaths();
            thread::sleep(Duration::from_millis(200));
        }
    }

    fn failed(&self) -> bool {
        let late = self.crash.1 + self.leave.1 + self.wave.1 + self.heal.1 + self.join.1;
        late + self.false_deaths + self.deaths_after_isolation + self.unreported_states > 0
    }
}

/// Returns the schedule of faults to run in place of drawn ones, if there is one, and the defect to plant in the
/// program.
fn requested(play: &Play) -> Result<(Option<Vec<Fault>>, Option<String>), String> {
    let planted = play.defect.as_deref().and_then(|d| PLANTED.iter().find(|(name, _)| d == *name));
    let shown = planted.map(|(_, schedule)| *schedule);
    let schedule = play.schedule.as_deref().or(shown).map(faults::read).transpose()?;
    Ok((schedule, planted.map(|(name, _)| (*name).to_string())))
}

fn run(play: &Play) -> Result<Figures, String> {
    let (requested_schedule, defect) = requested(play)?;
    let program = if defect.is_some() { locate_with_defects()? } else { locate()? };
    let mut files = Files(Vec::new());
    let key = files.add("fleet.key", KEY, 0o600)?;
    let other = files.add("other.key", "another key, sixteen and more bytes\n", 0o600)?;
    let relays = Relays::new(MEMBERS + 1, play.seed)?;
    let key = |n| if play.has("other-key") && n == 5 { other.clone() } else { key.clone() };
    let keys = (0..MEMBERS).map(key).collect();
    let discovery = Discovery::new(list(1, true, &[]));
    let members = Members::new(relays, files, keys, (program, defect), discovery);
    let (crash, leave, wave, heal, join) = Default::default();
    let (false_deaths, deaths_after_isolation, unreported_states, replayed, versions) = Default::default();
    let mut run = Run {
        members,
        play,
        crash,
        leave,
        wave,
        heal,
        join,
        false_deaths,
        deaths_after_isolation,
        unreported_states,
        replayed,
        versions,
    };
    if play.has("deaf-relay") {
        run.members.links(|_, to| Link { silent: to == 5, ..Link::default() });
    }
    let until = Instant::now() + play.time;
    run.restart_missing()?;
    // Measure what each member sends without faults.
    let (before, began) = (run.members.sent(), Instant::now());
    thread::sleep(Duration::from_secs(3));
    let (after, took) = (run.members.sent(), began.elapsed().as_secs_f64() * MEMBERS as f64);
    let mut played = Vec::new();
    if play.has("never-healed") {
        run.inject(Fault::Halves { draw: play.seed })?;
    }
    let mut rng = fastrand::Rng::with_seed(play.seed);
    while !run.failed() && Instant::now() < until {
        for fault in requested_schedule.clone().unwrap_or_else(|| schedule(&mut rng)) {
            if requested_schedule.is_some() || Instant::now() < until {
                played.push(fault.to_string());
                run.inject(fault)?;
            }
        }
        if requested_schedule.is_some() {
            break;
        }
    }
    let mut f = Figures::default();
    f.set("schedule", played.join(", "));
    for (name, times) in [
        ("leave", &mut run.leave),
        ("crash", &mut run.crash),
        ("seven_in_ten", &mut run.wave),
        ("heal", &mut run.heal),
        ("join", &mut run.join),
    ] {
        times.0.sort_unstable();
        f.set(&format!("{name}_ms"), times.0.clone());
        f.expect_zero(&format!("{name}_not_in_time"), times.1);
    }
    f.expect_zero("healthy_held_for_dead", run.false_deaths);
    f.expect_zero("blamed_by_who_was_stopped", run.deaths_after_isolation);
    f.expect_zero("states_not_told", run.unreported_states);
    if let Some(versions) = run.versions {
        f.bound("versions_of_a_wave", versions, 1.0, MAX_VERSIONS_PER_WAVE);
    }
    if run.replayed.0 > 0 {
        let share = run.replayed.1 as f64 / run.replayed.0 as f64;
        f.bound("replays_dropped", (share * 1000.0).round() / 1000.0, 0.9, 1.5);
    }
    f.set("datagrams_a_second", ((after.0 - before.0) as f64 / took * 10.0).round() / 10.0);
    f.set("bytes_a_second", ((after.1 - before.1) as f64 / took).round());
    Ok(f)
}

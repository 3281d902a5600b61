//! Case 5: three machines of the core are exchanged for three new ones; after that one more loss ends the core for good. See
//! claim.txt.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// More than catchUpS (4 s) and contactMs (3 s) together.
const STEP: Duration = Duration::from_secs(8);

fn version_of(body: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    Some(text.split("\"configVersion\":\"").nth(1)?.split('"').next()?.to_string())
}

fn main() {
    let trouble = begin();
    let mut system = System::empty(3, "otjikoto-gate", 1500);
    // One machine with a disk in each zone, and one without.
    let old: Vec<usize> = (0..3).map(|zone| system.add_machine(zone, true, true)).collect();
    for zone in 0..3 {
        system.add_machine(zone, false, true);
    }
    let change = |version: u32, base: u32, timeout_ms: u64| {
        let route = Route {
            name: "orders".into(),
            prefix: "/orders/".into(),
            kind: "safe",
            timeout_ms,
            target_ms: 600,
            service: "orders".into(),
            max_attempts: 2,
        };
        configuration(version, base, &[route], &["orders".into()])
    };
    if replace(&system.controls(), &change(1, 0, 1500), Duration::from_secs(15)) != 200 {
        cannot_run("the first configuration is not acknowledged");
    }
    system.after_first_start();
    sleep(Duration::from_secs(4));

    // Planned exchange: a new machine starts first, and the old one of its zone gets SIGTERM later. With trouble, all three
    // new ones start before the first old one leaves.
    let mut new = Vec::new();
    if trouble {
        for zone in 0..3 {
            new.push(system.add_machine(zone, true, false));
            sleep(STEP);
        }
        for n in &old {
            system.retire_machine(*n);
            sleep(STEP);
        }
    } else {
        for (zone, n) in old.iter().enumerate() {
            new.push(system.add_machine(zone, true, false));
            sleep(STEP);
            system.retire_machine(*n);
            sleep(STEP);
        }
    }
    if replace(&system.controls(), &change(2, 1, 1600), Duration::from_secs(8)) != 200 {
        cannot_run("the second configuration is not acknowledged");
    }
    record("calm; 00000002 is acknowledged");
    sleep(Duration::from_secs(4));

    // One machine of the core is lost for good and replaced, as `machineLosses` allows.
    system.lose_machine(new[0]);
    sleep(Duration::from_secs(1));
    new[0] = system.add_machine(0, true, false);
    sleep(Duration::from_secs(12));

    // The operator reads the configuration back, again and again, for over four times contactMs.
    let started = Instant::now();
    let mut read = None;
    while read.is_none() && started.elapsed() < Duration::from_secs(14) {
        let answer = call(&system.controls(), "GET", "/-/Configuration.Read", "", Duration::from_secs(2));
        read = answer.filter(|a| a.status == 200).and_then(|a| version_of(&a.body));
        record(&format!("operator: reads {}", read.as_deref().unwrap_or("nothing")));
    }
    for (n, machine) in system.machines.iter().enumerate().filter(|(_, m)| m.control.is_some()) {
        let kind = if new.contains(&n) { "with a disk" } else { "without a disk" };
        record(&format!("up: {} ({}) {kind}", machine.name, machine.ip));
    }
    record(&format!("read back: {}", read.as_deref().unwrap_or("nothing")));
    // CONFIG: read back at the end, it is older than the newest acknowledged version, or doesn't come.
    finish(i32::from(read.as_deref() != Some("00000002")))
}

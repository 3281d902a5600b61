//! An operator sends a configuration in which one name of one route stands twice, with the same value both times. It also takes a key
//! away and adds a route. The rule CONFIG: either it is invalid and refused with a 4xx, or it is acknowledged and gateways go by it
//! `configApplyMs` later. Afterwards gateways are stopped and started in turn, to see what they go by then.
//! Without the trouble the same configuration has each name once.

use crate::system::*;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const BACKENDS: usize = 3;
const REVOKED_KEY: &str = "s989anu6wsjnbanfqasn";
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const GRACE: Duration = Duration::from_secs(6);
/// Requests of each kind to each gateway.
const PROBES: usize = 4;

fn start_backend(n: usize, record: &Record, system: &System) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (id, controls, record) = (format!("i-{n:08x}"), system.controls(), record.clone());
    let own_id = id.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (own_id.clone(), record.clone());
            spawn(move || while matches!(serve_one(&id, &stream, &record), Ok(true)) {});
        }
    });
    spawn(move || {
        for sequence in 1.. {
            call(&controls, &heartbeat_path(&id), &heartbeat(address, sequence, 0), 8);
            sleep(BEAT);
        }
    });
    Ok(())
}

fn serve_one(id: &str, stream: &TcpStream, record: &Record) -> std::io::Result<bool> {
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    let Some(head) = read_head(&mut reader)? else { return Ok(false) };
    read_body(&mut reader, &head)?;
    let attempt = head.get("attempt-id");
    let answer = if head.get("target-instance") == id {
        record.line(&format!("{id} runs {attempt} ({})", head.start));
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Length: 2\r\n\r\nok"
        )
    } else {
        format!("HTTP/1.1 421 Misdirected\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
    };
    writer.write_all(answer.as_bytes()).map(|()| true)
}

/// The statuses of some requests to each gateway; 0: no answer.
fn ask_all(system: &System, path: &str, key: &str, record: &Record) -> Vec<u16> {
    let mut statuses = Vec::new();
    for n in 0..3 {
        for _ in 0..PROBES {
            let attempt = attempt_id();
            let bytes = request("GET", path, key, &attempt, 2500, &[]);
            let status = exchange(system.front(n), &bytes, ms(2500)).map_or(0, |answer| answer.status);
            record.line(&format!("{attempt} ({path}) sent to gateway {n} gets {status}"));
            statuses.push(status);
        }
    }
    let kind = match key {
        KEY => "the kept key",
        LIMITED_KEY => "the key of a limited tenant",
        _ => "the other key",
    };
    record.line(&format!("{path} with {kind}, by gateway: {:?}", statuses.chunks(PROBES).collect::<Vec<_>>()));
    statuses
}

fn count(statuses: &[u16], wanted: u16) -> usize {
    statuses.iter().filter(|status| **status == wanted).count()
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let mut system = System::start()?;
    let controls = system.controls();
    for n in 0..BACKENDS {
        start_backend(n, record, &system)?;
    }
    let both = Order { keys: &[KEY, REVOKED_KEY], has_new_route: false, repeats_a_name: false };
    if call(&controls, REPLACE_PATH, &configuration(0, 1, &both), 60) != Some(200) {
        return Err("the first configuration was not acknowledged".into());
    }
    (0..3).try_for_each(|n| system.await_ready(n))?;
    // Calm for `contactMs` and a little more.
    sleep(ms(4000));
    let before = ask_all(&system, "/look/order", KEY, record);
    ask_all(&system, "/look/order", REVOKED_KEY, record);
    ask_all(&system, "/look/order", LIMITED_KEY, record);
    let order = Order { keys: &[KEY], has_new_route: true, repeats_a_name: trouble };
    let body = configuration(1, 2, &order);
    record.line(&format!("the operator sends version 2: {body}"));
    let answer = call(&controls, REPLACE_PATH, &body, 60);
    record.line(&format!("version 2 is answered with {answer:?}"));
    let mut is_broken = false;
    match answer {
        Some(200) => {
            sleep(CONFIG_APPLY + ms(3000));
            let with_old_key = ask_all(&system, "/look/order", REVOKED_KEY, record);
            ask_all(&system, "/look/order", LIMITED_KEY, record);
            let on_new_route = ask_all(&system, "/new/order", KEY, record);
            let (old_key_ran, new_route_unknown) = (count(&with_old_key, 200), count(&on_new_route, 404));
            record.line(&format!(
                "5 s after the acknowledgement: {old_key_ran} of {} ran with a dropped key, {new_route_unknown} of {} got \
                 404 though the route is there",
                with_old_key.len(),
                on_new_route.len()
            ));
            if old_key_ran + new_route_unknown > 0 {
                record.line("CONFIG: handled as only version 1 allows");
                is_broken = true;
            }
        }
        Some(400..=499) => record.line("refused: version 1 stands"),
        _ => return Err("version 2 got no clear answer".into()),
    }
    // Planned work, which the verdict does not need: what becomes of gateways that begin anew.
    for n in 0..3 {
        let told = Instant::now();
        system.terminate_gateway(n);
        system.await_gateway_end(n, told + GRACE);
        system.start_gateway(n)?;
        record.line(&format!("gateway {n} was stopped and started again"));
        sleep(ms(4000));
    }
    let after = ask_all(&system, "/look/order", KEY, record);
    let (served_before, served_after) = (count(&before, 200), count(&after, 200));
    record.line(&format!(
        "served before version 2: {served_before} of {}; by gateways that began anew: {served_after} of {}",
        before.len(),
        after.len()
    ));
    if served_before < before.len() {
        return Err("the system did not serve before".into());
    }
    Ok(is_broken)
}

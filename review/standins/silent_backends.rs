//! Gateways are stopped and started in turn (SIGTERM, planned work). Backends are silent for a while in the middle of an exchange:
//! they send the head of an answer and half a second later its body, or they take a payment's head, begin, and read its long body
//! 1.5 s later. The rule LOST: no gateway that was told to end answers 500, 502 or 504 in place of a backend that is at work, or
//! ends the connection. Without the trouble the backends take as long and are not silent.

use crate::system::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const BACKENDS: usize = 6;
const GRACE: Duration = Duration::from_secs(6);
/// Of a lookup, before its answer's head; between head and body.
const LOOKUP_WORK: Duration = Duration::from_millis(100);
const ANSWER_SILENCE: Duration = Duration::from_millis(500);
/// Between a payment's head and its body.
const READ_SILENCE: Duration = Duration::from_millis(1500);
const PAYMENT_BYTES: usize = 400 << 10;
const LOOKUPS: usize = 6;
const PAYMENTS: usize = 2;

/// What a backend has seen of a request.
#[derive(Clone, Copy)]
struct Run {
    began: Instant,
    /// When its work is, or would have been, over.
    ends: Instant,
}

type Runs = Arc<Mutex<BTreeMap<String, Run>>>;

struct Backend {
    id: String,
    record: Record,
    runs: Runs,
    trouble: bool,
}

impl Backend {
    fn serve(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let backend = self.clone();
            spawn(move || while matches!(backend.serve_one(&stream), Ok(true)) {});
        }
    }

    /// One request. Whether another may come on the connection.
    fn serve_one(&self, stream: &TcpStream) -> std::io::Result<bool> {
        let mut reader = BufReader::with_capacity(4096, stream);
        let mut writer = stream;
        let Some(head) = read_head(&mut reader)? else { return Ok(false) };
        let attempt = head.get("attempt-id").to_string();
        if head.get("target-instance") != self.id {
            read_body(&mut reader, &head)?;
            let answer = format!(
                "HTTP/1.1 421 Misdirected\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(answer.as_bytes())?;
            return Ok(true);
        }
        let is_payment = head.start.starts_with("POST");
        let began = Instant::now();
        let takes = if is_payment { READ_SILENCE } else { LOOKUP_WORK + ANSWER_SILENCE };
        lock(&self.runs).entry(attempt.clone()).or_insert(Run { began, ends: began + takes });
        self.record.line(&format!("{} begins {attempt} ({})", self.id, head.start));
        let done = self.work(&mut reader, writer, &head, &attempt, is_payment);
        match &done {
            Ok(()) => self.record.line(&format!("{} has answered {attempt}", self.id)),
            Err(error) => self.record.line(&format!("{} at work on {attempt}: its caller has gone: {error}", self.id)),
        }
        done.map(|()| true)
    }

    fn work(
        &self,
        reader: &mut BufReader<&TcpStream>,
        mut writer: &TcpStream,
        head: &Head,
        attempt: &str,
        is_payment: bool,
    ) -> std::io::Result<()> {
        let body = "x".repeat(400);
        let answer_head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        if is_payment {
            if self.trouble {
                sleep(READ_SILENCE);
                read_body(reader, head)?;
            } else {
                read_body(reader, head)?;
                sleep(READ_SILENCE);
            }
            return writer.write_all(format!("{answer_head}{body}").as_bytes());
        }
        sleep(LOOKUP_WORK);
        if self.trouble {
            writer.write_all(answer_head.as_bytes())?;
            sleep(ANSWER_SILENCE);
            return writer.write_all(body.as_bytes());
        }
        sleep(ANSWER_SILENCE);
        writer.write_all(format!("{answer_head}{body}").as_bytes())
    }
}

fn start_backend(n: usize, record: &Record, runs: &Runs, trouble: bool, controls: &[SocketAddr]) -> Result<(), String> {
    let (listener, address) = listen_with_small_window()?;
    let id = format!("i-{n:08x}");
    let backend = Arc::new(Backend { id: id.clone(), record: record.clone(), runs: runs.clone(), trouble });
    spawn(move || backend.serve(listener));
    let controls = controls.to_vec();
    spawn(move || {
        for sequence in 1.. {
            call(&controls, &heartbeat_path(&id), &heartbeat(address, sequence, 0), 8);
            sleep(BEAT);
        }
    });
    Ok(())
}

/// What became of a client's request.
struct Outcome {
    attempt: String,
    is_payment: bool,
    sent: Instant,
    ended: Instant,
    remaining: Duration,
    /// The status, and whether it bears a backend's stamp; none: the connection ended without a whole answer.
    status: Option<(u16, bool)>,
}

fn ask(front: SocketAddr, is_payment: bool, record: &Record) -> Outcome {
    let attempt = attempt_id();
    let remaining_ms = if is_payment { 3000 } else { 2500 };
    let bytes = if is_payment {
        request("POST", "/pay/confirm", KEY, &attempt, remaining_ms, &vec![b'p'; PAYMENT_BYTES])
    } else {
        request("GET", "/look/order", KEY, &attempt, remaining_ms, &[])
    };
    let sent = Instant::now();
    let answer = exchange(front, &bytes, ms(u64::from(remaining_ms) + 500));
    let status = answer.as_ref().ok().map(|answer| (answer.status, !answer.head.get("server-seal").is_empty()));
    let kind = if is_payment { "payment" } else { "lookup" };
    let said = match &answer {
        Ok(answer) => format!("{} with {} bytes", answer.status, answer.body.len()),
        Err(error) => format!("no answer: {error}"),
    };
    record.line(&format!("{kind} {attempt} sent at {:.3} s gets {said}", record.at(sent)));
    let remaining = ms(u64::from(remaining_ms));
    Outcome { attempt, is_payment, sent, ended: Instant::now(), remaining, status }
}

/// Sends a handful of requests at once on new connections.
fn send_all(front: SocketAddr, record: &Record) -> Vec<std::thread::JoinHandle<Outcome>> {
    let kinds = (0..LOOKUPS).map(|_| false).chain((0..PAYMENTS).map(|_| true));
    kinds
        .map(|is_payment| {
            let record = record.clone();
            spawn(move || ask(front, is_payment, &record))
        })
        .collect()
}

/// Whether a request's end breaks the rule, by what its client and its backend have seen.
fn breaks(outcome: &Outcome, runs: &Runs, told: Instant) -> bool {
    let Some(run) = lock(runs).get(&outcome.attempt).copied() else { return false };
    let ended_by_gateway = match outcome.status {
        Some((status, is_stamped)) => matches!(status, 500 | 502 | 504) && !is_stamped,
        None => true,
    };
    let in_window = outcome.ended >= told && outcome.ended <= told + GRACE + ms(1000);
    let at_work = run.began <= outcome.ended && outcome.ended < run.ends;
    // The backend would have been done in the first half of the grace, and well before the client's deadline and the
    // route's time-out, which is as long.
    let in_time = run.ends < told + GRACE / 2 && run.ends < outcome.sent + outcome.remaining;
    ended_by_gateway && in_window && at_work && in_time
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let mut system = System::start()?;
    let runs = Runs::default();
    let controls = system.controls();
    for n in 0..BACKENDS {
        start_backend(n, record, &runs, trouble, &controls)?;
    }
    if call(&controls, REPLACE_PATH, &first_configuration(), 60) != Some(200) {
        return Err("the first configuration was not acknowledged".into());
    }
    (0..3).try_for_each(|n| system.await_ready(n))?;
    // Calm for `contactMs` and a little more.
    sleep(ms(4000));
    let (mut broken, mut asked, mut served) = ([0, 0], 0, 0);
    for n in 0..3 {
        let front = system.front(n);
        let mut waiting = send_all(front, record);
        sleep(ms(60));
        let told = Instant::now();
        system.terminate_gateway(n);
        record.line(&format!("SIGTERM to gateway {n}"));
        sleep(ms(400));
        // The entry has not missed two readiness checks yet, and passes on new connections.
        waiting.extend(send_all(front, record));
        let outcomes: Vec<Outcome> = waiting.into_iter().filter_map(|thread| thread.join().ok()).collect();
        let ended = system.await_gateway_end(n, told + GRACE);
        record.line(&format!("gateway {n} has ended{}", if ended { "" } else { " by SIGKILL" }));
        for outcome in &outcomes {
            asked += 1;
            served += usize::from(outcome.status.is_some_and(|(status, _)| status == 200));
            if breaks(outcome, &runs, told) {
                broken[usize::from(outcome.is_payment)] += 1;
                let at = record.at(outcome.ended);
                let (status, kind) = (outcome.status, if outcome.is_payment { "payment" } else { "lookup" });
                record.line(&format!("LOST: {kind} {} broken off at {at:.3} s: {status:?}", outcome.attempt));
            }
        }
        system.start_gateway(n)?;
        system.await_ready(n)?;
        sleep(ms(3500));
    }
    let [lookups, payments] = broken;
    record.line(&format!("{asked} asked, {served} served; broken off at work: {lookups} lookups, {payments} payments"));
    if served == 0 && !trouble {
        return Err("nothing was served".into());
    }
    Ok(lookups + payments > 0)
}

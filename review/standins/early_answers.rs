//! A backend answers before it has read a long body, keeps the connection and reads on later. Its answer is longer than what a
//! gateway buffers. The rule LOST: a gateway does not pass a request from a kept connection on to a sound backend and close that
//! connection without an answer, more than three times. Without the trouble the backend reads the body first.

use crate::system::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};

const BACKENDS: usize = 4;
const PAYMENTS: usize = 10;
const PAYMENT_BYTES: usize = 8 << 20;
const ANSWER_BYTES: usize = 300_000;
const WORK_MS: u64 = 50;
const PIECE_BYTES: usize = 30_000;
const PIECE_MS: u64 = 20;

/// How often each payment has run, by the backends' word.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

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
            spawn(move || {
                let mut reader = BufReader::new(&stream);
                while matches!(backend.serve_one(&mut reader, &stream), Ok(true)) {}
            });
        }
    }

    /// One request. Whether another may come on the connection.
    fn serve_one(&self, reader: &mut BufReader<&TcpStream>, mut writer: &TcpStream) -> std::io::Result<bool> {
        let Some(head) = read_head(reader)? else { return Ok(false) };
        let attempt = head.get("attempt-id");
        if head.get("target-instance") != self.id {
            read_body(reader, &head)?;
            let answer = format!(
                "HTTP/1.1 421 Misdirected\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return writer.write_all(answer.as_bytes()).map(|()| true);
        }
        let is_payment = head.start.starts_with("POST");
        let length = if is_payment { ANSWER_BYTES } else { 100 };
        let answer_head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        let answer = [answer_head.as_bytes(), &vec![b'a'; length]].concat();
        if !is_payment {
            return writer.write_all(&answer).map(|()| true);
        }
        *lock(&self.runs).entry(attempt.to_string()).or_default() += 1;
        self.record.line(&format!("{} runs payment {attempt}", self.id));
        if !self.trouble {
            let body = read_body(reader, &head)?;
            sleep(ms(WORK_MS));
            writer.write_all(&answer)?;
            self.record.line(&format!("{} has read {} bytes of {attempt} and answered", self.id, body.len()));
            return Ok(true);
        }
        // The answer goes out in pieces, the body is read between them and behind them.
        let mut body = reader.take(PAYMENT_BYTES as u64);
        for piece in answer.chunks(PIECE_BYTES) {
            if let Err(error) = writer.write_all(piece) {
                self.record.line(&format!("{} writes its answer to {attempt}: {error}", self.id));
                return Err(error);
            }
            std::io::copy(&mut (&mut body).take(2 * PIECE_BYTES as u64), &mut std::io::sink())?;
            sleep(ms(PIECE_MS));
        }
        self.record.line(&format!("{} has written its whole answer to {attempt}", self.id));
        std::io::copy(&mut body, &mut std::io::sink())?;
        let missing = body.limit();
        self.record.line(&format!("{} has read on; {missing} bytes of the body of {attempt} never came", self.id));
        Ok(missing == 0)
    }
}

/// A lookup and then a payment on one kept connection. Whether the payment was answered whole.
fn lookup_and_pay(front: SocketAddr, record: &Record) -> Result<(String, bool), String> {
    let problem = |e: std::io::Error| format!("a lookup failed: {e}");
    let stream = TcpStream::connect_timeout(&front, ms(1000)).map_err(problem)?;
    stream.set_nodelay(true).map_err(problem)?;
    stream.set_read_timeout(Some(ms(3500))).map_err(problem)?;
    let mut reader = BufReader::new(stream.try_clone().map_err(problem)?);
    let mut writer = stream;
    let lookup = request("GET", "/look/order", &attempt_id(), 2500, &[]);
    writer.write_all(&lookup).map_err(problem)?;
    let looked = read_answer(&mut reader).map_err(problem)?;
    if looked.status != 200 {
        return Err(format!("a lookup got {}", looked.status));
    }
    let attempt = attempt_id();
    let bytes = request("POST", "/pay/confirm", &attempt, 3000, &vec![b'p'; PAYMENT_BYTES]);
    record.line(&format!("payment {attempt} is sent to {front} on a kept connection"));
    // It is read while it is written: the answer may come early.
    let writing = spawn(move || writer.write_all(&bytes));
    let answer = read_answer(&mut reader);
    let said = match &answer {
        Ok(answer) => format!("{} with {} bytes", answer.status, answer.body.len()),
        Err(error) => format!("no whole answer, the connection ends: {error}"),
    };
    record.line(&format!("payment {attempt} gets {said}"));
    drop(reader);
    let _ = writing.join();
    Ok((attempt, answer.is_ok()))
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let system = System::start()?;
    let (runs, controls) = (Runs::default(), system.controls());
    for n in 0..BACKENDS {
        let (listener, address) = listen_with_small_window()?;
        let id = format!("i-{n:08x}");
        let backend = Arc::new(Backend { id: id.clone(), record: record.clone(), runs: runs.clone(), trouble });
        spawn(move || backend.serve(listener));
        let controls = controls.clone();
        spawn(move || {
            for sequence in 1.. {
                call(&controls, &heartbeat_path(&id), &heartbeat(address, sequence, 0), 8);
                sleep(BEAT);
            }
        });
    }
    if call(&controls, "/-/Configuration.Replace", &configuration(0, 1), 60) != Some(200) {
        return Err("the first configuration was not acknowledged".into());
    }
    (0..3).try_for_each(|n| system.await_ready(n))?;
    // Calm for `contactMs` and a little more.
    sleep(ms(4000));
    let mut lost = [0; 3];
    for n in 0..3 * PAYMENTS {
        let (attempt, answered) = lookup_and_pay(system.front(n % 3), record)?;
        let has_run = lock(&runs).contains_key(&attempt);
        if has_run && !answered {
            lost[n % 3] += 1;
            record.line(&format!("LOST: payment {attempt} has run, and gateway {} closed without an answer", n % 3));
        }
        sleep(ms(200));
    }
    record.line(&format!("{PAYMENTS} payments at each gateway; closed without an answer: {lost:?}"));
    Ok(lost.iter().any(|count| *count > 3))
}

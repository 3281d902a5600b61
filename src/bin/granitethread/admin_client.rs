//! Commands that query a running gateway at its admin address.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Returns the JSON body of `GET path` at that address.
fn get(address: SocketAddr, path: &str) -> Result<Value, String> {
    let io_error = |e: std::io::Error| format!("{address}: {e}");
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(io_error)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(io_error)?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")
        .map_err(io_error)?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer).map_err(io_error)?;
    let (head, body) =
        answer.split_once("\r\n\r\n").ok_or_else(|| format!("{address}: incomplete answer"))?;
    let body: Value = serde_json::from_str(body).map_err(|e| format!("{address}: {e}"))?;
    if head.starts_with("HTTP/1.1 200") {
        return Ok(body);
    }
    Err(format!(
        "{address}: {}",
        body["error"].as_str().unwrap_or(head.lines().next().unwrap_or("no answer"))
    ))
}

/// Runs `granitethread fleet status`.
pub fn fleet_status(address: SocketAddr, as_json: bool) -> Result<(), String> {
    let status = get(address, "/status/fleet")?;
    // A closed pipe at the reader is not an error of this command.
    let _ =
        std::io::stdout().write_all(if as_json { format!("{status}\n") } else { table(&status) }.as_bytes());
    Ok(())
}

fn table(status: &Value) -> String {
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), String::from);
    let mut lines = String::new();
    let mut line = |cells: [String; 7]| {
        let [name, state, age, health, role, zone, address] = cells;
        lines.push_str(&format!("{name:24} {state:8} {age:>10} {health:>6} {role:8} {zone:8} {address}\n"));
    };
    line(["member", "state", "for ms", "health", "role", "zone", "address"].map(String::from));
    for member in status["members"].as_array().into_iter().flatten() {
        line(["name", "state", "for_ms", "health", "role", "zone", "address"].map(|key| text(&member[key])));
    }
    let settled = &status["settled"];
    lines.push_str(&format!(
        "digest {}; settled version {} with {} members, {} ms old\n",
        text(&status["digest"]),
        settled["version"],
        settled["members"],
        settled["age_ms"]
    ));
    if !status["cut_off_ms"].is_null() {
        lines.push_str(&format!(
            "CUT OFF for {} ms: its view of the other members is out of date\n",
            status["cut_off_ms"]
        ));
    }
    if status["superseded"] == true {
        lines.push_str("SUPERSEDED: another process started later under this name\n");
    }
    if status["joined"] == false {
        lines.push_str("ALONE: no seed has answered yet\n");
    }
    lines
}

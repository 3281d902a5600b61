//! Commands that ask a running gateway at its second address.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(5);
/// The longest answer that is read.
const LONGEST: u64 = 16 << 20;

/// What `GET path` there says.
fn get(at: SocketAddr, path: &str) -> Result<Value, String> {
    let wrong = |e: std::io::Error| format!("{at}: {e}");
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(wrong)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(wrong)?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n").map_err(wrong)?;
    let mut answer = String::new();
    stream.take(LONGEST).read_to_string(&mut answer).map_err(wrong)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(|| format!("{at}: no whole answer"))?;
    let body: Value = serde_json::from_str(body).map_err(|e| format!("{at}: {e}"))?;
    if head.starts_with("HTTP/1.1 200") {
        return Ok(body);
    }
    Err(format!("{at}: {}", body["error"].as_str().unwrap_or(head.lines().next().unwrap_or("no answer"))))
}

/// `granitethread fleet status`.
pub fn fleet(at: SocketAddr, as_json: bool) -> Result<(), String> {
    let status = get(at, "/status/fleet")?;
    // A reader that goes away is no trouble of ours.
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
    for m in status["members"].as_array().into_iter().flatten() {
        line(["name", "state", "for_ms", "health", "role", "zone", "address"].map(|key| text(&m[key])));
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
        lines.push_str(&format!("CUT OFF for {} ms: what it says of others is old\n", status["cut_off_ms"]));
    }
    if status["superseded"] == true {
        lines.push_str("SUPERSEDED: another process began later under this name\n");
    }
    if status["joined"] == false {
        lines.push_str("ALONE: no seed has answered yet\n");
    }
    lines
}

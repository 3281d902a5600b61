//! Messages of the wire, read into events and written from actions.

use granitehub::{Action, Allowance, AttemptEnd, Ending, Event, Health, Load, Node, Request, Scope};
use serde_json::Value;
use std::fmt::Write;

/// A message: its name, then its values by place.
pub struct Message<'a> {
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Message<'a> {
    pub fn new(value: &'a Value) -> Result<Self, String> {
        let values = value.as_array().ok_or("an array is wanted")?;
        let name = values.first().and_then(Value::as_str).ok_or("it begins with no name")?;
        Ok(Message { name, values })
    }

    fn entry(value: &'a Value) -> Result<Self, String> {
        let values = value.as_array().ok_or("nodes_list: an entry is no array")?;
        Ok(Message { name: "Fleet entry", values })
    }

    pub fn value(&self, at: usize) -> &'a Value {
        self.values.get(at).unwrap_or(&Value::Null)
    }

    fn wanted<T>(&self, got: Option<T>, at: usize, key: &str, kind: &str) -> Result<T, String> {
        got.ok_or_else(|| format!("{}: {key} is {}: {kind} is wanted", self.name, self.value(at)))
    }

    pub fn whole(&self, at: usize, key: &str) -> Result<u64, String> {
        self.wanted(self.value(at).as_u64(), at, key, "a whole number of zero or more")
    }

    /// A whole number that may be left out.
    fn whole_or(&self, at: usize, key: &str, absent: u64) -> Result<u64, String> {
        if self.value(at).is_null() {
            return Ok(absent);
        }
        self.whole(at, key)
    }

    fn number(&self, at: usize, key: &str) -> Result<f64, String> {
        let got = self.value(at).as_f64().filter(|v| *v >= 0.0);
        self.wanted(got, at, key, "a number of zero or more")
    }

    fn number_or(&self, at: usize, key: &str, absent: f64) -> Result<f64, String> {
        if self.value(at).is_null() {
            return Ok(absent);
        }
        self.number(at, key)
    }

    fn text(&self, at: usize, key: &str) -> Result<&'a str, String> {
        self.wanted(self.value(at).as_str(), at, key, "text")
    }

    fn flag(&self, at: usize, key: &str) -> Result<bool, String> {
        self.wanted(self.value(at).as_bool(), at, key, "true or false")
    }

    fn id(&self, at: usize) -> Result<u64, String> {
        let text = self.text(at, "corr")?;
        let hex = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let got = if hex { u64::from_str_radix(text, 16).ok() } else { None };
        self.wanted(got, at, "corr", "an id of 16 hex digits")
    }

    fn ending(&self, at: usize) -> Result<Ending, String> {
        let got = match self.text(at, "ending")? {
            "pass" => Some(Ending::Success),
            "fault" => Some(Ending::Failure),
            "no_room" => Some(Ending::Overloaded),
            "too_slow" => Some(Ending::TimedOut),
            "no_route" => Some(Ending::Unreachable),
            "cut" => Some(Ending::Interrupted),
            "undone" => Some(Ending::Cancelled),
            "stale_send" => Some(Ending::Stale),
            _ => None,
        };
        self.wanted(got, at, "ending", "an outcome")
    }

    fn load(&self, at: usize) -> Result<Option<Load>, String> {
        let value = self.value(at);
        if value.is_null() {
            return Ok(None);
        }
        let report = self.wanted(value.as_object(), at, "usage", "an object")?;
        let get = |key: &str| report.get(key).and_then(Value::as_f64);
        Ok(Some(Load { inflight: get("inflight"), queue: get("queue"), latency_ms: get("latency_ms") }))
    }
}

/// The event that a message tells; none for messages that are not known.
pub fn event(m: &Message) -> Result<Option<Event>, String> {
    Ok(Some(match m.name {
        "Fleet" => {
            let scope = match m.text(3, "scope")? {
                "D" => Scope::Changes,
                "F" => Scope::Full,
                "C" => Scope::Cached,
                "X" => Scope::Failed,
                other => return Err(format!("Fleet: scope is {other:?}: D, F, C or X is wanted")),
            };
            let none = Vec::new();
            let list = match m.value(4) {
                Value::Null => &none,
                value => m.wanted(value.as_array(), 4, "nodes_list", "an array")?,
            };
            let nodes = list.iter().map(node).collect::<Result<_, String>>()?;
            Event::Fleet { seq: m.whole_or(2, "seq_no", 0)?, scope, nodes }
        }
        "NewRequest" => Event::Request(Request {
            id: m.id(2)?,
            class: m.whole(3, "grade")? as usize,
            plan: m.whole(4, "tariff")? as usize,
            customer: m.text(5, "account")?.into(),
            deadline: m.whole(6, "deadline")?,
            units: m.number_or(7, "size_units", 1.0)?,
            spread: m.number_or(8, "entry_points", 1.0)?.max(1.0) as u32,
            repeat: m.whole_or(10, "attrs", 0)? & 2 != 0,
            pool: 0,
            allowance: Allowance::Unknown,
        }),
        "CancelledByClient" => Event::ClientLeft { id: m.id(2)? },
        "AttemptEnd" => Event::AttemptEnd(AttemptEnd {
            id: m.id(2)?,
            settled: m.number_or(3, "settled", 0.0)?,
            last: m.flag(4, "last")?,
            metered: match m.whole_or(5, "metered", 0)? {
                0 => None,
                told => Some((told - 1) as f64 / 100.0),
            },
            elapsed: m.whole(6, "elapsed")?,
            ending: m.ending(7)?,
            attempt: m.whole(8, "copy")? as u32,
            server: m.text(9, "backend")?.into(),
            load: m.load(10)?,
        }),
        "TickDue" => Event::Timer { token: m.whole(2, "ctx")? },
        "Flowing" => Event::Streaming { id: m.id(2)?, attempt: m.whole(3, "copy")? as u32 },
        "Tallied" => Event::Counted {
            name: m.whole(2, "slot_name")?,
            ending: m.ending(3)?,
            level: m.value(4).as_f64().unwrap_or(0.0),
        },
        "Probed" => {
            Event::Probed { server: m.text(2, "backend")?.into(), ending: m.ending(3)?, load: m.load(5)? }
        }
        "Datagram" => {
            Event::Peer { from: m.whole(2, "neighbour")? as u32, bytes: m.text(3, "octets")?.to_string() }
        }
        _ => return Ok(None),
    }))
}

fn node(value: &Value) -> Result<Node, String> {
    let e = Message::entry(value)?;
    let health = match e.text(4, "health")? {
        "up" => Health::Up,
        "draining" => Health::Draining,
        "removed" => Health::Removed,
        other => return Err(format!("Fleet entry: health is {other:?}: up, draining or removed is wanted")),
    };
    Ok(Node {
        name: e.text(0, "backend")?.into(),
        pools: 1,
        zone: e.whole_or(1, "hall", 0)? as u32,
        cell: e.whole_or(3, "pod", 0)? as u32,
        health,
        rating: e.number_or(5, "rating", 1.0)?,
        since: e.whole_or(6, "since", 0)?,
    })
}

/// Writes one action for one instance.
pub fn action(instance: u64, action: &Action, to: &mut String) {
    let done = match action {
        Action::Send { id, server, attempt_deadline } => {
            let server = Value::from(server.as_ref());
            write!(to, "[\"Send\",{instance},\"{id:016x}\",{server},{attempt_deadline}]")
        }
        Action::Reject { id, advice } => write!(to, "[\"Reject\",{instance},\"{id:016x}\",{advice}]"),
        Action::Fail { id } => write!(to, "[\"Fail\",{instance},\"{id:016x}\"]"),
        Action::Cancel { id, attempt } => write!(to, "[\"CallOff\",{instance},\"{id:016x}\",{attempt}]"),
        Action::Timer { token, at } => write!(to, "[\"NotifyMe\",{instance},{token},{at}]"),
        Action::Subscribe { on } => write!(to, "[\"StreamChanges\",{instance},{on}]"),
    };
    done.expect("writing to a string");
}

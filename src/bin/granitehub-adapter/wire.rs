//! Messages of the simulator's protocol: parses events and writes actions.

use granitehub::{Action, Allowance, AttemptEnd, Ending, Event, Health, Load, Node, Request, Scope};
use serde_json::Value;
use std::fmt::Write;

/// A message: a JSON array of its name and positional values.
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

    pub fn value(&self, index: usize) -> &'a Value {
        self.values.get(index).unwrap_or(&Value::Null)
    }

    fn expect<T>(&self, parsed: Option<T>, index: usize, key: &str, kind: &str) -> Result<T, String> {
        parsed.ok_or_else(|| format!("{}: {key} is {}: {kind} is wanted", self.name, self.value(index)))
    }

    pub fn unsigned(&self, index: usize, key: &str) -> Result<u64, String> {
        self.expect(self.value(index).as_u64(), index, key, "a whole number of zero or more")
    }

    /// Returns an unsigned integer, or the default if the value is null or missing.
    fn unsigned_or(&self, index: usize, key: &str, default: u64) -> Result<u64, String> {
        if self.value(index).is_null() {
            return Ok(default);
        }
        self.unsigned(index, key)
    }

    fn number(&self, index: usize, key: &str) -> Result<f64, String> {
        let parsed = self.value(index).as_f64().filter(|v| *v >= 0.0);
        self.expect(parsed, index, key, "a number of zero or more")
    }

    fn number_or(&self, index: usize, key: &str, default: f64) -> Result<f64, String> {
        if self.value(index).is_null() {
            return Ok(default);
        }
        self.number(index, key)
    }

    fn text(&self, index: usize, key: &str) -> Result<&'a str, String> {
        self.expect(self.value(index).as_str(), index, key, "text")
    }

    fn boolean(&self, index: usize, key: &str) -> Result<bool, String> {
        self.expect(self.value(index).as_bool(), index, key, "true or false")
    }

    fn id(&self, index: usize) -> Result<u64, String> {
        let text = self.text(index, "corr")?;
        let is_hex = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let parsed = if is_hex { u64::from_str_radix(text, 16).ok() } else { None };
        self.expect(parsed, index, "corr", "an id of 16 hex digits")
    }

    fn ending(&self, index: usize) -> Result<Ending, String> {
        let parsed = match self.text(index, "ending")? {
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
        self.expect(parsed, index, "ending", "an outcome")
    }

    fn load(&self, index: usize) -> Result<Option<Load>, String> {
        let value = self.value(index);
        if value.is_null() {
            return Ok(None);
        }
        let report = self.expect(value.as_object(), index, "usage", "an object")?;
        let field = |key: &str| report.get(key).and_then(Value::as_f64);
        Ok(Some(Load { inflight: field("inflight"), queue: field("queue"), latency_ms: field("latency_ms") }))
    }
}

/// Converts a message to an event; none for an unknown message.
pub fn event(message: &Message) -> Result<Option<Event>, String> {
    Ok(Some(match message.name {
        "Fleet" => {
            let scope = match message.text(3, "scope")? {
                "D" => Scope::Changes,
                "F" => Scope::Full,
                "C" => Scope::Cached,
                "X" => Scope::Failed,
                other => return Err(format!("Fleet: scope is {other:?}: D, F, C or X is wanted")),
            };
            let empty = Vec::new();
            let list = match message.value(4) {
                Value::Null => &empty,
                value => message.expect(value.as_array(), 4, "nodes_list", "an array")?,
            };
            let nodes = list.iter().map(node).collect::<Result<_, String>>()?;
            Event::Fleet { seq: message.unsigned_or(2, "seq_no", 0)?, scope, nodes }
        }
        "NewRequest" => Event::Request(Request {
            id: message.id(2)?,
            class: message.unsigned(3, "grade")? as usize,
            plan: message.unsigned(4, "tariff")? as usize,
            customer: message.text(5, "account")?.into(),
            deadline: message.unsigned(6, "deadline")?,
            units: message.number_or(7, "size_units", 1.0)?,
            spread: message.number_or(8, "entry_points", 1.0)?.max(1.0) as u32,
            repeat: message.unsigned_or(10, "attrs", 0)? & 2 != 0,
            pool: 0,
            allowance: Allowance::Unknown,
        }),
        "CancelledByClient" => Event::ClientLeft { id: message.id(2)? },
        "AttemptEnd" => Event::AttemptEnd(AttemptEnd {
            id: message.id(2)?,
            settled: message.number_or(3, "settled", 0.0)?,
            last: message.boolean(4, "last")?,
            metered: match message.unsigned_or(5, "metered", 0)? {
                0 => None,
                percent_plus_one => Some((percent_plus_one - 1) as f64 / 100.0),
            },
            elapsed: message.unsigned(6, "elapsed")?,
            ending: message.ending(7)?,
            attempt: message.unsigned(8, "copy")? as u32,
            server: message.text(9, "backend")?.into(),
            load: message.load(10)?,
        }),
        "TickDue" => Event::Timer { token: message.unsigned(2, "ctx")? },
        "Flowing" => Event::Streaming { id: message.id(2)?, attempt: message.unsigned(3, "copy")? as u32 },
        "Tallied" => Event::Counted {
            name: message.unsigned(2, "slot_name")?,
            ending: message.ending(3)?,
            level: message.value(4).as_f64().unwrap_or(0.0),
        },
        "Probed" => Event::Probed {
            server: message.text(2, "backend")?.into(),
            ending: message.ending(3)?,
            load: message.load(5)?,
        },
        "Datagram" => Event::Peer {
            from: message.unsigned(2, "neighbour")? as u32,
            bytes: message.text(3, "octets")?.to_string(),
        },
        _ => return Ok(None),
    }))
}

fn node(value: &Value) -> Result<Node, String> {
    let entry = Message::entry(value)?;
    let health = match entry.text(4, "health")? {
        "up" => Health::Up,
        "draining" => Health::Draining,
        "removed" => Health::Removed,
        other => return Err(format!("Fleet entry: health is {other:?}: up, draining or removed is wanted")),
    };
    Ok(Node {
        name: entry.text(0, "backend")?.into(),
        pools: 1,
        zone: entry.unsigned_or(1, "hall", 0)? as u32,
        cell: entry.unsigned_or(3, "pod", 0)? as u32,
        health,
        rating: entry.number_or(5, "rating", 1.0)?,
        since: entry.unsigned_or(6, "since", 0)?,
    })
}

/// Appends one action of an instance to the reply.
pub fn action(instance: u64, action: &Action, reply: &mut String) {
    let result = match action {
        Action::Send { id, server, attempt_deadline } => {
            let server = Value::from(server.as_ref());
            write!(reply, "[\"Send\",{instance},\"{id:016x}\",{server},{attempt_deadline}]")
        }
        Action::Reject { id, advice } => write!(reply, "[\"Reject\",{instance},\"{id:016x}\",{advice}]"),
        Action::Fail { id } => write!(reply, "[\"Fail\",{instance},\"{id:016x}\"]"),
        Action::Cancel { id, attempt } => write!(reply, "[\"CallOff\",{instance},\"{id:016x}\",{attempt}]"),
        Action::Timer { token, at } => write!(reply, "[\"NotifyMe\",{instance},{token},{at}]"),
        Action::Subscribe { on } => write!(reply, "[\"StreamChanges\",{instance},{on}]"),
    };
    result.expect("writing to a string");
}

//! Runs the decision module on the platform simulator's protocol: reads one batch of messages per line and writes one reply
//! per batch. It makes no decisions of its own.

mod wire;

use granitehub::{Action, Event, Gateway};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let stdout = io::stdout().lock();
    match run(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("granitehub-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The independent module of one gateway instance, and its events of the current batch.
struct Instance {
    gateway: Gateway,
    events: Vec<Event>,
}

fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let (mut bytes, mut reply, mut actions) = (Vec::new(), String::new(), Vec::new());
    for line in 1u64.. {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(|e| format!("line {line}: {e}"))? == 0 {
            break;
        }
        let text = std::str::from_utf8(&bytes).map_err(|e| format!("line {line}: {e}"))?;
        if text.trim().is_empty() {
            continue;
        }
        reply.clear();
        handle_batch(text, &mut instances, &mut actions, &mut reply)
            .map_err(|e| format!("line {line}: {e}"))?;
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("reply: {e}"))?;
    }
    Ok(())
}

/// Applies one batch of messages and appends the resulting actions to the reply.
fn handle_batch(
    text: &str,
    instances: &mut BTreeMap<u64, Instance>,
    actions: &mut Vec<Action>,
    reply: &mut String,
) -> Result<(), String> {
    let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let now = value.get("sim_time").and_then(Value::as_u64).ok_or("sim_time: a time is wanted")?;
    let input = value.get("input").and_then(Value::as_array).ok_or("input: an array is wanted")?;
    for (index, message) in input.iter().enumerate() {
        let in_message = |e: String| format!("message {}: {e}", index + 1);
        let message = wire::Message::new(message).map_err(in_message)?;
        match message.name {
            "Begin" => {
                let seed = message.unsigned(2, "rng_seed").map_err(in_message)?;
                let settings = granitehub::settings::read(message.value(3))
                    .map_err(|e| in_message(format!("Begin: env: {e}")))?;
                let gateway =
                    Gateway::new(settings, seed, now).map_err(|e| in_message(format!("Begin: env: {e}")))?;
                instances.insert(
                    message.unsigned(1, "gateway_id").map_err(in_message)?,
                    Instance { gateway, events: Vec::new() },
                );
            }
            "Exit" => {
                instances.remove(&message.unsigned(1, "gateway_id").map_err(in_message)?);
            }
            _ => {
                if let Some(event) = wire::event(&message).map_err(in_message)? {
                    let id = message.unsigned(1, "gateway_id").map_err(in_message)?;
                    if let Some(instance) = instances.get_mut(&id) {
                        instance.events.push(event);
                    }
                }
            }
        }
    }
    reply.push_str("{\"do\":[");
    for (id, instance) in instances.iter_mut().filter(|(_, i)| !i.events.is_empty()) {
        instance.gateway.handle(now, std::mem::take(&mut instance.events), actions);
        for action in actions.drain(..) {
            if !reply.ends_with('[') {
                reply.push(',');
            }
            wire::action(*id, &action, reply);
        }
    }
    reply.push_str("]}\n");
    Ok(())
}

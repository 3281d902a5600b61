//! Answers in words and as JSON.

use messages::{Query, QueryAnswer, QueryResponse, TrialReport};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A prompter that has not known of a majority for so long, in ms, may tell what is old.
const FRESH_MS: u64 = 1000;

pub fn json(told: &[QueryResponse], missing: &[IpAddr]) -> String {
    let missing = missing.iter().map(|ip| serde_json::json!({"by": ip, "reached": false}).to_string());
    let told = told.iter().map(|t| serde_json::to_string(t).unwrap_or_default());
    told.chain(missing).collect::<Vec<_>>().join("\n")
}

fn freshness(t: &QueryResponse) -> String {
    match t.quorum_contact_ms {
        Some(ms) if ms <= FRESH_MS => format!("a majority {ms} ms ago"),
        Some(ms) => format!("CUT OFF: a majority {ms} ms ago, what follows may be old"),
        None => "CUT OFF: no majority since it began, what follows may be old".into(),
    }
}

/// Whose word counts most: the one who knew of a majority last.
fn freshest(told: &[QueryResponse]) -> &QueryResponse {
    told.iter().min_by_key(|t| t.quorum_contact_ms.unwrap_or(u64::MAX)).expect("somebody was reached")
}

pub fn words(query: Query, told: &[QueryResponse], missing: &[IpAddr]) -> String {
    let mut out = String::new();
    let mut line = |text: String| {
        out.push_str(&text);
        out.push('\n');
    };
    for ip in missing {
        line(format!("{ip}: NOT REACHED"));
    }
    match query {
        Query::Status => told.iter().for_each(|t| {
            line(format!("{} ({}), {}", t.node, t.zone, freshness(t)));
            let QueryAnswer::Status { id, term, leader: holder, voters, configuration, backends, draining: leaving, gateways, followers, .. } =
                &t.answer
            else {
                return;
            };
            let holder = holder.as_deref().unwrap_or("nobody");
            line(format!("  {id}: term {term}, held by {holder}; voters {}", voters.join(", ")));
            let which = configuration.map_or("none".into(), |(v, place)| format!("{v:08x} at {place}"));
            line(format!(
                "  configuration {which}; {backends} backends, {leaving} leaving; {gateways} gateways, {} follow it",
                followers.len()
            ));
        }),
        Query::Backends => {
            let t = freshest(told);
            line(format!("by {}, {}", t.node, freshness(t)));
            if let QueryAnswer::Backends(all) = &t.answer {
                for (f, leaving) in all {
                    let state = if *leaving { "leaving" } else { "ready" };
                    line(format!(
                        "  {:14} {:16} {:22} {:14} {:8} {} slots, {}",
                        f.instance, f.service, f.address, f.zone, state, f.slots, f.version
                    ));
                }
            }
        }
        Query::Gateways => {
            let mut follows: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
            let mut missed: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
            let mut all = BTreeSet::new();
            for t in told {
                if let QueryAnswer::Gateways(gateways) = &t.answer {
                    for (name, here, missed_by) in gateways {
                        all.insert(name.as_str());
                        if *here {
                            follows.entry(name).or_default().push(&t.node);
                        }
                        missed.entry(name).or_default().extend(missed_by.iter().map(String::as_str));
                    }
                }
            }
            line(format!("by {}, {}", freshest(told).node, freshness(freshest(told))));
            for name in all {
                let whom = follows.get(name).map_or("nobody who was reached".into(), |by| by.join(", "));
                let by = missed.get(name).map_or(0, BTreeSet::len);
                let missed = if by == 0 { String::new() } else { format!("; {by} gateways miss it") };
                line(format!("  {name:28} follows {whom}{missed}"));
            }
        }
        Query::Trials => {
            // The keeper knows what the others don't.
            let keeps = |t: &&QueryResponse| matches!(&t.answer, QueryAnswer::Trials(all) if all.iter().any(|t| t.throttle.is_some()));
            let t = told.iter().find(keeps).unwrap_or(freshest(told));
            line(format!("by {}, {}", t.node, freshness(t)));
            if let QueryAnswer::Trials(all) = &t.answer {
                all.iter().for_each(|trial| trial_lines(trial, &mut line));
            }
        }
        Query::Configuration => {
            let t = freshest(told);
            line(format!("by {}, {}", t.node, freshness(t)));
            if let QueryAnswer::Configuration(text) = &t.answer {
                line(text.clone().unwrap_or_else(|| "none".into()));
            }
        }
    }
    out.trim_end().to_string()
}

fn trial_lines(t: &TrialReport, line: &mut impl FnMut(String)) {
    let ends = humantime::format_rfc3339_seconds(
        std::time::UNIX_EPOCH + std::time::Duration::from_millis(t.ends_at),
    );
    let over = if t.expired { "over" } else { "under way" };
    let now = match t.throttle {
        None => "whether it is slowed is not known here".into(),
        Some((slow, changes)) => {
            let now = if slow { "slowed" } else { "at full speed" };
            changes.map_or(now.to_string(), |ms| format!("{now}, changes in {ms} ms"))
        }
    };
    line(format!(
        "  {:20} ends {ends}, {over}; {now}; then {}/s, waits {} ms",
        t.tenant, t.rate, t.max_wait_ms
    ));
    for (name, ago, waiting, waited) in &t.gateways {
        line(format!("    {name:26} {waiting} wait, of late for {waited} ms; said {ago} ms ago"));
    }
}

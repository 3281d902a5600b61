//! Formats the answers of the control nodes as text and as JSON.

use crate::query_client::QueryResult;
use messages::{Query, QueryAnswer, QueryResponse, TrialReport};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

/// A node whose last contact with a quorum is longer ago than this may report outdated state.
const MAX_QUORUM_CONTACT_AGE_MS: u64 = 1000;

/// Formats one JSON object per line: the responses, then the unreached nodes.
pub fn json(result: &QueryResult) -> String {
    let unreached = result.unreached.iter();
    let unreached = unreached.map(|ip| serde_json::json!({"by": ip, "reached": false}).to_string());
    let responses = result.responses.iter().map(|r| serde_json::to_string(r).unwrap_or_default());
    responses.chain(unreached).collect::<Vec<_>>().join("\n")
}

/// Formats the answers as lines of text. If one node's answer is sufficient, the node with the most recent quorum contact
/// provides it.
///
/// # Panics
/// Panics if no node responded.
pub fn text(query: Query, result: &QueryResult) -> String {
    let responses = &result.responses;
    let mut lines: Vec<String> = result.unreached.iter().map(|ip| format!("{ip}: NOT REACHED")).collect();
    match query {
        Query::Status => lines.extend(responses.iter().flat_map(status_lines)),
        Query::Backends => lines.extend(backend_lines(freshest(responses))),
        Query::Gateways => lines.extend(gateway_lines(responses)),
        Query::Trials => lines.extend(trial_lines(responses)),
        Query::Configuration => lines.extend(configuration_lines(freshest(responses))),
    }
    lines.join("\n").trim_end().to_string()
}

/// Returns the response of the node with the most recent quorum contact.
fn freshest(responses: &[QueryResponse]) -> &QueryResponse {
    let age = |response: &&QueryResponse| response.quorum_contact_ms.unwrap_or(u64::MAX);
    responses.iter().min_by_key(age).expect("a node responded")
}

fn freshness(response: &QueryResponse) -> String {
    match response.quorum_contact_ms {
        Some(ms) if ms <= MAX_QUORUM_CONTACT_AGE_MS => format!("a majority {ms} ms ago"),
        Some(ms) => format!("CUT OFF: a majority {ms} ms ago, the following may be out of date"),
        None => "CUT OFF: no majority since it started, the following may be out of date".to_string(),
    }
}

fn source_line(response: &QueryResponse) -> String {
    format!("by {}, {}", response.node, freshness(response))
}

fn status_lines(response: &QueryResponse) -> Vec<String> {
    let mut lines = vec![format!("{} ({}), {}", response.node, response.zone, freshness(response))];
    let QueryAnswer::Status {
        id,
        term,
        leader,
        voters,
        configuration,
        backends,
        draining,
        gateways,
        followers,
        ..
    } = &response.answer
    else {
        return lines;
    };
    let leader = leader.as_deref().unwrap_or("nobody");
    lines.push(format!("  {id}: term {term}, held by {leader}; voters {}", voters.join(", ")));
    let configuration = match configuration {
        Some((version, index)) => format!("{version:08x} at {index}"),
        None => "none".to_string(),
    };
    lines.push(format!(
        "  configuration {configuration}; {backends} backends, {draining} leaving; {gateways} gateways, {} follow it",
        followers.len()
    ));
    lines
}

fn backend_lines(response: &QueryResponse) -> Vec<String> {
    let mut lines = vec![source_line(response)];
    let QueryAnswer::Backends(backends) = &response.answer else { return lines };
    for (heartbeat, is_draining) in backends {
        let state = if *is_draining { "leaving" } else { "ready" };
        lines.push(format!(
            "  {:14} {:16} {:22} {:14} {:8} {} slots, {}",
            heartbeat.instance,
            heartbeat.service,
            heartbeat.address,
            heartbeat.zone,
            state,
            heartbeat.slots,
            heartbeat.version
        ));
    }
    lines
}

fn gateway_lines(responses: &[QueryResponse]) -> Vec<String> {
    let mut followed_nodes: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let mut missed_by: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for response in responses {
        let QueryAnswer::Gateways(gateways) = &response.answer else { continue };
        for (name, follows_this_node, missed_by_gateways) in gateways {
            if *follows_this_node {
                followed_nodes.entry(name).or_default().push(&response.node);
            }
            missed_by.entry(name).or_default().extend(missed_by_gateways.iter().map(String::as_str));
        }
    }
    let mut lines = vec![source_line(freshest(responses))];
    for (name, missed_by) in &missed_by {
        let nodes = match followed_nodes.get(name) {
            Some(nodes) => nodes.join(", "),
            None => "nobody who was reached".to_string(),
        };
        let missed = match missed_by.len() {
            0 => String::new(),
            count => format!("; {count} gateways miss it"),
        };
        lines.push(format!("  {name:28} follows {nodes}{missed}"));
    }
    lines
}

/// Formats the trials as the quota coordinator reports them, since it alone knows how tenants are throttled, or else as the
/// freshest node does.
fn trial_lines(responses: &[QueryResponse]) -> Vec<String> {
    let knows_throttles = |response: &&QueryResponse| match &response.answer {
        QueryAnswer::Trials(trials) => trials.iter().any(|trial| trial.throttle.is_some()),
        _ => false,
    };
    let response = responses.iter().find(knows_throttles).unwrap_or(freshest(responses));
    let mut lines = vec![source_line(response)];
    if let QueryAnswer::Trials(trials) = &response.answer {
        lines.extend(trials.iter().flat_map(trial_report_lines));
    }
    lines
}

fn trial_report_lines(trial: &TrialReport) -> Vec<String> {
    let ends = humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(trial.ends_at));
    let phase = if trial.expired { "over" } else { "under way" };
    let throttle = match trial.throttle {
        None => "whether it is slowed is not known here".to_string(),
        Some((is_throttled, changes_in_ms)) => {
            let state = if is_throttled { "slowed" } else { "at full speed" };
            changes_in_ms.map_or(state.to_string(), |ms| format!("{state}, changes in {ms} ms"))
        }
    };
    let mut lines = vec![format!(
        "  {:20} ends {ends}, {phase}; {throttle}; then {}/s, waits {} ms",
        trial.tenant, trial.rate, trial.max_wait_ms
    )];
    for (name, reported_ms_ago, waiting, waited_ms) in &trial.gateways {
        lines.push(format!(
            "    {name:26} {waiting} wait, of late for {waited_ms} ms; said {reported_ms_ago} ms ago"
        ));
    }
    lines
}

fn configuration_lines(response: &QueryResponse) -> Vec<String> {
    let mut lines = vec![source_line(response)];
    if let QueryAnswer::Configuration(text) = &response.answer {
        lines.push(text.clone().unwrap_or_else(|| "none".to_string()));
    }
    lines
}

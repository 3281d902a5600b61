//! Questions of the shell's, answered from what this prompter knows; each answer says how fresh that is.

use crate::driver::Driver;
use control_node::{ControlNode, Time};
use control_state::ControlState;
use messages::frame::{FrameReader, FrameWriter};
use messages::message::{Query, QueryAnswer, QueryResponse, TrialReport};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use trial::TenantTerms;

/// A shell that asks nothing for so long is let go.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

pub async fn serve(driver: Rc<Driver>, mut reader: FrameReader, mut writer: FrameWriter) {
    while let Ok(Ok(Some(query))) = timeout(IDLE_TIMEOUT, reader.read::<Query>()).await {
        let told = driver.with(|p, now| answer_query(p, now, query));
        if writer.write(&told).await.is_err() {
            return;
        }
    }
}

fn answer_query(prompter: &mut ControlNode, now: Time, query: Query) -> QueryResponse {
    let (terms, touch) = (prompter.terms(), prompter.last_quorum_contact(now));
    let (book, cell, duty) = (prompter.state(), prompter.registry(), prompter.leadership());
    let answer = match query {
        Query::Status => QueryAnswer::Status {
            id: prompter.id().to_string(),
            term: duty.term,
            leader: duty.leader.as_ref().map(ToString::to_string),
            voters: duty.voters.iter().map(|(name, disk)| format!("{name}/{:08x}", *disk as u32)).collect(),
            configuration: book.configuration().map(|c| (c.version, c.index)),
            backends: cell.heartbeats().count(),
            draining: book.draining().count(),
            gateways: book.gateways().len(),
            followers: prompter.subscribers().map(|(name, _)| name.clone()).collect(),
            control_nodes: prompter.known_nodes(),
        },
        Query::Backends => {
            let leaving = |id: &str, draining: bool| draining || book.is_draining(id);
            QueryAnswer::Backends(
                cell.heartbeats().map(|f| (f.clone(), leaving(&f.instance, f.draining))).collect(),
            )
        }
        Query::Gateways => {
            let missed = |g: &String| {
                let by = prompter.subscribers().filter(|(_, missing)| missing.contains(g));
                by.map(|(name, _)| name.clone()).collect()
            };
            let follows = |g: &String| prompter.subscribers().any(|(name, _)| name == g);
            QueryAnswer::Gateways(
                book.gateways().iter().map(|g| (g.clone(), follows(g), missed(g))).collect(),
            )
        }
        Query::Configuration => {
            let text = book.configuration().map(|c| String::from_utf8_lossy(&c.body).into_owned());
            QueryAnswer::Configuration(text)
        }
        Query::Trials => QueryAnswer::Trials(trial_reports(now, &terms, book, &prompter.trial_status(now))),
    };
    let touch_ms = touch.map(|at| now.saturating_sub(at) / 1_000_000);
    QueryResponse {
        node: prompter.id().name.clone(),
        zone: prompter.zone().into(),
        quorum_contact_ms: touch_ms,
        answer,
    }
}

/// What is agreed on, with what the keeper knows, if that is this prompter.
fn trial_reports(
    now: u64,
    terms: &TenantTerms,
    book: &ControlState,
    kept: &[quota::TrialStatus],
) -> Vec<TrialReport> {
    let trial = |e: &trial::TrialEnd| {
        let slow = terms.limits.get(&e.tenant).and_then(|l| l.after_trial)?;
        let kept = kept.iter().find(|k| k.tenant == e.tenant);
        let nodes = kept.map(|k| k.gateways.as_slice()).unwrap_or_default().iter();
        let ms = |t: u64| t / 1_000_000;
        Some(TrialReport {
            tenant: e.tenant.clone(),
            ends_at: e.ends_at,
            expired: book.is_trial_expired(&e.tenant, e.ends_at),
            rate: slow.rate,
            max_wait_ms: ms(slow.max_wait),
            throttle: kept.map(|k| (k.throttled, k.changes_in.map(ms))),
            gateways: nodes
                .map(|n| {
                    (
                        n.name.clone(),
                        ms(now.saturating_sub(n.last_heard)),
                        n.waiting,
                        u64::from(n.waited_us) / 1000,
                    )
                })
                .collect(),
        })
    };
    terms.trial_ends.iter().filter_map(trial).collect()
}

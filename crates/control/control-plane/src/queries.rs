//! Answers queries of `granitethread-ctl` from the local state of this node. Each response carries the time since the last
//! contact with a quorum.

use crate::driver::Driver;
use consensus::NodeId;
use control_node::{ControlNode, Time};
use control_state::ControlState;
use messages::frame::{FrameReader, FrameWriter};
use messages::{Query, QueryAnswer, QueryResponse, TrialReport};
use quota::{GatewayQueue, TrialStatus};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use trial::{TenantTerms, TrialEnd};

/// A connection is closed after this long without a query.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
const NANOS_PER_MILLI: Time = 1_000_000;

/// Answers queries until the connection closes.
pub async fn serve(driver: Rc<Driver>, mut reader: FrameReader, mut writer: FrameWriter) {
    while let Ok(Ok(Some(query))) = timeout(IDLE_TIMEOUT, reader.read::<Query>()).await {
        let response = driver.with(|node, now| answer_query(node, now, query));
        if writer.write(&response).await.is_err() {
            return;
        }
    }
}

fn answer_query(node: &mut ControlNode, now: Time, query: Query) -> QueryResponse {
    let last_contact = node.last_quorum_contact(now);
    let answer = match query {
        Query::Status => status(node),
        Query::Backends => {
            let is_draining = |id: &str| node.state().is_draining(id);
            let backends = node.registry().heartbeats();
            QueryAnswer::Backends(
                backends.map(|b| (b.clone(), b.draining || is_draining(&b.instance))).collect(),
            )
        }
        Query::Gateways => gateways(node),
        Query::Configuration => {
            let body = node.state().configuration().map(|c| String::from_utf8_lossy(&c.body).into_owned());
            QueryAnswer::Configuration(body)
        }
        Query::Trials => {
            let terms = node.terms();
            QueryAnswer::Trials(trial_reports(now, &terms, node.state(), &node.trial_status(now)))
        }
    };
    QueryResponse {
        node: node.id().name.clone(),
        zone: node.zone().into(),
        quorum_contact_ms: last_contact.map(|at| to_millis(now.saturating_sub(at))),
        answer,
    }
}

fn status(node: &ControlNode) -> QueryAnswer {
    let (state, leadership) = (node.state(), node.leadership());
    let voters = leadership.voters.iter();
    let voter_ids =
        voters.map(|(name, disk_id)| NodeId { name: name.clone(), disk_id: *disk_id }.to_string());
    QueryAnswer::Status {
        id: node.id().to_string(),
        term: leadership.term,
        leader: leadership.leader.as_ref().map(ToString::to_string),
        voters: voter_ids.collect(),
        configuration: state.configuration().map(|current| (current.version, current.index)),
        backends: node.registry().heartbeats().count(),
        draining: state.draining().count(),
        gateways: state.gateways().len(),
        followers: node.subscribers().map(|(name, _)| name.clone()).collect(),
        control_nodes: node.known_nodes(),
    }
}

fn gateways(node: &ControlNode) -> QueryAnswer {
    let missed_by = |gateway: &String| {
        let by = node.subscribers().filter(|(_, missing)| missing.contains(gateway));
        by.map(|(name, _)| name.clone()).collect()
    };
    let subscribes = |gateway: &String| node.subscribers().any(|(name, _)| name == gateway);
    let names = node.state().gateways().iter();
    QueryAnswer::Gateways(names.map(|name| (name.clone(), subscribes(name), missed_by(name))).collect())
}

/// Reports on the trials in the replicated state. The status of the quota coordinator is added if this node is the
/// coordinator.
fn trial_reports(
    now: Time,
    terms: &TenantTerms,
    state: &ControlState,
    statuses: &[TrialStatus],
) -> Vec<TrialReport> {
    let report = |end: &TrialEnd| {
        let pace = terms.limits.get(&end.tenant).and_then(|limit| limit.after_trial)?;
        let status = statuses.iter().find(|status| status.tenant == end.tenant);
        let gateways = status.map(|status| status.gateways.as_slice()).unwrap_or_default();
        Some(TrialReport {
            tenant: end.tenant.clone(),
            ends_at: end.ends_at,
            expired: state.is_trial_expired(&end.tenant, end.ends_at),
            rate: pace.rate,
            max_wait_ms: to_millis(pace.max_wait),
            throttle: status.map(|status| (status.throttled, status.changes_in.map(to_millis))),
            gateways: gateways.iter().map(|queue| queue_report(now, queue)).collect(),
        })
    };
    terms.trial_ends.iter().filter_map(report).collect()
}

fn queue_report(now: Time, queue: &GatewayQueue) -> (String, u64, u32, u64) {
    let heard_ms_ago = to_millis(now.saturating_sub(queue.last_heard));
    (queue.name.clone(), heard_ms_ago, queue.waiting, u64::from(queue.mean_wait_us) / 1000)
}

fn to_millis(time: Time) -> u64 {
    time / NANOS_PER_MILLI
}

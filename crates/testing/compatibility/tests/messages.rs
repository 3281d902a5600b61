//! Messages between processes of the system: `rmp-serde` writes an enum's variants by name and a struct's fields by
//! position.

use change_log::Offset;
use compatibility::Golden;
use consensus::{
    AcceptedProposal, Ballot, BootstrapMessage, Entry, EntryPayload, LogPosition, Message, MessageBody,
    NodeId, PreviousEntry, TransferContent, VoterSet,
};
use control_state::{ConfigurationChunk, TransferHeader};
use messages::{
    ControlMessage, FleetChange, FleetSnapshot, GatewayMessage, GatewayUpdate, Greeting, Query, QueryAnswer,
    QueryResponse, TrialReport, MESSAGE_FORMAT,
};
use quota::{LeaseGrant, LeaseRequest, TrialPhase, TurnGrant, TurnRequest, UnitGrant, UnitRequest};
use registry::Heartbeat;

fn id(n: u64) -> NodeId {
    NodeId { name: format!("10.0.0.{n}"), disk_id: 1000 + n }
}

fn members() -> VoterSet {
    [1, 2, 3].into_iter().map(|n| (format!("10.0.0.{n}"), 1000 + n)).collect()
}

fn heartbeat(n: u64, draining: bool) -> Heartbeat {
    Heartbeat {
        instance: format!("i-{n}"),
        service: "orders".into(),
        address: format!("10.1.0.{n}:9000"),
        zone: "otavi-hall".into(),
        version: "7".into(),
        slots: 3,
        draining,
        warmup_left_ms: 250,
        sequence: n,
    }
}

fn lease_request() -> LeaseRequest {
    LeaseRequest {
        number: 9,
        units: vec![UnitRequest {
            tenant: "t1".into(),
            units: 5,
            arrivals: 6,
            returned: 1,
            spent_fallback: 0,
        }],
        turns: vec![TurnRequest {
            tenant: "t2".into(),
            reads: 2,
            urgent: 1,
            slack_us: 300,
            returned: 4,
            waiting: 5,
            waited_us: 6000,
        }],
    }
}

/// A request of a gateway that used its fallback share: it has one more field, which is omitted while it is 0.
fn lease_request_after_isolation() -> LeaseRequest {
    let mut request = lease_request();
    request.units[0].spent_fallback = 2;
    request
}

fn lease_grant() -> LeaseGrant {
    LeaseGrant {
        number: 9,
        coordinator: 4,
        units: vec![UnitGrant { tenant: "t1".into(), units: 5, remaining: 1.5, arrival_rate: 2.25 }],
        phases: vec![TrialPhase {
            tenant: "t2".into(),
            throttled: true,
            changes_in_us: Some(400),
            rate: 5.0,
            max_wait_us: 2_000_000,
        }],
        turns: vec![TurnGrant {
            tenant: "t2".into(),
            after_us: vec![1, 2],
            urgent_us: vec![3],
            retry_after_us: Some(70_000),
        }],
    }
}

fn message(body: MessageBody) -> ControlMessage {
    ControlMessage::Consensus(Message { from: id(1), to: id(2), term: 3, body })
}

#[test]
fn first_messages_keep_their_bytes() {
    let mut golden = Golden::open("first");
    golden.assert_message("control", &Greeting::ControlNode { format: MESSAGE_FORMAT, id: id(1) });
    golden.assert_message(
        "gateway",
        &Greeting::Gateway {
            format: MESSAGE_FORMAT,
            name: "edge-1".into(),
            zone: "otavi-hall".into(),
            offset: Some(Offset { incarnation: 77, position: 12 }),
            configuration_index: 5,
            contact_number: 6,
        },
    );
    golden.assert_message("shell", &Greeting::QueryClient { format: MESSAGE_FORMAT });
    assert_eq!(golden.len(), 3);
}

#[test]
fn messages_of_the_agreement_keep_their_bytes() {
    let mut golden = Golden::open("agreement");
    let entries = vec![
        Entry { term: 2, payload: EntryPayload::Noop },
        Entry { term: 2, payload: EntryPayload::Configuration(members()) },
        Entry { term: 3, payload: EntryPayload::Command(vec![1, 2, 3]) },
        Entry { term: 3, payload: EntryPayload::JointConfiguration { old: members(), new: VoterSet::new() } },
    ];
    let snapshot_content = TransferContent::Snapshot { index: 8, term: 2, voters: members() };
    let entry_content = TransferContent::Entry { previous: PreviousEntry { index: 8, term: 2 }, term: 3 };
    let bodies = [
        (
            "request-vote",
            MessageBody::RequestVote {
                pre_vote: true,
                leadership_transfer: false,
                last_entry: LogPosition { term: 2, index: 9 },
            },
        ),
        ("vote", MessageBody::VoteResponse { pre_vote: false, granted: true }),
        (
            "append",
            MessageBody::AppendEntries {
                previous: PreviousEntry { index: 8, term: 2 },
                entries,
                commit_index: 7,
                round: 11,
            },
        ),
        ("append-accepted", MessageBody::AppendAccepted { round: 11, match_index: 9 }),
        ("append-rejected", MessageBody::AppendRejected { round: 11, hint: 6 }),
        (
            "chunk-of-snapshot",
            MessageBody::Chunk {
                content: snapshot_content,
                size: 5,
                offset: 1,
                bytes: vec![7; 3],
                round: 12,
            },
        ),
        (
            "chunk-of-entry",
            MessageBody::Chunk { content: entry_content, size: 5, offset: 0, bytes: vec![], round: 12 },
        ),
        ("chunk-received", MessageBody::ChunkReceived { index: 8, received: 4, round: 12 }),
        ("leave", MessageBody::LeaveRequest),
        ("timeout-now", MessageBody::TimeoutNow),
    ];
    let count = bodies.len();
    bodies.into_iter().for_each(|(name, body)| golden.assert_message(name, &message(body)));
    assert_eq!(golden.len(), count);
}

#[test]
fn messages_between_control_planes_keep_their_bytes() {
    let mut golden = Golden::open("control");
    let ballot = || Ballot { round: 4, proposer: "10.0.0.1".into() };
    let accepted = Some(AcceptedProposal { ballot: ballot(), voters: members() });
    let hello = ControlMessage::Hello {
        id: id(1),
        zone: "otavi-hall".into(),
        initial_start: true,
        can_vote: false,
        known_nodes: vec![("10.0.0.2".into(), "guinas-shed".into())],
        unix_ms: 1_798_758_000_000,
    };
    let messages = [
        ("hello", hello),
        ("founding-prepare", ControlMessage::Bootstrap(BootstrapMessage::Prepare { ballot: ballot() })),
        (
            "founding-promise",
            ControlMessage::Bootstrap(BootstrapMessage::Promise { ballot: ballot(), accepted }),
        ),
        (
            "founding-accept",
            ControlMessage::Bootstrap(BootstrapMessage::Accept { ballot: ballot(), voters: members() }),
        ),
        ("founding-accepted", ControlMessage::Bootstrap(BootstrapMessage::Accepted { ballot: ballot() })),
        ("founding-late", ControlMessage::Bootstrap(BootstrapMessage::Rejected { promised: ballot() })),
        ("found", ControlMessage::BootstrapChosen { voters: members() }),
        (
            "heartbeats",
            ControlMessage::Heartbeats {
                changed: vec![heartbeat(1, false)],
                unchanged: vec![("i-2".into(), 8)],
            },
        ),
        ("expired", ControlMessage::Deregistered { instance: "i-1".into() }),
        ("propose", ControlMessage::Propose { command: vec![9, 8, 7] }),
        ("contact", ControlMessage::ContactRequest { number: 5 }),
        ("contacted", ControlMessage::ContactResponse { number: 5, age_ns: 1_000, commit_index: 12 }),
        ("ask", ControlMessage::LeaseRequest { gateway: "edge-1".into(), request: lease_request() }),
        ("lent", ControlMessage::LeaseGrant { gateway: "edge-1".into(), term: 3, grant: lease_grant() }),
        ("unknown", ControlMessage::UnknownInstances { instances: vec!["i-9".into()] }),
    ];
    let count = messages.len();
    messages.iter().for_each(|(name, peer)| golden.assert_message(name, peer));
    assert_eq!(golden.len(), count);
}

#[test]
fn messages_of_gateways_and_to_them_keep_their_bytes() {
    let mut golden = Golden::open("gateway");
    let up = [
        ("up-ask", GatewayMessage::LeaseRequest(lease_request())),
        ("up-ask-with-spent-fallback", GatewayMessage::LeaseRequest(lease_request_after_isolation())),
        ("up-missing", GatewayMessage::MissingGateways { missing: vec!["edge-2".into()] }),
        ("up-received", GatewayMessage::ChunkReceived { index: 6, received: 16_384 }),
        ("up-lacks", GatewayMessage::BaseMissing),
        ("up-contact", GatewayMessage::ContactNumber { number: 3 }),
    ];
    up.iter().for_each(|(name, up)| golden.assert_message(name, up));
    let snapshot_offset = Offset { incarnation: 77, position: 12 };
    let fleet_snapshot = FleetSnapshot {
        backends: vec![heartbeat(1, true), heartbeat(2, false)],
        complete: true,
        draining: vec!["i-1".into()],
        gateways: vec!["edge-1".into(), "edge-2".into()],
    };
    let changes = vec![
        FleetChange::Backend(heartbeat(3, false)),
        FleetChange::BackendRemoved("i-4".into()),
        FleetChange::BackendDraining("i-5".into()),
        FleetChange::Gateways(vec!["edge-1".into()]),
    ];
    let delta_header =
        TransferHeader { base_index: Some(4), index: 6, version: 0x1a, digest: [3; 16], length: 2 };
    let full_header =
        TransferHeader { base_index: None, index: 6, version: 0x1a, digest: [3; 16], length: 2 };
    let heartbeat_update = GatewayUpdate::Heartbeat {
        contact_number: 3,
        quorum_contact_ms: 40,
        newest_configuration: 6,
        control_nodes: vec![("10.0.0.1".into(), "otavi-hall".into())],
    };
    let down = [
        (
            "down-snapshot",
            GatewayUpdate::Snapshot { offset: snapshot_offset, snapshot: Box::new(fleet_snapshot) },
        ),
        ("down-changes", GatewayUpdate::Changes { from: snapshot_offset, changes }),
        (
            "down-first-chunk",
            GatewayUpdate::ConfigurationChunk(ConfigurationChunk {
                header: Some(delta_header),
                bytes: vec![1, 2],
            }),
        ),
        (
            "down-whole-chunk",
            GatewayUpdate::ConfigurationChunk(ConfigurationChunk {
                header: Some(full_header),
                bytes: vec![1, 2],
            }),
        ),
        (
            "down-chunk",
            GatewayUpdate::ConfigurationChunk(ConfigurationChunk { header: None, bytes: vec![1, 2] }),
        ),
        ("down-heartbeat", heartbeat_update),
        ("down-lent", GatewayUpdate::LeaseGrant(lease_grant())),
    ];
    down.iter().for_each(|(name, down)| golden.assert_message(name, down));
    assert_eq!(golden.len(), up.len() + down.len());
}

#[test]
fn queries_of_the_shell_and_their_answers_keep_their_bytes() {
    let mut golden = Golden::open("shell");
    let mut json = Golden::open("shell-json");
    let queries =
        [Query::Status, Query::Backends, Query::Gateways, Query::Configuration, Query::Trials].into_iter();
    for (n, query) in queries.enumerate() {
        golden.assert_message(&format!("query-{n}"), &query);
    }
    let status = QueryAnswer::Status {
        id: "10.0.0.1/000003e9".into(),
        term: 3,
        leader: Some("10.0.0.2/000003ea".into()),
        voters: vec!["10.0.0.1/000003e9".into()],
        configuration: Some((0x1a, 6)),
        backends: 209,
        draining: 2,
        gateways: 63,
        followers: vec!["edge-1".into()],
        control_nodes: vec![("10.0.0.1".into(), "otavi-hall".into())],
    };
    let trial = TrialReport {
        tenant: "t2".into(),
        ends_at: 1_798_758_000_000,
        expired: false,
        rate: 5.0,
        max_wait_ms: 2000,
        throttle: Some((true, Some(300))),
        gateways: vec![("edge-1".into(), 20, 3, 900)],
    };
    let answers = [
        status,
        QueryAnswer::Backends(vec![(heartbeat(1, false), true)]),
        QueryAnswer::Gateways(vec![("edge-1".into(), true, vec!["edge-2".into()])]),
        QueryAnswer::Configuration(Some("{}".into())),
        QueryAnswer::Trials(vec![trial]),
    ];
    for (n, answer) in answers.into_iter().enumerate() {
        let response = QueryResponse {
            node: "10.0.0.1".into(),
            zone: "otavi-hall".into(),
            quorum_contact_ms: Some(40),
            answer,
        };
        golden.assert_message(&format!("answer-{n}"), &response);
        json.assert_bytes(&format!("answer-{n}"), &serde_json::to_vec(&response).expect("JSON"));
    }
    assert_eq!(golden.len(), 10);
}

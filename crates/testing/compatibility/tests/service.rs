//! Stored and sent data of the gateway in service: membership datagrams, the protocol between planners and forwarders,
//! a gateway's snapshot, and the operator's file.

use compatibility::Golden;
use membership::wire::{Datagram, Message, Piggyback, BUCKETS};
use membership::{Keys, Record, Role, State};
use plan::message::{Entry, Grant, Instance, Lease, Report};
use plan::wire::{Link, Message as PlanMessage, Side, LATEST, OLDEST};
use snapshot::{decode, encode, Author, Kind, Section};

const KEY: &[u8] = b"a key of sixteen bytes and more";

fn record(state: State, role: Role) -> Record {
    Record {
        name: "g1".into(),
        generation: 1_798_758_000_000,
        incarnation: 2,
        state,
        address: "127.0.0.1:7101".parse().expect("an address"),
        zone: "a".into(),
        role,
        versions: (1, 1),
        accuser: 77,
    }
}

#[test]
fn datagrams_of_membership_keep_their_bytes() {
    let mut golden = Golden::open("membership");
    let keys = Keys::new(vec![KEY.to_vec()]).expect("a key");
    let address = "127.0.0.1:7102".parse().expect("an address");
    let states = [State::Alive, State::Suspect, State::Dead, State::Left];
    let all_states: Vec<Record> = states.into_iter().map(|s| record(s, Role::Planner)).collect();
    let piggyback_with_updates = Piggyback { digest: 5, health: 1, updates: all_states[..2].to_vec() };
    let own = record(State::Alive, Role::Gateway);
    let messages = [
        (
            "ping",
            Message::Ping { probe: 1, generation: 2, address, piggyback: piggyback_with_updates.clone() },
        ),
        ("ack", Message::Ack { probe: 1, piggyback: piggyback_with_updates.clone() }),
        (
            "help",
            Message::PingRequest { probe: 1, target: "g2".into(), piggyback: piggyback_with_updates.clone() },
        ),
        ("nack", Message::Nack { probe: 1, piggyback: piggyback_with_updates }),
        ("differs", Message::DigestMismatch { buckets: [9; BUCKETS] }),
        ("records", Message::Records { echo: 4, records: all_states }),
        ("hello", Message::Hello { record: own.clone(), padding: vec![0; 8] }),
        ("cookie", Message::Cookie { cookie: [6; 16], address }),
        ("join", Message::Join { record: own, cookie: [6; 16], echo: 4 }),
    ];
    for (name, message) in &messages {
        let datagram = Datagram {
            from: "g1".into(),
            generation: 1_798_758_000_000,
            number: 3,
            message: message.clone(),
        };
        let recorded = golden.assert_bytes(name, &keys.seal(&datagram).expect("it fits"));
        assert_eq!(keys.open(&recorded), Ok(datagram), "{name}");
    }
    assert_eq!(golden.len(), messages.len());
}

#[test]
fn the_wire_of_planners_keeps_its_bytes() {
    let mut golden = Golden::open("planners");
    let entry = Entry {
        customer: "c".into(),
        plan: 1,
        lease: 2,
        spent: [1.0, 2.0, 0.0],
        returned: [0.5, 0.0, 1.0],
        demand: 3.5,
        in_use: 1.0,
    };
    let report = Report {
        seat: 1,
        incarnation: 2,
        number: 3,
        known_epoch: 4,
        nonce: 5,
        acknowledged_grant: 6,
        is_lent: true,
        loan: 7,
        slots_free_in: 8,
        attempts_in_flight: 0.0,
        entries: vec![entry],
    };
    let lease = Lease {
        customer: "c".into(),
        lease: 2,
        granted: [1.0, 2.0, 3.0],
        is_renewed: true,
        is_pool_empty: false,
    };
    let grant = Grant {
        from: Instance { nonce: 5, epoch: 4 },
        seat: 1,
        incarnation: 2,
        number: 3,
        report: 3,
        is_already_lent: true,
        loan: 7,
        work_share: 2.0,
        leases: vec![lease],
    };
    for version in OLDEST..=LATEST {
        let mut forwarder = Link::new(Side::Forwarder, KEY, [1; 16], version);
        let mut planner = Link::new(Side::Planner, KEY, [2; 16], version);
        let hello = golden.assert_bytes(&format!("hello-{version}"), &forwarder.hello());
        planner.receive(&hello).expect("a hello");
        forwarder.receive(&planner.hello()).expect("a hello");
        let bytes = forwarder.seal(&PlanMessage::Report(report.clone()));
        let recorded = golden.assert_bytes(&format!("report-{version}"), &bytes);
        assert_eq!(planner.receive(&recorded), Ok(vec![PlanMessage::Report(report.clone())]));
        let bytes = planner.seal(&PlanMessage::Grant(grant.clone()));
        let recorded = golden.assert_bytes(&format!("grant-{version}"), &bytes);
        assert_eq!(forwarder.receive(&recorded), Ok(vec![PlanMessage::Grant(grant.clone())]));
    }
    assert_eq!(golden.len(), 3 * usize::from(LATEST - OLDEST + 1));
}

#[test]
fn a_gateways_snapshot_keeps_its_bytes() {
    let mut golden = Golden::open("snapshot");
    let author = Author {
        name: "gateway-1".into(),
        generation: 1_798_758_000_000,
        taken_at: 1_798_758_001_000_000_000,
    };
    let kinds = [Kind::Bans, Kind::Stores, Kind::Servers, Kind::List];
    let sections = kinds.map(|kind| Section { kind, bytes: format!("{{\"{kind}\":1}}").into_bytes() });
    let recorded = golden.assert_bytes("all-sections", &encode(&author, &sections));
    let read = decode(&recorded, "gateway-1", 1_798_758_002_000_000_000).expect("a snapshot");
    assert_eq!(read.author, author);
    for section in &sections {
        assert_eq!(read.sections.get(&section.kind), Some(&Ok(section.bytes.clone())), "{}", section.kind);
    }
    assert_eq!(golden.len(), 1);
}

/// The whole file of `golden/operator.toml`, with every table, as an earlier version understood it.
#[test]
fn the_operators_file_is_understood_as_before() {
    let mut golden = Golden::open("operator");
    let text = include_str!("../golden/operator.toml");
    let operator = operator::read(text).expect("a valid file");
    assert_eq!(operator.pools.len(), 2);
    assert_eq!(operator.routes.len(), 2);
    assert!(operator.planner.is_none() && operator.forwarder.is_some());
    assert!(operator.fleet.is_some() && operator.snapshot.is_some());
    golden.assert_bytes("lifecycle-way-back-ms", &operator.lifecycle.way_back.as_millis().to_be_bytes());
    golden.assert_bytes("allowances-seats", &operator.allowances.seats.to_be_bytes());
    golden.assert_bytes("allowances-loan-ms", &operator.allowances.loan.as_millis().to_be_bytes());
    golden.assert_bytes("second-route-prefix", operator.routes[1].prefix.as_bytes());
    assert_eq!(golden.len(), 4);
}

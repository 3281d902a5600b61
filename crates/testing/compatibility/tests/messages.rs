//! Messages between processes of the system: `rmp-serde` writes an enum's variants by name and a struct's fields by place.

use change_log::Place;
use compatibility::Golden;
use consensus::{Body, Entry, FoundingSaid, Id, Members, Message, Said, Whole};
use control_state::{Head, Part};
use messages::message::{Answer, Change, Down, First, Peer, Query, Scene, Told, Trial, Up, FORM};
use quota::{Ask, Lent, Loan, Phase, Queue, Turns, Want};
use registry::Fact;

fn id(n: u64) -> Id {
    Id { name: format!("10.0.0.{n}"), disk: 1000 + n }
}

fn members() -> Members {
    [1, 2, 3].into_iter().map(|n| (format!("10.0.0.{n}"), 1000 + n)).collect()
}

fn fact(n: u64, draining: bool) -> Fact {
    Fact {
        id: format!("i-{n}"),
        service: "orders".into(),
        address: format!("10.1.0.{n}:9000"),
        zone: "otavi-hall".into(),
        version: "7".into(),
        slots: 3,
        draining,
        cold_ms: 250,
        sequence: n,
    }
}

fn ask() -> Ask {
    Ask {
        number: 9,
        wants: vec![Want { tenant: "t1".into(), units: 5, asked: 6, back: 1 }],
        queues: vec![Queue {
            tenant: "t2".into(),
            reads: 2,
            pressing: 1,
            slack_us: 300,
            back: 4,
            waiting: 5,
            waited_us: 6000,
        }],
    }
}

fn lent() -> Lent {
    Lent {
        number: 9,
        keeper: 4,
        loans: vec![Loan { tenant: "t1".into(), units: 5, left: 1.5, metered: 2.25 }],
        phases: vec![Phase {
            tenant: "t2".into(),
            slow: true,
            changes_us: Some(400),
            pace: 5.0,
            wait_us: 2_000_000,
        }],
        turns: vec![Turns {
            tenant: "t2".into(),
            after_us: vec![1, 2],
            pressing_us: vec![3],
            later_us: Some(70_000),
        }],
    }
}

fn message(body: Body) -> Peer {
    Peer::Agree(Message { from: id(1), to: id(2), term: 3, body })
}

#[test]
fn first_messages_keep_their_bytes() {
    let mut golden = Golden::open("first");
    golden.assert_message("control", &First::Prompter { form: FORM, id: id(1) });
    golden.assert_message(
        "gateway",
        &First::Gateway {
            form: FORM,
            name: "edge-1".into(),
            zone: "otavi-hall".into(),
            place: Some(Place { life: 77, at: 12 }),
            holds: 5,
            contact: 6,
        },
    );
    golden.assert_message("shell", &First::Shell { form: FORM });
    assert_eq!(golden.len(), 3);
}

#[test]
fn messages_of_the_agreement_keep_their_bytes() {
    let mut golden = Golden::open("agreement");
    let entries = vec![
        Entry { term: 2, said: Said::Nothing },
        Entry { term: 2, said: Said::Members(members()) },
        Entry { term: 3, said: Said::Word(vec![1, 2, 3]) },
        Entry { term: 3, said: Said::Joint { old: members(), new: Members::new() } },
    ];
    let whole = Whole::Snapshot { place: 8, term: 2, members: members() };
    let word = Whole::Word { before: (8, 2), term: 3 };
    let bodies = [
        ("request-vote", Body::Ask { trial: true, named: false, last: (2, 9) }),
        ("vote", Body::Vote { trial: false, given: true }),
        ("append", Body::Append { before: (8, 2), entries, agreed: 7, round: 11 }),
        ("append-accepted", Body::Took { round: 11, up_to: 9 }),
        ("append-rejected", Body::Missed { round: 11, hint: 6 }),
        ("chunk-of-snapshot", Body::Part { whole, size: 5, at: 1, bytes: vec![7; 3], round: 12 }),
        ("chunk-of-entry", Body::Part { whole: word, size: 5, at: 0, bytes: vec![], round: 12 }),
        ("chunk-received", Body::Got { place: 8, up_to: 4, round: 12 }),
        ("leave", Body::Leave),
        ("timeout-now", Body::Named),
    ];
    let count = bodies.len();
    bodies.into_iter().for_each(|(name, body)| golden.assert_message(name, &message(body)));
    assert_eq!(golden.len(), count);
}

#[test]
fn messages_between_control_planes_keep_their_bytes() {
    let mut golden = Golden::open("control");
    let ballot = || (4, "10.0.0.1".to_string());
    let accepted = Some((ballot(), members()));
    let hello = Peer::Hello {
        id: id(1),
        zone: "otavi-hall".into(),
        first: true,
        votes: false,
        known: vec![("10.0.0.2".into(), "guinas-shed".into())],
        wall: 1_798_758_000_000,
    };
    let messages = [
        ("hello", hello),
        ("founding-prepare", Peer::Founding(FoundingSaid::Prepare { ballot: ballot() })),
        ("founding-promise", Peer::Founding(FoundingSaid::Promise { ballot: ballot(), accepted })),
        ("founding-accept", Peer::Founding(FoundingSaid::Accept { ballot: ballot(), members: members() })),
        ("founding-accepted", Peer::Founding(FoundingSaid::Accepted { ballot: ballot() })),
        ("founding-late", Peer::Founding(FoundingSaid::Late { promised: ballot() })),
        ("found", Peer::Found { members: members() }),
        ("heartbeats", Peer::Beats { facts: vec![fact(1, false)], again: vec![("i-2".into(), 8)] }),
        ("expired", Peer::Over { instance: "i-1".into() }),
        ("propose", Peer::Propose { word: vec![9, 8, 7] }),
        ("contact", Peer::Contact { number: 5 }),
        ("contacted", Peer::Contacted { number: 5, age: 1_000, agreed: 12 }),
        ("ask", Peer::Ask { gateway: "edge-1".into(), ask: ask() }),
        ("lent", Peer::Lent { gateway: "edge-1".into(), term: 3, lent: lent() }),
        ("unknown", Peer::Unknown { instances: vec!["i-9".into()] }),
    ];
    let count = messages.len();
    messages.iter().for_each(|(name, peer)| golden.assert_message(name, peer));
    assert_eq!(golden.len(), count);
}

#[test]
fn messages_of_gateways_and_to_them_keep_their_bytes() {
    let mut golden = Golden::open("gateway");
    let up = [
        ("up-ask", Up::Ask(ask())),
        ("up-missing", Up::Company { missing: vec!["edge-2".into()] }),
        ("up-received", Up::Got { place: 6, bytes: 16_384 }),
        ("up-lacks", Up::Lacks),
        ("up-contact", Up::Contact { number: 3 }),
    ];
    up.iter().for_each(|(name, up)| golden.assert_message(name, up));
    let place = Place { life: 77, at: 12 };
    let scene = Scene {
        backends: vec![fact(1, true), fact(2, false)],
        whole: true,
        leaving: vec!["i-1".into()],
        gateways: vec!["edge-1".into(), "edge-2".into()],
    };
    let changes = vec![
        Change::Backend(fact(3, false)),
        Change::Over("i-4".into()),
        Change::Leaving("i-5".into()),
        Change::Gateways(vec!["edge-1".into()]),
    ];
    let head = Head { from: Some(4), place: 6, version: 0x1a, mark: [3; 16], length: 2 };
    let whole = Head { from: None, place: 6, version: 0x1a, mark: [3; 16], length: 2 };
    let pulse = Down::Pulse {
        contact: 3,
        touch_ms: 40,
        newest: 6,
        prompters: vec![("10.0.0.1".into(), "otavi-hall".into())],
    };
    let down = [
        ("down-snapshot", Down::Scene { place, scene: Box::new(scene) }),
        ("down-changes", Down::Changes { from: place, changes }),
        ("down-first-chunk", Down::Configuration(Part { head: Some(head), bytes: vec![1, 2] })),
        ("down-whole-chunk", Down::Configuration(Part { head: Some(whole), bytes: vec![1, 2] })),
        ("down-chunk", Down::Configuration(Part { head: None, bytes: vec![1, 2] })),
        ("down-heartbeat", pulse),
        ("down-lent", Down::Lent(lent())),
    ];
    down.iter().for_each(|(name, down)| golden.assert_message(name, down));
    assert_eq!(golden.len(), up.len() + down.len());
}

#[test]
fn queries_of_the_shell_and_their_answers_keep_their_bytes() {
    let mut golden = Golden::open("shell");
    let queries =
        [Query::Status, Query::Backends, Query::Gateways, Query::Configuration, Query::Trials].into_iter();
    for (n, query) in queries.enumerate() {
        golden.assert_message(&format!("query-{n}"), &query);
    }
    let status = Answer::Status {
        id: "10.0.0.1/000003e9".into(),
        term: 3,
        holder: Some("10.0.0.2/000003ea".into()),
        voters: vec!["10.0.0.1/000003e9".into()],
        configuration: Some((0x1a, 6)),
        backends: 209,
        leaving: 2,
        gateways: 63,
        followers: vec!["edge-1".into()],
        prompters: vec![("10.0.0.1".into(), "otavi-hall".into())],
    };
    let trial = Trial {
        tenant: "t2".into(),
        ends: 1_798_758_000_000,
        over: false,
        pace: 5.0,
        wait_ms: 2000,
        now: Some((true, Some(300))),
        nodes: vec![("edge-1".into(), 20, 3, 900)],
    };
    let answers = [
        status,
        Answer::Backends(vec![(fact(1, false), true)]),
        Answer::Gateways(vec![("edge-1".into(), true, vec!["edge-2".into()])]),
        Answer::Configuration(Some("{}".into())),
        Answer::Trials(vec![trial]),
    ];
    for (n, answer) in answers.into_iter().enumerate() {
        let told = Told { by: "10.0.0.1".into(), zone: "otavi-hall".into(), touch_ms: Some(40), answer };
        golden.assert_message(&format!("answer-{n}"), &told);
    }
    assert_eq!(golden.len(), 10);
}

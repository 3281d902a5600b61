//! What one request's whole life costs in the machine: received, sent, written, answered, over.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use interface::{Effect, Ending, Group, RequestId};
use lifecycle::{Arrival, Command, Input, Limits, ListedServer, Reply, RequestTable, Step};

fn lives(held: RequestId) -> RequestTable {
    let mut lives = RequestTable::new(Limits { max_attempts: 3, grace: 5, key_margin: 1 });
    let listed = |n: u16| ListedServer {
        name: format!("server-{n}").into(),
        zone: 0,
        cell: 0,
        address: Some(([127, 0, 0, 1], 9000 + n).into()),
        is_removed: false,
    };
    let servers = (0..10).map(listed).collect();
    lives.handle(0, Input::ServerList { is_full: true, servers }, &mut Vec::new()).expect("a list");
    for id in 0..held {
        receive(&mut lives, 1_000_000 + id * 7, &mut Vec::new());
    }
    lives
}

fn receive(lives: &mut RequestTable, id: RequestId, out: &mut Vec<Command>) {
    let deadline = 1_000_000_000 + id;
    let arrival = Arrival {
        id,
        class: 0,
        effect: Effect::Keyed,
        group: Group::All,
        key_ttl: 9,
        deadline,
        has_single_attempt: false,
    };
    lives.handle(0, Input::Received(arrival), out).expect("its id is free");
}

fn life(lives: &mut RequestTable, id: RequestId, out: &mut Vec<Command>) {
    let attempt = 0;
    receive(lives, id, out);
    for input in [
        Input::Send { id, server: "server-3".into(), attempt_deadline: 0 },
        Input::Connected { id, attempt },
        Input::Progress { id, attempt, step: Step::Written },
        Input::Progress { id, attempt, step: Step::Answering },
        Input::AttemptEnded { id, attempt, ending: Ending::Success, reply: Reply::Good },
    ] {
        lives.handle(1, input, out).expect("in order");
    }
    out.clear();
}

fn bench(c: &mut Criterion) {
    for held in [0, 1000] {
        let (mut lives, mut out, mut id) = (lives(held), Vec::new(), 0);
        c.bench_function(&format!("a request's life beside {held} others"), |b| {
            b.iter(|| {
                id += 1;
                life(&mut lives, id % 900_000, &mut out);
            });
        });
    }
    c.bench_function("the deadline of 1000 requests", |b| {
        let full = lives(1000);
        let clone = || (full.clone(), Vec::new());
        let tick = |(mut lives, mut out): (RequestTable, Vec<Command>)| {
            lives.handle(u64::MAX, Input::Tick, &mut out).expect("time may pass");
            out.len()
        };
        b.iter_batched(clone, tick, BatchSize::LargeInput);
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);

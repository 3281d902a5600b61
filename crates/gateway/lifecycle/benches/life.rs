//! The cost of one request in the state machine, from its arrival to its end.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use interface::{Effect, Ending, Group, RequestId};
use lifecycle::{Arrival, Command, Input, Limits, ListedServer, Reply, RequestTable, Step};

fn request_table(waiting: RequestId) -> RequestTable {
    let mut requests = RequestTable::new(Limits { max_attempts: 3, grace: 5, key_margin: 1 });
    let listed = |n: u16| ListedServer {
        name: format!("server-{n}").into(),
        zone: 0,
        cell: 0,
        address: Some(([127, 0, 0, 1], 9000 + n).into()),
        is_removed: false,
    };
    let servers = (0..10).map(listed).collect();
    requests
        .handle(0, Input::ServerList { is_full: true, servers }, &mut Vec::new())
        .expect("a server list is valid");
    for id in 0..waiting {
        receive(&mut requests, 1_000_000 + id * 7, &mut Vec::new());
    }
    requests
}

fn receive(requests: &mut RequestTable, id: RequestId, out: &mut Vec<Command>) {
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
    requests.handle(0, Input::Received(arrival), out).expect("the id is unused");
}

fn run_request(requests: &mut RequestTable, id: RequestId, out: &mut Vec<Command>) {
    let attempt = 0;
    receive(requests, id, out);
    for input in [
        Input::Send { id, server: "server-3".into(), attempt_deadline: 0 },
        Input::Connected { id, attempt },
        Input::Progress { id, attempt, step: Step::Written },
        Input::Progress { id, attempt, step: Step::Answering },
        Input::AttemptEnded { id, attempt, ending: Ending::Success, reply: Reply::Good },
    ] {
        requests.handle(1, input, out).expect("the input is valid");
    }
    out.clear();
}

fn bench(c: &mut Criterion) {
    for waiting in [0, 1000] {
        let (mut requests, mut out, mut id) = (request_table(waiting), Vec::new(), 0);
        c.bench_function(&format!("a request's life beside {waiting} others"), |b| {
            b.iter(|| {
                id += 1;
                run_request(&mut requests, id % 900_000, &mut out);
            });
        });
    }
    c.bench_function("the deadline of 1000 requests", |b| {
        let table = request_table(1000);
        let clone = || (table.clone(), Vec::new());
        let tick = |(mut requests, mut out): (RequestTable, Vec<Command>)| {
            requests.handle(u64::MAX, Input::Tick, &mut out).expect("a tick is valid");
            out.len()
        };
        b.iter_batched(clone, tick, BatchSize::LargeInput);
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);

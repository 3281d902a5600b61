//! What one request's whole life costs in the machine: received, sent, written, answered, over.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use interface::{Effect, Ending, Group, RequestId};
use lifecycle::{Arrival, Input, Limits, Listed, Lives, Order, Reply, Step};

fn lives(held: RequestId) -> Lives {
    let mut lives = Lives::new(Limits { attempts: 3, grace: 5, key_margin: 1 });
    let listed = |n: u16| Listed {
        name: format!("server-{n}").into(),
        zone: 0,
        cell: 0,
        place: Some(([127, 0, 0, 1], 9000 + n).into()),
        gone: false,
    };
    let servers = (0..10).map(listed).collect();
    lives.handle(0, Input::Fleet { whole: true, servers }, &mut Vec::new()).expect("a list");
    for id in 0..held {
        receive(&mut lives, 1_000_000 + id * 7, &mut Vec::new());
    }
    lives
}

fn receive(lives: &mut Lives, id: RequestId, out: &mut Vec<Order>) {
    let deadline = 1_000_000_000 + id;
    let arrival =
        Arrival { id, class: 0, effect: Effect::Keyed, group: Group::All, key_ttl: 9, deadline, once: false };
    lives.handle(0, Input::Received(arrival), out).expect("its id is free");
}

fn life(lives: &mut Lives, id: RequestId, out: &mut Vec<Order>) {
    let attempt = 0;
    receive(lives, id, out);
    for input in [
        Input::Send { id, server: "server-3".into(), not_past: 0 },
        Input::Connected { id, attempt },
        Input::Progress { id, attempt, step: Step::Written },
        Input::Progress { id, attempt, step: Step::Answering },
        Input::Ended { id, attempt, ending: Ending::Pass, reply: Reply::Good },
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
        let tick = |(mut lives, mut out): (Lives, Vec<Order>)| {
            lives.handle(u64::MAX, Input::Tick, &mut out).expect("time may pass");
            out.len()
        };
        b.iter_batched(clone, tick, BatchSize::LargeInput);
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);

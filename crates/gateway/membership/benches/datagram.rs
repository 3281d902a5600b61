//! What one datagram costs the view: a ping that is read, verified, believed and answered, among so many members.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use membership::{Config, Input, Keys, Output, View};
use std::cell::Cell;
use std::net::SocketAddr;

const MS: u64 = 1_000_000;

fn view(n: u32, seed: SocketAddr) -> View {
    let mut config = Config::new(&format!("member-{n}"), 1_700_000_000_000, at(n));
    config.seeds = vec![seed];
    let keys = Keys::new(vec![b"a key of sixteen bytes".to_vec()]).expect("long enough");
    View::new(config, keys, u64::from(n), [7; 16], 0)
}

fn at(n: u32) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000).into()
}

fn take(view: &mut View, now: u64, input: Input<'_>) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut out = Vec::new();
    view.handle(now, input, &mut out);
    let sent = |o| if let Output::Send { to, bytes } = o { Some((to, bytes)) } else { None };
    out.into_iter().filter_map(sent).collect()
}

/// The first of so many who all joined through it, and the second.
fn fleet(size: u32) -> (View, View, u64) {
    let mut first = view(0, at(0));
    let (mut second, mut now) = (None, 0);
    for n in 1..size {
        let mut joins = view(n, at(0));
        now += 300 * MS;
        let mut to_first = take(&mut joins, now, Input::Tick);
        for _ in 0..3 {
            let mut back = Vec::new();
            for (to, bytes) in std::mem::take(&mut to_first) {
                if to == at(0) {
                    back.extend(take(&mut first, now, Input::Datagram(&bytes)));
                }
            }
            for (to, bytes) in back {
                if to == at(n) {
                    to_first.extend(take(&mut joins, now, Input::Datagram(&bytes)));
                }
            }
        }
        second.get_or_insert(joins);
    }
    (first, second.expect("two at least"), now)
}

fn datagram(c: &mut Criterion) {
    for size in [24, 200, 2000] {
        let (mut first, mut second, began) = fleet(size);
        let now = Cell::new(began);
        assert_eq!(first.members().count(), size as usize);
        // What it has to tell it tells.
        let mut ping = |now: u64| {
            let sent = take(&mut second, now, Input::Tick);
            sent.into_iter().find(|(to, _)| *to == at(0)).map(|(_, bytes)| bytes)
        };
        c.bench_function(&format!("a ping among {size}"), |b| {
            b.iter_batched(
                || {
                    let later = std::iter::repeat_with(|| {
                        now.set(now.get() + 50 * MS);
                        ping(now.get())
                    });
                    later.flatten().next().expect("it pings for ever")
                },
                |bytes| take(&mut first, now.get(), Input::Datagram(&bytes)).len(),
                BatchSize::PerIteration,
            );
        });
    }
}

/// What a view of so many members holds, by what the process grows by with each further one.
fn memory(_: &mut Criterion) {
    let resident = || {
        let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
        text.split_whitespace().nth(1).and_then(|n| n.parse::<usize>().ok()).map(|pages| pages * 4096)
    };
    const SIZE: u32 = 2000;
    const VIEWS: usize = 20;
    let mut views = vec![fleet(SIZE).0];
    let before = resident();
    views.extend((0..VIEWS).map(|_| fleet(SIZE).0));
    if let (Some(before), Some(after)) = (before, resident()) {
        let bytes = after.saturating_sub(before) / VIEWS / SIZE as usize;
        println!("memory: {bytes} bytes a member, rumours among them, in views of {SIZE}");
    }
    assert_eq!(views.len(), VIEWS + 1);
}

criterion_group!(benches, datagram, memory);
criterion_main!(benches);

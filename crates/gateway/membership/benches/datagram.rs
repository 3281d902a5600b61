//! Cost of one datagram for the view: a ping that is verified, decoded, merged and answered, by fleet size.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use membership::{Config, Input, Keys, Output, View};
use std::cell::Cell;
use std::net::SocketAddr;

const MS: u64 = 1_000_000;

fn view(n: u32, seed: SocketAddr) -> View {
    let mut config = Config::new(&format!("member-{n}"), 1_700_000_000_000, address_of(n));
    config.seeds = vec![seed];
    let keys = Keys::new(vec![b"a key of sixteen bytes".to_vec()]).expect("the key is long enough");
    View::new(config, keys, u64::from(n), [7; 16], 0)
}

fn address_of(n: u32) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000).into()
}

fn handle(view: &mut View, now: u64, input: Input<'_>) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut out = Vec::new();
    view.handle(now, input, &mut out);
    let sent = |o| if let Output::Send { to, bytes } = o { Some((to, bytes)) } else { None };
    out.into_iter().filter_map(sent).collect()
}

/// Returns the first member of a fleet of this size, through which all others joined, and the second.
fn fleet(size: u32) -> (View, View, u64) {
    let mut first = view(0, address_of(0));
    let (mut second, mut now) = (None, 0);
    for n in 1..size {
        let mut joining = view(n, address_of(0));
        now += 300 * MS;
        let mut to_first = handle(&mut joining, now, Input::Tick);
        for _ in 0..3 {
            let mut answers = Vec::new();
            for (to, bytes) in std::mem::take(&mut to_first) {
                if to == address_of(0) {
                    answers.extend(handle(&mut first, now, Input::Datagram(&bytes)));
                }
            }
            for (to, bytes) in answers {
                if to == address_of(n) {
                    to_first.extend(handle(&mut joining, now, Input::Datagram(&bytes)));
                }
            }
        }
        second.get_or_insert(joining);
    }
    (first, second.expect("a fleet has at least two members"), now)
}

fn datagram(c: &mut Criterion) {
    for size in [24, 200, 2000] {
        let (mut first, mut second, started_at) = fleet(size);
        let now = Cell::new(started_at);
        assert_eq!(first.members().count(), size as usize);
        // The pings carry the updates that are queued at the second member.
        let mut ping = |now: u64| {
            let sent = handle(&mut second, now, Input::Tick);
            sent.into_iter().find(|(to, _)| *to == address_of(0)).map(|(_, bytes)| bytes)
        };
        c.bench_function(&format!("a ping among {size}"), |b| {
            b.iter_batched(
                || {
                    let pings = std::iter::repeat_with(|| {
                        now.set(now.get() + 50 * MS);
                        ping(now.get())
                    });
                    pings.flatten().next().expect("the member pings periodically")
                },
                |bytes| handle(&mut first, now.get(), Input::Datagram(&bytes)).len(),
                BatchSize::PerIteration,
            );
        });
    }
}

/// Memory of a view per member, by the growth of the process's resident set with each further view.
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
        println!("memory: {bytes} bytes per member, including queued updates, in views of {SIZE}");
    }
    assert_eq!(views.len(), VIEWS + 1);
}

criterion_group!(benches, datagram, memory);
criterion_main!(benches);

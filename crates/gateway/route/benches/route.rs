//! Lookup times with 10 to 10,000 routes, and the cost of a subset of 1,000 servers.

use criterion::{criterion_group, criterion_main, Criterion};
use interface::Name;
use route::{Route, RouteQuery, Split, Subset, Table};
use std::hint::black_box;

fn table(n: usize) -> Table {
    let route = |i: usize| Route {
        line: i + 1,
        host: (!i.is_multiple_of(3)).then(|| format!("h{}.example", i % 50)),
        prefix: format!("/api/v{}/kind-{}", i % 7, i),
        split: Split::all(0),
        ..Route::default()
    };
    Table::new((0..n).map(route).collect(), 1).expect("the table is valid")
}

fn matches(c: &mut Criterion) {
    for n in [10, 100, 1000, 10_000] {
        let table = table(n);
        let path = format!("/api/v{}/kind-{}/list", (n - 1) % 7, n - 1);
        let host = format!("h{}.example", (n - 1) % 50);
        let query = RouteQuery { host: &host, path: &path, method: "GET", class: 0 };
        c.bench_function(&format!("match among {n} routes"), |b| {
            b.iter(|| table.find(black_box(&query), |_| None))
        });
    }
    let split = Split { weights: vec![(0, 90), (1, 9), (2, 1)] };
    c.bench_function("split of three pools", |b| b.iter(|| split.pool(black_box("00000000b4d65521"))));
    let servers: Vec<Name> = (0..1000).map(|i| Name::from(format!("s-{i}"))).collect();
    c.bench_function("subset of 1000 servers", |b| b.iter(|| Subset::new(black_box(&servers), 3, 64, 32)));
}

criterion_group!(benches, matches);
criterion_main!(benches);

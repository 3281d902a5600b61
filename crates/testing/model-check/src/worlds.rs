//! The configurations of the request model: small ones for CI, and the whole ones.

use crate::world::World;
use interface::{Effect, Group};

fn world(name: &'static str, effect: Effect) -> World {
    World {
        name,
        effect,
        streams_body: false,
        // The servers are in different cells, so that a key's group is a single server.
        group: Group::Cell,
        request_ids: vec![1],
        attempt_limit: 3,
        cancels: 1,
        list_changes: 1,
        panics: 1,
        client_departures: 1,
        uses_real_module: false,
        time_unit: 1,
    }
}

/// A world and its maximum search depth; `None` explores every reachable state.
pub type Bounded = (World, Option<usize>);

pub fn small() -> Vec<Bounded> {
    let with_two_attempts = |name, effect| World { attempt_limit: 2, ..world(name, effect) };
    vec![
        (with_two_attempts("unsafe", Effect::Unsafe), None),
        (with_two_attempts("keyed", Effect::Keyed), None),
        (with_two_attempts("safe", Effect::Safe), None),
        (World { streams_body: true, ..with_two_attempts("open", Effect::Safe) }, None),
        (reuse(with_two_attempts("reuse", Effect::Unsafe)), None),
        (with_real_module(with_two_attempts("real-keyed", Effect::Keyed)), Some(8)),
        (with_real_module(with_two_attempts("real-unsafe", Effect::Unsafe)), Some(8)),
    ]
}

pub fn whole() -> Vec<Bounded> {
    vec![
        (world("unsafe", Effect::Unsafe), None),
        (world("keyed", Effect::Keyed), None),
        (world("safe", Effect::Safe), None),
        (reuse(world("reuse", Effect::Unsafe)), None),
        (with_real_module(world("real-safe", Effect::Safe)), Some(9)),
        (with_real_module(world("real-keyed", Effect::Keyed)), Some(9)),
        (with_real_module(world("real-unsafe", Effect::Unsafe)), Some(9)),
    ]
}

/// A reused id: while the first request is in the table, directly after its end, and while its attempt still runs.
fn reuse(world: World) -> World {
    World {
        request_ids: vec![1, 1],
        attempt_limit: 2,
        cancels: 0,
        list_changes: 0,
        panics: 1,
        client_departures: 1,
        ..world
    }
}

/// Replaces the adversary by the real decision module.
fn with_real_module(world: World) -> World {
    World { request_ids: vec![1, 2], uses_real_module: true, time_unit: 250_000_000, ..world }
}

//! The worlds that are explored, small for CI and whole.

use crate::world::World;
use interface::{Effect, Group};

fn world(name: &'static str, effect: Effect) -> World {
    World {
        name,
        effect,
        once: false,
        // The servers stand in different cells, so that a key's group is one of them.
        group: Group::Cell,
        ids: vec![1],
        most_attempts: 3,
        cancels: 1,
        list_changes: 1,
        panics: 1,
        leaves: 1,
        real: false,
        unit: 1,
    }
}

/// A world with how deep it is explored; none for to the last state.
pub type Bounded = (World, Option<usize>);

pub fn small() -> Vec<Bounded> {
    let less = |name, effect| World { most_attempts: 2, ..world(name, effect) };
    vec![
        (less("unsafe", Effect::Unsafe), None),
        (less("keyed", Effect::Keyed), None),
        (less("safe", Effect::Safe), None),
        (World { once: true, ..less("open", Effect::Safe) }, None),
        (reuse(less("reuse", Effect::Unsafe)), None),
        (real(less("real-keyed", Effect::Keyed)), Some(8)),
        (real(less("real-unsafe", Effect::Unsafe)), Some(8)),
    ]
}

pub fn whole() -> Vec<Bounded> {
    vec![
        (world("unsafe", Effect::Unsafe), None),
        (world("keyed", Effect::Keyed), None),
        (world("safe", Effect::Safe), None),
        (reuse(world("reuse", Effect::Unsafe)), None),
        (real(world("real-safe", Effect::Safe)), Some(9)),
        (real(world("real-keyed", Effect::Keyed)), Some(9)),
        (real(world("real-unsafe", Effect::Unsafe)), Some(9)),
    ]
}

/// An id that comes again: while the first is held, just after its end, while its attempt still runs.
fn reuse(world: World) -> World {
    World { ids: vec![1, 1], most_attempts: 2, cancels: 0, list_changes: 0, panics: 1, leaves: 1, ..world }
}

/// The real decision module in the adversary's place.
fn real(world: World) -> World {
    World { ids: vec![1, 2], real: true, unit: 250_000_000, ..world }
}

//! State machines without I/O: of a request ([`RequestTable`]), of a client's connection ([`Connection`]) and of one to
//! a backend ([`Upstream`]).
//!
//! Every request passes through [`RequestTable`], however it came in, whatever the decision module says of it and
//! however its attempts end. The rules that must never break are enforced here and nowhere else: one final answer,
//! never two attempts in flight, no repeat of what must not run twice, a refusal only if nothing can have run, and
//! nothing written to a server that takes no new work. [`Connection`] does the same for a client's connection: no
//! answer is cut short, and none is sent for an incomplete request. [`Upstream`]: no answer reaches a request that it
//! does not belong to.
//!
//! The first two take an input with its time and return commands for the owner of the sockets. An input that has no
//! meaning in the present state is a typed error and changes nothing. The program runs on these machines and
//! `model-check` explores them: it is the same code.
//!
//! ```
//! use interface::{Effect, Group};
//! use lifecycle::{Arrival, Command, FinalAnswer, Input, Limits, RequestTable};
//!
//! let mut requests = RequestTable::new(Limits { max_attempts: 3, grace: 5, key_margin: 1 });
//! let mut commands = Vec::new();
//! let arrival = Arrival { id: 7, class: 0, effect: Effect::Unsafe, group: Group::All, key_ttl: 0, deadline: 100, has_single_attempt: false };
//! requests.handle(0, Input::Received(arrival), &mut commands).expect("its id is free");
//! // The decision module says nothing: the request is answered all the same.
//! requests.handle(105, Input::Tick, &mut commands).expect("time may always pass");
//! assert!(matches!(commands[0], Command::Answer { id: 7, answer: FinalAnswer::Refused { tried: false, .. }, .. }));
//! assert!(requests.is_empty());
//! ```
#![forbid(unsafe_code)]

/// Whether the named defect is planted; always false, and compiled out, in release builds.
macro_rules! planted {
    ($name:ident) => {{
        #[cfg(feature = "defects")]
        let on = crate::defects::active(crate::defects::Defect::$name);
        #[cfg(not(feature = "defects"))]
        let on = false;
        on
    }};
}

pub mod connection;
#[cfg(feature = "defects")]
pub mod defects;
pub mod drain;
mod events;
mod request;
mod server_list;
pub mod upstream;

pub use connection::{Close, Connection};
pub use drain::Drain;
pub use events::{Arrival, Command, FinalAnswer, Input, InvalidInput, Limits, ModuleEvent, Reply, Step};
pub use request::{Attempt, Phase, PossibleExecution, RequestState, RequestTable};
pub use server_list::{ListedServer, ServerList};
pub use upstream::Upstream;

//! State machines without I/O for requests ([`RequestTable`]), client connections ([`Connection`]) and backend
//! connections ([`Upstream`]).
//!
//! Every request passes through [`RequestTable`], whichever front end received it, whatever the decision module does and
//! however its attempts end. These invariants are enforced here and nowhere else: a request gets one final answer, never
//! has two attempts in flight, is not retried if it must not run twice, is refused only if nothing can have run, and is
//! not written to a server that accepts no new requests. [`Connection`] ensures that no answer to a client is cut short
//! and that none is sent for an incomplete request; [`Upstream`], that no answer is passed to a request that it does not
//! belong to.
//!
//! The first two take an input with its time and return commands for the owner of the sockets. An input that is invalid
//! in the present state is a typed error and changes nothing. The program and the checker `model-check` run the same
//! code.
//!
//! ```
//! use interface::{Effect, Group};
//! use lifecycle::{Arrival, Command, FinalAnswer, Input, Limits, RequestTable};
//!
//! let mut requests = RequestTable::new(Limits { max_attempts: 3, grace: 5, key_margin: 1 });
//! let mut commands = Vec::new();
//! let arrival = Arrival { id: 7, class: 0, effect: Effect::Unsafe, group: Group::All, key_ttl: 0, deadline: 100, has_single_attempt: false };
//! requests.handle(0, Input::Received(arrival), &mut commands).expect("the id is unused");
//! // The decision module returns no action: the request is answered nevertheless.
//! requests.handle(105, Input::Tick, &mut commands).expect("a tick is always valid");
//! assert!(matches!(commands[0], Command::Answer { id: 7, answer: FinalAnswer::Refused { tried: false, .. }, .. }));
//! assert!(requests.is_empty());
//! ```
#![forbid(unsafe_code)]

/// Whether the named defect is planted; without the feature `defects` always false, and compiled out.
macro_rules! planted {
    ($name:ident) => {{
        #[cfg(feature = "defects")]
        let is_planted = crate::defects::active(crate::defects::Defect::$name);
        #[cfg(not(feature = "defects"))]
        let is_planted = false;
        is_planted
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

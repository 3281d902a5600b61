//! The lives of a request, of a client's connection and of one to a backend, as state machines without I/O.
//!
//! Whatever way a request came in, whatever the decision module says of it and however its attempts end, its
//! life passes through [`Lives`]. The rules that can least afford to break are kept here and nowhere else:
//! one final answer, never two attempts out, no repeat of what must not run twice, a refusal only if nothing
//! can have run, and nothing written to a server that wants nothing new. [`Connection`] does the same for a
//! client's connection: no answer is cut short, none taken for a request that was not whole. [`Upstream`] does it for one to
//! a backend: no answer reaches a request that it does not belong to.
//!
//! The first two take an input with the time at which it happened and give orders to whoever owns the sockets. An
//! input that has no meaning in the present state is a typed error and changes nothing. The program runs on
//! these machines and `model-check` explores them: they are the same code.
//!
//! ```
//! use interface::{Effect, Group};
//! use lifecycle::{Arrival, Final, Input, Limits, Lives, Order};
//!
//! let mut lives = Lives::new(Limits { attempts: 3, grace: 5, key_margin: 1 });
//! let mut orders = Vec::new();
//! let arrival = Arrival { id: 7, class: 0, effect: Effect::Unsafe, group: Group::All, key_ttl: 0, deadline: 100, once: false };
//! lives.handle(0, Input::Received(arrival), &mut orders).expect("its id is free");
//! // The decision module keeps silent: the request is answered all the same.
//! lives.handle(105, Input::Tick, &mut orders).expect("time may always pass");
//! assert!(matches!(orders[0], Order::Answer { id: 7, answer: Final::Refused { tried: false, .. }, .. }));
//! assert!(lives.is_empty());
//! ```
#![forbid(unsafe_code)]

/// Whether a named defect is planted. Constantly false, and gone, in what is shipped.
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
mod fleet;
mod request;
pub mod upstream;
mod words;

pub use connection::{Close, Connection};
pub use drain::Drain;
pub use fleet::{Fleet, Listed};
pub use request::{Attempt, Life, Lives, Phase, Ran};
pub use upstream::Upstream;
pub use words::{Arrival, Final, Input, Limits, Order, Reply, Step, Told, Wrong};

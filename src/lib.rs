//! granitehub makes the decisions of a gateway that keeps each customer of a shared back end to its plan.
//!
//! The caller owns the network. It hands [`Gateway::handle`] what happened, with the time, and carries out
//! the [`Action`]s that come back:
//!
//! ```
//! use granitehub::{Action, Class, Effect, Event, Gateway, Group, Health, Node, Plan, Request, Scope, Settings};
//!
//! let settings = Settings {
//!     classes: vec![Class::new("quote", 750_000_000, 2_500_000_000, Effect::Safe, Group::All)],
//!     plans: vec![Plan::new("basic", 1.5, 6.0)],
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7, 0).expect("settings in range");
//! let mut actions = Vec::new();
//! let list = vec![Node::new("server-1", Health::Up)];
//! let hello = Event::Fleet { seq: 1, scope: Scope::Full, nodes: list };
//! let ask = Event::Request(Request::new(1, 0, 0, "customer-1", 2_000_000_000, 1.0));
//! gateway.handle(1_000_000, vec![hello, ask], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
//! ```
#![forbid(unsafe_code)]

pub mod decide;
pub mod settings;

/// Settings, events, actions, ids and times: a crate of its own, so that other deciding parts speak of the same.
pub use ::interface;
pub use decide::Gateway;
pub use interface::*;

impl Module for Gateway {
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        Gateway::handle(self, now, events, out);
    }

    fn reconfigure(&mut self, settings: &Settings) {
        Gateway::reconfigure(self, settings);
    }

    fn export_state(&self) -> String {
        Gateway::export_state(self)
    }

    fn import_state(&mut self, now: Time, left: &str) -> Result<(), String> {
        Gateway::import_state(self, now, left)
    }

    fn avoided(&self) -> Vec<Name> {
        Gateway::avoided(self)
    }
}

/// The README's example, compiled and run.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

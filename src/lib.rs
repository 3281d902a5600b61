//! Decision module of a gateway that holds each customer of a shared backend to its plan.
//!
//! The module does no I/O. The caller passes events and the current time to [`Gateway::handle`] and carries out
//! the [`Action`]s that it appends:
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
//! let nodes = vec![Node::new("server-1", Health::Up)];
//! let server_list = Event::Fleet { seq: 1, scope: Scope::Full, nodes };
//! let request = Event::Request(Request::new(1, 0, 0, "customer-1", 2_000_000_000, 1.0));
//! gateway.handle(1_000_000, vec![server_list, request], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
//! ```
#![forbid(unsafe_code)]

pub mod decide;
pub mod settings;

/// Settings, events, actions, ids and times: a separate crate, so that other decision modules can share them.
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

    fn import_state(&mut self, now: Time, state: &str) -> Result<(), String> {
        Gateway::import_state(self, now, state)
    }

    fn avoided(&self) -> Vec<Name> {
        Gateway::avoided(self)
    }
}

/// Compiles and runs the README's example as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

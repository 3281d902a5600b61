//! Discovery's list and the membership view, as inputs of the engine.

use super::{Driver, InputContext};
use crate::list::{List, ListSnapshot, State, Target};
use engine::{Input, ListEntry};
use interface::{Health, Node, Scope};
use std::rc::Rc;
use tokio::time::Instant;

impl Driver {
    /// Applies the list of the configuration; it may be old.
    pub fn apply_cached_list(self: &Rc<Self>, known: List) {
        self.apply_list(Scope::Cached, known);
    }

    /// This gateway's position among the gateways believed alive, and their number; none: as the settings say.
    pub fn set_gateway_position(self: &Rc<Self>, seen: Option<(u32, u32)>) {
        let (me, gateways) = seen.unwrap_or_default();
        let input = Input::GatewayPosition { position: me, gateways };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }

    /// Which planners the membership view believes alive.
    pub fn set_planner_liveness(self: &Rc<Self>, lives: Vec<Option<bool>>) {
        let input = Input::PlannerLiveness(lives);
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }

    /// Discovery failed; the old list stays in force.
    pub fn discovery_failed(self: &Rc<Self>, what: String) {
        let brought = InputContext { discovery_failure: Some(what), ..InputContext::default() };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), Input::DiscoveryFailed, brought);
    }

    /// From now on the list is kept for a next process.
    pub fn export_list(&self) {
        *self.exported_list.borrow_mut() = Some(ListSnapshot::default());
    }

    /// The exported list as JSON, if there is one.
    pub fn exported_list(&self) -> Option<String> {
        self.exported_list.borrow().as_ref()?.to_json()
    }

    /// Waits until the exported list has changed.
    pub async fn list_changed(&self) {
        self.list_changed.notified().await;
    }

    /// Applies discovery's list, or the changes to it.
    pub fn apply_list(self: &Rc<Self>, scope: Scope, list: List) {
        if let Some(held) = &mut *self.exported_list.borrow_mut() {
            held.apply(scope, &list);
            self.list_changed.notify_one();
        }
        let replaced = self.backends.update(scope, &list.targets);
        let placed = |t: Target| {
            let place = t.endpoint.parse().ok().filter(|_| t.state == State::Ready);
            let pools = (self.pools)(&t);
            (t.node(&self.zones, pools), place)
        };
        let mut entries: Vec<ListEntry> = list.targets.into_iter().map(placed).collect();
        entries.extend(replaced.iter().map(|name| (Node::new(name, Health::Removed), None)));
        let input = Input::ServerList { scope, rev: list.rev, entries };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }
}

//! Inputs of the engine from discovery and the membership view.

use super::{Driver, InputContext};
use crate::list::{List, ListSnapshot, State, Target};
use engine::{Input, ListEntry};
use interface::{Health, Node, Scope};
use std::rc::Rc;
use tokio::time::Instant;

impl Driver {
    /// Applies a list from the configuration or a snapshot, which may be outdated.
    pub fn apply_cached_list(self: &Rc<Self>, list: List) {
        self.apply_list(Scope::Cached, list);
    }

    /// Sets this gateway's position among the gateways believed alive, and their number. `None`: as in the settings.
    pub fn set_gateway_position(self: &Rc<Self>, gateway_position: Option<(u32, u32)>) {
        let (position, gateways) = gateway_position.unwrap_or_default();
        let input = Input::GatewayPosition { position, gateways };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }

    /// Sets which planners the membership view believes alive.
    pub fn set_planner_liveness(self: &Rc<Self>, liveness: Vec<Option<bool>>) {
        let input = Input::PlannerLiveness(liveness);
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }

    /// Records that discovery failed. The old list remains in force.
    pub fn discovery_failed(self: &Rc<Self>, reason: String) {
        let context = InputContext { discovery_failure: Some(reason), ..InputContext::default() };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), Input::DiscoveryFailed, context);
    }

    /// Starts keeping the list for the next process.
    pub fn export_list(&self) {
        *self.exported_list.borrow_mut() = Some(ListSnapshot::default());
    }

    /// Returns the exported list as JSON, if there is one.
    pub fn exported_list(&self) -> Option<String> {
        self.exported_list.borrow().as_ref()?.to_json()
    }

    /// Waits until the exported list has changed.
    pub async fn list_changed(&self) {
        self.list_changed.notified().await;
    }

    /// Applies a list from discovery, or changes to it.
    pub fn apply_list(self: &Rc<Self>, scope: Scope, list: List) {
        if let Some(exported) = &mut *self.exported_list.borrow_mut() {
            exported.apply(scope, &list);
            self.list_changed.notify_one();
        }
        let replaced = self.backends.update(scope, &list.targets);
        let to_entry = |target: Target| {
            let address = target.endpoint.parse().ok().filter(|_| target.state == State::Ready);
            let pools = (self.pools)(&target);
            (target.node(&self.zones, pools), address)
        };
        let mut entries: Vec<ListEntry> = list.targets.into_iter().map(to_entry).collect();
        entries.extend(replaced.iter().map(|name| (Node::new(name, Health::Removed), None)));
        let input = Input::ServerList { scope, rev: list.rev, entries };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }
}

//! Allowances: the account, its reports and grants.

use super::{Driver, InputContext};
use engine::Input;
use forward::{Account, Mode};
use interface::{Allowance, RequestId};
use plan::message::{Grant, Report};
use std::rc::Rc;
use tokio::time::Instant;

impl Driver {
    /// The allowance of a request that awaited it is known. Returns whether the request is not over.
    pub fn set_allowance(self: &Rc<Self>, id: RequestId, allowance: Allowance) -> bool {
        let mut state = self.state.borrow_mut();
        let held = state.engine.has_request(id);
        if held {
            self.handle_or_warn(
                &mut state,
                Instant::now(),
                Input::AllowanceDecided { id, allowance },
                InputContext::default(),
            );
        }
        held
    }

    /// From now on this account decides on allowances.
    pub fn set_account(&self, account: Account) {
        self.state.borrow_mut().engine.set_account(account);
    }

    /// The reports to send, once a tick. Requests that waited too long for a grant are refused.
    pub fn reports(self: &Rc<Self>) -> Vec<(usize, Report)> {
        let mut brought = InputContext::default();
        // This input is always valid.
        let _ = self.handle(&mut self.state.borrow_mut(), Instant::now(), Input::PlanningTick, &mut brought);
        brought.reports
    }

    /// A planner's grant.
    pub fn apply_grant(self: &Rc<Self>, planner: usize, grant: Grant) {
        let input = Input::Grant { planner, grant };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }

    /// Whether the share is with this planner.
    pub fn is_lent_to(&self, n: usize) -> bool {
        matches!(self.state.borrow().engine.mode(), Some(Mode::Lent { planner, .. }) if planner == n)
    }
}

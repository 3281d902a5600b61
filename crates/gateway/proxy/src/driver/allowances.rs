//! Allowances: the quota account, its reports and grants.

use super::{Driver, InputContext};
use engine::Input;
use forward::{Account, Mode};
use interface::{Allowance, RequestId};
use plan::message::{Grant, Report};
use std::rc::Rc;
use tokio::time::Instant;

impl Driver {
    /// Sets the allowance of a request that waits for it. Returns whether the request is still pending.
    pub fn set_allowance(self: &Rc<Self>, id: RequestId, allowance: Allowance) -> bool {
        let mut state = self.state.borrow_mut();
        let is_pending = state.engine.has_request(id);
        if is_pending {
            self.handle_or_warn(
                &mut state,
                Instant::now(),
                Input::AllowanceDecided { id, allowance },
                InputContext::default(),
            );
        }
        is_pending
    }

    /// Sets the account that decides on allowances from now on.
    pub fn set_account(&self, account: Account) {
        self.state.borrow_mut().engine.set_account(account);
    }

    /// Called once per tick. Returns the reports to send, and refuses requests that have waited too long for a grant.
    pub fn reports(self: &Rc<Self>) -> Vec<(usize, Report)> {
        let mut context = InputContext::default();
        // This input is always valid.
        let _ = self.handle(&mut self.state.borrow_mut(), Instant::now(), Input::PlanningTick, &mut context);
        context.reports
    }

    /// Applies a planner's grant.
    pub fn apply_grant(self: &Rc<Self>, planner: usize, grant: Grant) {
        let input = Input::Grant { planner, grant };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }

    /// Whether the gateway's share is lent to this planner.
    pub fn is_lent_to(&self, index: usize) -> bool {
        matches!(self.state.borrow().engine.mode(), Some(Mode::Lent { planner, .. }) if planner == index)
    }
}

//! The holder's look at trials: an end that has passed by the clocks of a majority is agreed on.

use crate::agreement::Agreement;
use crate::view::View;
use curtain::Terms;
use playbill::Playbill;
use promptbook::Place;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;
use understudy::Input;

/// Looked at so often while some trial has yet to end; else seldom.
const LOOK: Duration = Duration::from_millis(100);
const SELDOM: Duration = Duration::from_secs(1);

/// What the agreed configuration says of tenants, read once for each.
#[derive(Default)]
pub struct Current(RefCell<(Place, Rc<Terms>)>);

impl Current {
    pub fn terms(&self, view: &View) -> Rc<Terms> {
        let configuration = view.book.borrow().configuration().cloned();
        let place = configuration.as_ref().map_or(0, |c| c.place);
        let mut held = self.0.borrow_mut();
        if held.0 != place {
            let playbill = configuration.and_then(|c| Playbill::read(&c.body).ok());
            *held = (place, Rc::new(playbill.map(|p| Terms::of(&p)).unwrap_or_default()));
        }
        held.1.clone()
    }
}

/// This machine's time of day, in Unix milliseconds. Alone it decides nothing.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub async fn run(view: Rc<View>, agreement: Agreement) {
    loop {
        let some = view.duty.borrow().is_holder && !view.current.terms(&view).endings.is_empty();
        sleep(if some { LOOK } else { SELDOM }).await;
        if !view.duty.borrow().is_holder {
            continue;
        }
        for word in view.trials_passed() {
            // It may be lost; it is looked at again.
            agreement.tell(Input::Propose { tag: 0, word: word.write() });
        }
    }
}

//! The rules of the request table, each a named predicate with a description. Violations that only a transition shows are
//! recorded by the model as `Violation`; the others are read from the state.

use crate::world::{ClientState, State, World, DEADLINE, GRACE};
use lifecycle::Input;
use stateright::Property;

/// A violation that is visible only during a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Violation {
    SecondAnswer,
    AnswerAfterLeave,
    UnsafeRepeat,
    KeyedRepeat,
    RefusedAfterExecution,
    WrittenAfterDrain,
    ActiveAfterAnswer,
    WrittenAfterAbort,
    ForeignAnswer,
    UnexpectedError,
    OverdueTooEarly,
    GoodAnswerLost,
    EndNotReportedOnce,
    DuplicateId,
    RepeatedDepartureReport,
    WrittenTwice,
}

/// A rule: its name, its description, and the predicate that must hold in every state.
pub struct Rule {
    pub name: &'static str,
    pub description: &'static str,
    pub holds: fn(&World, &State) -> bool,
}

macro_rules! never {
    ($violation:ident) => {
        |_, s| !s.has_violation(Violation::$violation)
    };
}

pub const RULES: &[Rule] = &[
    Rule {
        name: "one final answer",
        description: "A request receives at most one final answer.",
        holds: never!(SecondAnswer),
    },
    Rule {
        name: "none after the leave",
        description: "A client that has disconnected receives no answer.",
        holds: never!(AnswerAfterLeave),
    },
    Rule {
        name: "one attempt out",
        description: "Two attempts of one request are never in flight at the same time.",
        holds: |_, s| s.attempts.iter().all(|a| s.attempts.iter().filter(|b| b.id == a.id).count() == 1),
    },
    Rule {
        name: "at most three attempts",
        description: "No request has more attempts than its limit.",
        holds: |w, s| s.requests.iter().all(|a| a.attempts <= w.attempt_limit),
    },
    Rule {
        name: "no unsafe repeat",
        description: "A request that must not run twice is not written again once it may have run.",
        holds: never!(UnsafeRepeat),
    },
    Rule {
        name: "a spent body is not written again",
        description: "A request with a streamed body is written at most once.",
        holds: never!(WrittenTwice),
    },
    Rule {
        name: "keyed repeat in group and window",
        description: "A keyed request that may have run is written again only to servers that know its key, and only as long as they do.",
        holds: never!(KeyedRepeat),
    },
    Rule {
        name: "refusal only if nothing ran",
        description: "A request is refused only if no attempt can have run or can still run.",
        holds: never!(RefusedAfterExecution),
    },
    Rule {
        name: "drains kept",
        description: "No attempt starts to write to a server that the list shows as draining, removed or at another address.",
        holds: never!(WrittenAfterDrain),
    },
    Rule {
        name: "nothing out after the answer",
        description: "After its final answer or its client's departure, a request starts no attempt and no write.",
        holds: never!(ActiveAfterAnswer),
    },
    Rule {
        name: "a stopped attempt stays silent",
        description: "An aborted attempt is not allowed to write.",
        holds: never!(WrittenAfterAbort),
    },
    Rule {
        name: "what is over is stopped",
        description: "An attempt still in flight after the final answer has been aborted; so has one that was not fully written when its client left.",
        holds: |_, s| {
            s.attempts.iter().all(|a| match s.requests[a.arrival].client_state {
                ClientState::Waiting => true,
                ClientState::Answered => a.aborted || a.is_streaming,
                ClientState::Left => a.aborted || a.fully_written_at_departure,
            })
        },
    },
    Rule {
        name: "answered by the deadline",
        description: "A waiting client is always answered by the deadline plus the grace period.",
        holds: |w, s| {
            let late = s.timers_checked && s.now >= w.time(DEADLINE + GRACE);
            !late || s.requests.iter().all(|a| a.client_state != ClientState::Waiting || s.now < a.deadline + w.time(GRACE))
        },
    },
    Rule {
        name: "the guard is not early",
        description: "The overdue guard answers no request before its deadline plus the grace period.",
        holds: never!(OverdueTooEarly),
    },
    Rule {
        name: "answers go where they belong",
        description: "A server's answer goes to the request of its attempt, even if the id has been reused since.",
        holds: never!(ForeignAnswer),
    },
    Rule {
        name: "a good answer is not lost",
        description: "A complete good answer reaches the client if it is still waiting.",
        holds: never!(GoodAnswerLost),
    },
    Rule {
        name: "each end told once",
        description: "The end of every attempt is reported to the module exactly once.",
        holds: never!(EndNotReportedOnce),
    },
    Rule {
        name: "each leave told once",
        description: "A client's departure is reported to the module once, and not after it was answered.",
        holds: never!(RepeatedDepartureReport),
    },
    Rule {
        name: "an id is held once",
        description: "A request is rejected while another request with its id is in the table.",
        holds: never!(DuplicateId),
    },
    Rule {
        name: "tables empty when all is over",
        description: "When no client is waiting and no attempt is in flight, the tables are empty.",
        holds: |_, s| {
            let over = s.attempts.is_empty() && s.requests.iter().all(|a| a.client_state != ClientState::Waiting);
            !over || s.request_table.is_empty()
        },
    },
    Rule {
        name: "what happens has a meaning",
        description: "No input that front ends, servers and clients can cause is an error of the request table.",
        holds: never!(UnexpectedError),
    },
    Rule {
        name: "nonsense changes nothing",
        description: "An impossible report of an attempt returns a typed error and changes nothing.",
        holds: |_, s| {
            let id = 1;
            // Higher than any attempt number in the model.
            let number = 50;
            [
                Input::Connected { id, attempt: number },
                Input::Connected { id: 99, attempt: number },
                Input::AttemptEnded {
                    id,
                    attempt: number,
                    ending: interface::Ending::Success,
                    reply: lifecycle::Reply::Good,
                },
            ]
            .into_iter()
            .all(|input| {
                let (mut request_table, mut commands) = (s.request_table.clone(), Vec::new());
                request_table.handle(s.now, input, &mut commands).is_err() && commands.is_empty() && request_table == s.request_table
            })
        },
    },
];

pub fn properties() -> Vec<Property<World>> {
    RULES.iter().map(|r| Property::always(r.name, r.holds)).collect()
}

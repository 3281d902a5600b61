//! The rules, each a named function with its words beside it. What a transition broke is noted by whoever saw
//! it happen (`Broken`); what a state shows is read off the state.

use crate::world::{Asked, State, World, DEADLINE, GRACE};
use lifecycle::Input;
use stateright::Property;

/// What can be seen only while it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Broken {
    SecondAnswer,
    AnswerAfterLeave,
    UnsafeRepeat,
    KeyedRepeat,
    RefusedThoughRun,
    WrittenAfterDrain,
    OutAfterAnswer,
    OutAfterStop,
    ForeignAnswer,
    Unmeaning,
    GuardEarly,
    GoodLost,
    ToldTwice,
    HeldTwice,
    GoneTwice,
    WrittenTwice,
}

/// A rule: its name, its words, and whether it holds.
pub struct Rule {
    pub name: &'static str,
    pub words: &'static str,
    pub holds: fn(&World, &State) -> bool,
}

macro_rules! never {
    ($broken:ident) => {
        |_, s| !s.broke(Broken::$broken)
    };
}

pub const RULES: &[Rule] = &[
    Rule {
        name: "one final answer",
        words: "A request gets one final answer, and no second.",
        holds: never!(SecondAnswer),
    },
    Rule {
        name: "none after the leave",
        words: "Nobody is answered who has left.",
        holds: never!(AnswerAfterLeave),
    },
    Rule {
        name: "one attempt out",
        words: "Two attempts of one request are never out at once.",
        holds: |_, s| s.attempts.iter().all(|a| s.attempts.iter().filter(|b| b.id == a.id).count() == 1),
    },
    Rule {
        name: "at most three attempts",
        words: "No request has more attempts than its limit.",
        holds: |w, s| s.asked.iter().all(|a| a.attempts <= w.most_attempts),
    },
    Rule {
        name: "no unsafe repeat",
        words: "What must not run twice is not written again once it may have run.",
        holds: never!(UnsafeRepeat),
    },
    Rule {
        name: "a spent body is not written again",
        words: "A request whose body is passed on as it comes is written at most once.",
        holds: never!(WrittenTwice),
    },
    Rule {
        name: "keyed repeat in group and window",
        words: "A keyed request that may have run is written again only where its key is known, and only while it is.",
        holds: never!(KeyedRepeat),
    },
    Rule {
        name: "refusal only if nothing ran",
        words: "A refusal is given only if no attempt can have run or can yet.",
        holds: never!(RefusedThoughRun),
    },
    Rule {
        name: "drains kept",
        words: "No attempt begins to write to a server once it was told to be draining, gone or elsewhere.",
        holds: never!(WrittenAfterDrain),
    },
    Rule {
        name: "nothing out after the answer",
        words: "Behind its final answer, or its client's leave, a request begins no attempt and no write.",
        holds: never!(OutAfterAnswer),
    },
    Rule {
        name: "a stopped attempt stays silent",
        words: "An attempt that was told to stop gets no leave to write.",
        holds: never!(OutAfterStop),
    },
    Rule {
        name: "what is over is stopped",
        words: "An attempt still out behind the final answer has been told to stop; so has one whose client left before it was whole.",
        holds: |_, s| {
            s.attempts.iter().all(|a| match s.asked[a.arrival].end {
                Asked::Waits => true,
                Asked::Answered => a.stopped || a.streams,
                Asked::Left => a.stopped || a.whole_at_leave,
            })
        },
    },
    Rule {
        name: "answered by the deadline",
        words: "Whatever happens or does not, who waits is answered by the deadline and its grace.",
        holds: |w, s| {
            let late = s.ticked && s.now >= w.time(DEADLINE + GRACE);
            !late || s.asked.iter().all(|a| a.end != Asked::Waits || s.now < a.deadline + w.time(GRACE))
        },
    },
    Rule {
        name: "the guard is not early",
        words: "The overdue guard answers nobody before the deadline and its grace.",
        holds: never!(GuardEarly),
    },
    Rule {
        name: "answers go where they belong",
        words: "A server's answer goes to the request whose attempt brought it, also if its id came again since.",
        holds: never!(ForeignAnswer),
    },
    Rule {
        name: "a good answer is not lost",
        words: "A whole good answer reaches the client if it still waits.",
        holds: never!(GoodLost),
    },
    Rule {
        name: "each end told once",
        words: "The module hears the end of every attempt once.",
        holds: never!(ToldTwice),
    },
    Rule {
        name: "each leave told once",
        words: "The module hears of a client's going once, and not of one that was answered before.",
        holds: never!(GoneTwice),
    },
    Rule {
        name: "an id is held once",
        words: "A request is turned away while the life of another with its id is not over.",
        holds: never!(HeldTwice),
    },
    Rule {
        name: "tables empty when all is over",
        words: "When nobody waits and nothing is out, no table holds anything.",
        holds: |_, s| {
            let over = s.attempts.is_empty() && s.asked.iter().all(|a| a.end != Asked::Waits);
            !over || s.lives.is_empty()
        },
    },
    Rule {
        name: "what happens has a meaning",
        words: "Nothing that fronts, servers and clients can do is an error to the machine.",
        holds: never!(Unmeaning),
    },
    Rule {
        name: "nonsense changes nothing",
        words: "An attempt's word that can't be is a typed error, and nothing has changed.",
        holds: |_, s| {
            let id = 1;
            // No attempt has so high a number.
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
                let (mut lives, mut orders) = (s.lives.clone(), Vec::new());
                lives.handle(s.now, input, &mut orders).is_err() && orders.is_empty() && lives == s.lives
            })
        },
    },
];

pub fn properties() -> Vec<Property<World>> {
    RULES.iter().map(|r| Property::always(r.name, r.holds)).collect()
}

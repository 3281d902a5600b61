//! The world round a gateway's end: a request that becomes whole at any moment before and after the drain was told,
//! with any time its settings allow, at servers that answer late or never. `lifecycle::Drain` itself is what
//! is explored. Left out: several requests (they don't know of each other here) and the listener's queue, which is
//! the system's.

use lifecycle::drain::{Drain, ACCEPT_WINDOW, FINAL_MARGIN};
use stateright::{Model, Property};

const MS: u64 = 1_000_000;
/// Longest times that settings allow.
const LONGEST: [u64; 3] = [400 * MS, 2500 * MS, 4655 * MS];
/// When a request may become whole, after the drain was told.
const WHOLE: [u64; 6] = [0, 171 * MS, ACCEPT_WINDOW, 900 * MS, 2 * ACCEPT_WINDOW, 3000 * MS];

#[derive(Clone)]
pub struct Drains;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u64,
    longest: u64,
    told: Option<u64>,
    drain: Option<Drain>,
    /// When the request became whole, and when its answer is due.
    whole: Option<(u64, u64)>,
    answered: bool,
    ended: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happens {
    Sigterm,
    /// So long later a request is whole.
    Whole(u64),
    Answer,
    /// The server keeps silent until the request's time is up.
    TimeUp,
    End,
}

type Holds = fn(&Drains, &State) -> bool;

/// Name, words, and whether it holds.
pub const RULES: &[(&str, &str, Holds)] = &[
    (
        "no request in hand at the end",
        "A gateway that ends holds no request that it took and has not answered.",
        |_, s| !s.ended || s.answered || s.whole.is_none(),
    ),
    (
        "the window has its whole time",
        "A request that is whole before the drain, or in its window, is not cut short in its time.",
        |_, s| match (s.whole, s.told) {
            (Some((at, due)), Some(told)) if at <= told + ACCEPT_WINDOW => due == at + s.longest,
            (Some((at, due)), None) => due == at + s.longest,
            _ => true,
        },
    ),
    (
        "a gateway ends",
        "A drain ends by the longest time that any request may wait, and the window.",
        |_, s| match (s.drain, s.told) {
            (Some(drain), Some(told)) if s.ended => {
                drain.end() <= told + ACCEPT_WINDOW + s.longest + FINAL_MARGIN
            }
            _ => true,
        },
    ),
];

impl Model for Drains {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let state = |longest| State {
            now: 1,
            longest,
            told: None,
            drain: None,
            whole: None,
            answered: false,
            ended: false,
        };
        LONGEST.into_iter().map(state).collect()
    }

    fn actions(&self, s: &State, actions: &mut Vec<Happens>) {
        if s.ended {
            return;
        }
        if s.told.is_none() {
            actions.push(Happens::Sigterm);
        }
        if s.whole.is_none() {
            let late = |d: &u64| s.drain.is_none_or(|drain| s.now + d < drain.end());
            actions.extend(WHOLE.into_iter().filter(late).map(Happens::Whole));
        }
        if s.whole.is_some() && !s.answered {
            actions.push(Happens::Answer);
            actions.push(Happens::TimeUp);
        }
        if s.drain.is_some() {
            actions.push(Happens::End);
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut s = last.clone();
        match action {
            Happens::Sigterm => {
                s.told = Some(s.now);
                s.drain = Some(Drain::new(s.now, s.longest));
            }
            Happens::Whole(later) => {
                s.now += later;
                let wait = s.drain.map_or(s.longest, |drain| drain.wait(s.now, s.longest));
                s.whole = Some((s.now, s.now + wait));
            }
            Happens::Answer => s.answered = true,
            // The engine answers what is due; the end may come first.
            Happens::TimeUp => {
                let (_, due) = s.whole?;
                let before = s.drain.is_none_or(|drain| due < drain.end());
                (s.now, s.answered) = (s.now.max(due), before);
                s.ended = !before;
            }
            // Once nothing is held; else not before its time.
            Happens::End => {
                let held = s.whole.is_some() && !s.answered;
                if held && s.whole.is_some_and(|(_, due)| due < s.drain.map_or(0, |d| d.end())) {
                    return None;
                }
                s.ended = true;
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        RULES.iter().map(|(name, _, holds)| Property::always(name, *holds)).collect()
    }

    fn format_action(&self, action: &Happens) -> String {
        match action {
            Happens::Sigterm => "the gateway is told to end".into(),
            Happens::Whole(later) => format!("{} ms later a request is whole", later / MS),
            Happens::Answer => "it is answered".into(),
            Happens::TimeUp => "its time is up".into(),
            Happens::End => "the gateway ends".into(),
        }
    }
}

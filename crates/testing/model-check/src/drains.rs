//! Model of a gateway's shutdown: a request that arrives completely at any moment before or after the start of the drain,
//! with any timeout that the settings allow, at servers that answer late or never. The checker runs `lifecycle::drain::Drain`
//! itself. Not modelled: several requests, which are independent of each other here, and the listener's accept queue,
//! which belongs to the operating system.

use lifecycle::drain::{Drain, ACCEPT_WINDOW, FINAL_MARGIN};
use stateright::{Model, Property};

const NS_PER_MS: u64 = 1_000_000;
/// Values of the longest request timeout in the settings.
const LONGEST_TIMEOUTS_NS: [u64; 3] = [400 * NS_PER_MS, 2500 * NS_PER_MS, 4655 * NS_PER_MS];
/// Delays until the complete request arrives, counted from the start of the drain if there is one.
const ARRIVAL_DELAYS_NS: [u64; 6] =
    [0, 171 * NS_PER_MS, ACCEPT_WINDOW, 900 * NS_PER_MS, 2 * ACCEPT_WINDOW, 3000 * NS_PER_MS];

/// The model of a gateway's shutdown.
#[derive(Clone)]
pub struct Drains;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u64,
    longest_timeout: u64,
    drain_started_at: Option<u64>,
    drain: Option<Drain>,
    /// Time at which the complete request arrived, and time at which its answer is due.
    arrival: Option<(u64, u64)>,
    answered: bool,
    ended: bool,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ModelAction {
    Sigterm,
    /// A complete request arrives after this time.
    Arrive(u64),
    Answer,
    /// The server does not answer before the request times out.
    TimeOut,
    End,
}

type Predicate = fn(&Drains, &State) -> bool;

/// The rules: name, description, and the predicate that must hold in every state.
pub const RULES: &[(&str, &str, Predicate)] = &[
    (
        "no request in hand at the end",
        "A gateway that ends has no accepted request that it has not answered.",
        |_, s| !s.ended || s.answered || s.arrival.is_none(),
    ),
    (
        "the window has its whole time",
        "A request that is complete before the drain or within its accept window keeps its full timeout.",
        |_, s| match (s.arrival, s.drain_started_at) {
            (Some((arrived_at, due)), Some(started_at)) if arrived_at <= started_at + ACCEPT_WINDOW => {
                due == arrived_at + s.longest_timeout
            }
            (Some((arrived_at, due)), None) => due == arrived_at + s.longest_timeout,
            _ => true,
        },
    ),
    ("a gateway ends", "A drain ends by the longest request timeout plus the accept window.", |_, s| match (
        s.drain,
        s.drain_started_at,
    ) {
        (Some(drain), Some(started_at)) if s.ended => {
            drain.end() <= started_at + ACCEPT_WINDOW + s.longest_timeout + FINAL_MARGIN
        }
        _ => true,
    }),
];

impl Model for Drains {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        let state = |longest_timeout| State {
            now: 1,
            longest_timeout,
            drain_started_at: None,
            drain: None,
            arrival: None,
            answered: false,
            ended: false,
        };
        LONGEST_TIMEOUTS_NS.into_iter().map(state).collect()
    }

    fn actions(&self, s: &State, actions: &mut Vec<ModelAction>) {
        if s.ended {
            return;
        }
        if s.drain_started_at.is_none() {
            actions.push(ModelAction::Sigterm);
        }
        if s.arrival.is_none() {
            let before_end = |delay: &u64| s.drain.is_none_or(|drain| s.now + delay < drain.end());
            actions.extend(ARRIVAL_DELAYS_NS.into_iter().filter(before_end).map(ModelAction::Arrive));
        }
        if s.arrival.is_some() && !s.answered {
            actions.push(ModelAction::Answer);
            actions.push(ModelAction::TimeOut);
        }
        if s.drain.is_some() {
            actions.push(ModelAction::End);
        }
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let mut s = last.clone();
        match action {
            ModelAction::Sigterm => {
                s.drain_started_at = Some(s.now);
                s.drain = Some(Drain::new(s.now, s.longest_timeout));
            }
            ModelAction::Arrive(delay) => {
                s.now += delay;
                let wait = s.drain.map_or(s.longest_timeout, |drain| drain.wait(s.now, s.longest_timeout));
                s.arrival = Some((s.now, s.now + wait));
            }
            ModelAction::Answer => s.answered = true,
            // The engine answers a request when it is due, unless the drain ends first.
            ModelAction::TimeOut => {
                let (_, due) = s.arrival?;
                let before = s.drain.is_none_or(|drain| due < drain.end());
                (s.now, s.answered) = (s.now.max(due), before);
                s.ended = !before;
            }
            // The gateway ends once no request is unanswered, else only if the answer is due after the end of the drain.
            ModelAction::End => {
                let unanswered = s.arrival.is_some() && !s.answered;
                if unanswered && s.arrival.is_some_and(|(_, due)| due < s.drain.map_or(0, |d| d.end())) {
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

    fn format_action(&self, action: &ModelAction) -> String {
        match action {
            ModelAction::Sigterm => "the gateway receives SIGTERM".into(),
            ModelAction::Arrive(delay) => {
                format!("a complete request arrives {} ms later", delay / NS_PER_MS)
            }
            ModelAction::Answer => "the request is answered".into(),
            ModelAction::TimeOut => "the request times out".into(),
            ModelAction::End => "the gateway ends".into(),
        }
    }
}

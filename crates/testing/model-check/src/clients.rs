//! Model of a client connection: a client that may send an incomplete head, pipeline, stop within a body, not read, or
//! disconnect; SIGTERM and a handover in every state; and eviction by the connection limit.
//! The checker runs `lifecycle::connection::Connection` itself.

use lifecycle::connection::{
    eviction_candidate, Close, Command, Connection, Input, Timeouts, EVICTION_GRACE, UNREAD_ANSWER_TIMEOUT,
};
use stateright::{Model, Property};

/// The model of a client connection.
#[derive(Clone)]
pub struct Clients {
    /// How many requests the client sends.
    pub requests: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    connection: Connection,
    now: u64,
    // Sent by the client: complete heads, whether the next head is incomplete, complete bodies.
    heads_sent: u8,
    head_incomplete: bool,
    /// Whether the latest head started before the previous request was finished. The connection only learns of it once
    /// that request has ended.
    is_pipelined: bool,
    head_started_at: u64,
    bodies_sent: u8,
    // State of the gateway: heads read, requests accepted, answers known, answers written, whether an answer announced
    // the close.
    heads_read: u8,
    accepted: u8,
    answers_known: u8,
    answers_written: u8,
    close_announced: bool,
    last_answer_at: u64,
    /// Whether an accepted request's answer is not completely written yet.
    answer_unfinished: bool,
    drain_count: u8,
    is_draining: bool,
    is_handing_over: bool,
    /// Whether hyper was told to close the connection after the answer.
    is_closing: bool,
    /// Whether the last answer started after a drain or handover.
    last_answer_after_drain: bool,
    pub ended: Option<End>,
    /// Whether the connection was selected for eviction and not closed.
    eviction_failed: bool,
    unexpected_error: bool,
}

/// Cause of the connection's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    ByClient,
    Drained,
    HandedOver,
    Evicted,
    Finished,
    TimedOut,
    /// The gateway closed it before an accepted request was answered completely.
    Cut,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ModelAction {
    PartialHead,
    RestOfHead,
    Body,
    ReadHead,
    Accept,
    Malformed,
    Answer,
    Written,
    Sigterm,
    Handover,
    Evict,
    HeadTimeOut,
    Leave,
    Wait,
}

type Predicate = fn(&Clients, &State) -> bool;

/// The rules: name, description, and the predicate that must hold in every state.
pub const RULES: &[(&str, &str, Predicate)] = &[
    (
        "no answer cut",
        "The gateway closes no connection with an accepted request whose answer is not completely written, unless the client has not read it for long.",
        |_, s| s.ended != Some(End::Cut),
    ),
    (
        "answers in order, one each",
        "Every head that is read gets one answer before the next head is read.",
        |_, s| s.answers_known <= s.heads_read && s.heads_read <= s.answers_known + 1 && s.answers_written <= s.answers_known,
    ),
    (
        "the last answer says so",
        "An answer that starts after the drain announces that the connection closes.",
        |_, s| !s.last_answer_after_drain || s.close_announced,
    ),
    (
        "a drain ends",
        "Once a drain has started and no answer is pending, the connection is closed, even if a head is incomplete.",
        |_, s| {
            let answer_pending = s.answer_unfinished || s.heads_read > s.answers_known || s.answers_known > s.answers_written;
            !s.is_draining || answer_pending || s.ended.is_some()
        },
    ),
    (
        "a handover lets ask",
        "A handover closes only a connection that has had a request and has no further head in progress, except one that started before the previous request ended.",
        |_, s| {
            let idle = !s.head_incomplete && s.heads_sent == s.heads_read;
            s.ended != Some(End::HandedOver) || s.accepted > 0 && (idle || s.is_pipelined)
        },
    ),
    (
        "a head has its time",
        "No connection times out while a head that started less than 2 s ago is arriving, except for the first head and heads behind another request.",
        |_, s| {
            let allowed = !s.head_incomplete || s.is_pipelined || s.answers_known == 0;
            s.ended != Some(End::TimedOut) || allowed || s.now >= s.head_started_at + 2_000_000_000
        },
    ),
    (
        "who has just begun is left alone",
        "A connection is not evicted while its first head is arriving and a byte of it came within the grace period.",
        |_, s| {
            let allowed = !s.head_incomplete || s.is_pipelined || s.accepted > 0 || s.heads_read > s.answers_known;
            s.ended != Some(End::Evicted) || allowed || s.now >= s.head_started_at + EVICTION_GRACE
        },
    ),
    (
        "who is spared makes room",
        "A connection selected for eviction has no answer pending, or its client does not read, and is closed at once.",
        |_, s| !s.eviction_failed,
    ),
    (
        "what happens has a meaning",
        "No input that a client, a drain or the connection limit can cause is an error of the connection's state machine.",
        |_, s| !s.unexpected_error,
    ),
];

impl State {
    fn handle(&mut self, input: Input) -> Command {
        let command = self.connection.handle(self.now, input);
        self.unexpected_error |= command.is_err();
        command.unwrap_or(Command::None)
    }

    fn close(&mut self, reason: Close) {
        match self.handle(Input::Close(reason)) {
            Command::Shut => {
                self.end(match reason {
                    Close::Drain => End::Drained,
                    Close::Handover => End::HandedOver,
                    Close::Evict => End::Evicted,
                });
            }
            Command::Finish => self.is_closing = true,
            Command::None | Command::Answer { .. } => {}
        }
    }

    fn end(&mut self, end: End) {
        // A client that has not read its answer for this long may be disconnected.
        let client_stalled = end == End::Evicted
            && self.heads_read == self.answers_known
            && self.now >= self.last_answer_at + UNREAD_ANSWER_TIMEOUT;
        let cut = matches!(end, End::Drained | End::HandedOver | End::Evicted)
            && self.answer_unfinished
            && !client_stalled;
        self.ended = Some(if cut { End::Cut } else { end });
        self.handle(Input::Disconnected);
    }
}

impl Model for Clients {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            connection: Connection::new(0, Timeouts::default()),
            now: 0,
            heads_sent: 0,
            head_incomplete: false,
            is_pipelined: false,
            head_started_at: 0,
            bodies_sent: 0,
            heads_read: 0,
            accepted: 0,
            answers_known: 0,
            answers_written: 0,
            close_announced: false,
            last_answer_at: 0,
            answer_unfinished: false,
            drain_count: 0,
            is_draining: false,
            is_handing_over: false,
            is_closing: false,
            last_answer_after_drain: false,
            ended: None,
            eviction_failed: false,
            unexpected_error: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<ModelAction>) {
        use ModelAction::*;
        if s.ended.is_some() {
            return;
        }
        if s.heads_sent < self.requests {
            actions.push(if s.head_incomplete { RestOfHead } else { PartialHead });
        }
        if s.bodies_sent < s.heads_sent {
            actions.push(Body);
        }
        // The head is complete, the previous request is answered, and no answer has announced the close.
        if s.heads_sent > s.heads_read
            && s.heads_read == s.answers_known
            && !s.is_closing
            && !s.close_announced
        {
            actions.push(ReadHead);
        }
        if s.heads_read > s.answers_known {
            if s.accepted < s.heads_read {
                if s.bodies_sent >= s.heads_read {
                    actions.push(Accept);
                }
                // Malformed, or its body stops.
                actions.push(Malformed);
            } else {
                actions.push(Answer);
            }
        }
        if s.answers_known > s.answers_written {
            actions.push(Written);
        }
        if s.drain_count < 2 {
            actions.push(Sigterm);
            actions.push(Handover);
        }
        if eviction_candidate([((), &s.connection)].into_iter(), s.now).is_some_and(|(_, wait)| wait == 0) {
            actions.push(Evict);
        }
        if s.connection.read_deadline().is_some_and(|deadline| deadline <= s.now) {
            actions.push(HeadTimeOut);
        }
        actions.push(Leave);
        if s.now < 2 * UNREAD_ANSWER_TIMEOUT {
            actions.push(Wait);
        }
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let mut s = last.clone();
        match action {
            ModelAction::PartialHead => {
                s.head_incomplete = true;
                s.is_pipelined |= s.heads_sent > s.answers_written;
                s.head_started_at = s.now;
                s.handle(Input::Bytes);
            }
            ModelAction::RestOfHead => {
                s.is_pipelined &= s.heads_sent > s.answers_written;
                s.head_incomplete = false;
                s.heads_sent += 1;
                s.handle(Input::Bytes);
            }
            ModelAction::Body => {
                s.bodies_sent += 1;
                // A body that arrives after its answer counts as the first bytes of the next head.
                s.is_pipelined |= s.heads_read == s.answers_written;
                s.handle(Input::Bytes);
            }
            ModelAction::ReadHead => {
                s.heads_read += 1;
                s.handle(Input::Head);
            }
            ModelAction::Accept => {
                s.accepted += 1;
                s.answer_unfinished = true;
                s.handle(Input::Accepted);
            }
            ModelAction::Malformed | ModelAction::Answer => {
                // A malformed request is answered as well, but was not accepted.
                s.accepted = s.heads_read;
                s.answers_known += 1;
                s.last_answer_at = s.now;
                s.last_answer_after_drain = s.is_draining || s.is_handing_over;
                if let Command::Answer { close } = s.handle(Input::Reply) {
                    s.close_announced |= close;
                }
            }
            ModelAction::Written => {
                s.answers_written = s.answers_known;
                s.answer_unfinished = false;
                if s.handle(Input::Flushed) == Command::Shut {
                    s.end(End::Finished);
                }
            }
            ModelAction::Sigterm => {
                s.drain_count += 1;
                s.is_draining = true;
                s.close(Close::Drain);
            }
            ModelAction::Handover => {
                s.drain_count += 1;
                s.is_handing_over = true;
                s.close(Close::Handover);
            }
            ModelAction::Evict => {
                s.close(Close::Evict);
                s.eviction_failed = s.ended.is_none();
            }
            ModelAction::HeadTimeOut => s.end(End::TimedOut),
            ModelAction::Leave => s.end(End::ByClient),
            ModelAction::Wait => {
                s.now += if s.now < EVICTION_GRACE { EVICTION_GRACE } else { UNREAD_ANSWER_TIMEOUT }
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        RULES.iter().map(|(name, _, holds)| Property::always(name, *holds)).collect()
    }

    fn format_action(&self, action: &ModelAction) -> String {
        match action {
            ModelAction::PartialHead => "a part of a head arrives",
            ModelAction::RestOfHead => "the rest of the head arrives",
            ModelAction::Body => "a complete body arrives",
            ModelAction::ReadHead => "the head is read",
            ModelAction::Accept => "the request is complete and valid, and is accepted",
            ModelAction::Malformed => "the request is malformed or its body stops; it is answered with 4xx",
            ModelAction::Answer => "its answer is known",
            ModelAction::Written => "the answer's last byte is written",
            ModelAction::Sigterm => "the gateway drains",
            ModelAction::Handover => "another process takes over",
            ModelAction::Evict => "the connection is selected for eviction",
            ModelAction::HeadTimeOut => "the client has been silent for too long",
            ModelAction::Leave => "the client disconnects",
            ModelAction::Wait => "time passes",
        }
        .into()
    }
}

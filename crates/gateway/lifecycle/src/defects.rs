//! Single wrong lines that a tired person could write, for the checker to find. Compiled in with the feature
//! `defects` only; at most one is active in a process.

use std::sync::atomic::{AtomicU8, Ordering};

macro_rules! defects {
    ($($name:ident, $text:literal, $what:literal;)*) => {
        /// A planted defect.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u8)]
        pub enum Defect { $($name),* }

        /// Every defect with its name and what is wrong with it.
        pub const ALL: &[(Defect, &str, &str)] = &[$((Defect::$name, $text, $what)),*];
    };
}

defects! {
    IdReusedWhileHeld, "id-reused-while-held", "a request is taken in though one with its id is not over";
    NoAbortOnLeave, "no-abort-on-leave", "an attempt that is not out whole goes on after the client has left";
    LeftStillServed, "left-still-served", "a client's leave is told but not noted";
    SendWhileOut, "send-while-out", "a second attempt begins while one is out";
    OneAttemptTooMany, "one-attempt-too-many", "<= for < at the limit of attempts";
    CancelFreesAtOnce, "cancel-frees-at-once", "a cancelled attempt counts as ended before its end is told";
    OutNotCounted, "out-not-counted", "an answer is given as if the attempt that is out could not have run";
    NoAbortOnAnswer, "no-abort-on-answer", "an attempt goes on after the final answer";
    DeadlineOutlivesAnswer, "deadline-outlives-answer", "the overdue guard stays set behind an answer";
    DeadlineOutlivesLife, "deadline-outlives-life", "the overdue guard stays set behind the end of a life";
    OverdueByOne, "overdue-by-one", "< for <= where the overdue guard falls due";
    OverdueSparesAttempts, "overdue-spares-attempts", "the overdue guard leaves requests alone that have an attempt out";
    PanicForgetsAttempts, "panic-forgets-attempts", "after a panic attempts that are out are forgotten";
    WriteAfterAbort, "write-after-abort", "an attempt that was told to stop may write when its connection is up";
    WriteToNewOwner, "write-to-new-owner", "the leave to write does not look at the server's place";
    WriteAfterDrain, "write-after-drain", "the leave to write does not ask whether the server wants new work";
    UndoneTakenForProof, "undone-taken-for-proof", "an attempt that was given up counts as never run, whole or not";
    LateTakenForProof, "late-taken-for-proof", "a time-out does not set the flag that an attempt may have run";
    LateAnswerAccepted, "late-answer-accepted", "an answer that comes after the final one is passed on";
    AnsweredNeverForgotten, "answered-never-forgotten", "a request stays in the table after its last attempt";
    StreamNeverForgotten, "stream-never-forgotten", "a request whose answer was passed on as it came stays in the table";
    OnceForgotten, "once-forgotten", "a request whose body is spent waits for another attempt";
    UnsafeRepeated, "unsafe-repeated", "what must not run twice is sent again";
    KeyOutsideGroup, "key-outside-group", "a keyed repeat goes to a server that does not know the key";
    KeyWindowByOne, "key-window-by-one", "<= for < where servers forget a key";
    RefusedThoughRun, "refused-though-run", "a refusal does not ask whether an attempt may have run";
    TakenNotInHand, "taken-not-in-hand", "a whole request leaves its connection where it was";
    CloseNotSaid, "close-not-said", "the last answer of a connection does not say that it is";
    FinishedStaysOpen, "finished-stays-open", "a connection that was to close idles on after its last answer";
    DrainCutsAnswer, "drain-cuts-answer", "a drain ends a connection while its answer is being written";
    DrainCutsRequest, "drain-cuts-request", "a drain ends a connection with a request in hand";
    HalfHeadKept, "half-head-kept", "a drain waits for the rest of half a head";
    NextHidesAnswer, "next-hides-answer", "once the next head is read, the answer before it counts as written";
    StuckKept, "stuck-kept", "a client that does not read its answer is picked to make room and kept all the same";
    HandoverCutsHead, "handover-cuts-head", "a handover ends a connection on which a head is coming";
    HeadWaitsFromIdle, "head-waits-from-idle", "the time for a head runs while its client idles";
    ProgressIgnored, "progress-ignored", "who is writing a head is picked to make room before who only holds on";
    DrainForgetsDeadline, "drain-forgets-deadline", "a drain ends 3.6 s after it was told, however long requests may wait";
    DrainKeepsLate, "drain-keeps-late", "a request that is whole only after the window keeps all of its time";
    HeadTakenForProof, "head-taken-for-proof", "a reset behind a request's head counts as proof that it never ran";
    EchoIgnored, "echo-ignored", "an answer is passed on without comparing its id";
    SurplusKept, "surplus-kept", "a connection is used again though bytes stand behind its last answer";
    NamelessKept, "nameless-kept", "what must not run twice goes out behind a refusal that bore no id";
    SameConnectionAgain, "same-connection-again", "a further attempt goes out where an earlier one of its request did";
    BusySpared, "busy-spared", "a client with a request in hand makes room for others";
}

const NONE: u8 = u8::MAX;
static ACTIVE: AtomicU8 = AtomicU8::new(NONE);

/// Plants a defect, or with `None` takes it out, for the whole process.
pub fn plant(defect: Option<Defect>) {
    ACTIVE.store(defect.map_or(NONE, |d| d as u8), Ordering::Relaxed);
}

/// Whether this defect is planted in this thread.
pub fn active(defect: Defect) -> bool {
    ACTIVE.load(Ordering::Relaxed) == defect as u8
}

//! Planted defects: plausible one-line mistakes that the checker must find. Compiled in only with the feature `defects`;
//! at most one is active in a process.

use std::sync::atomic::{AtomicU8, Ordering};

macro_rules! defects {
    ($($name:ident, $label:literal, $description:literal;)*) => {
        /// A planted defect.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u8)]
        pub enum Defect { $($name),* }

        /// Every defect with its name and description.
        pub const ALL: &[(Defect, &str, &str)] = &[$((Defect::$name, $label, $description)),*];
    };
}

defects! {
    IdReusedWhileHeld, "id-reused-while-held", "a request is accepted although one with its id is in progress";
    NoAbortOnLeave, "no-abort-on-leave", "an attempt that is not completely written continues after the client has left";
    LeftStillServed, "left-still-served", "a client's leaving is reported to the module but not recorded";
    SendWhileOut, "send-while-out", "a second attempt starts while one is in flight";
    OneAttemptTooMany, "one-attempt-too-many", "<= for < at the maximum number of attempts";
    CancelFreesAtOnce, "cancel-frees-at-once", "a cancelled attempt counts as ended before its end is reported";
    OutNotCounted, "out-not-counted", "an answer is chosen as if the attempt in flight could not have run";
    NoAbortOnAnswer, "no-abort-on-answer", "an attempt continues after the final answer";
    DeadlineOutlivesAnswer, "deadline-outlives-answer", "the deadline stays set after an answer";
    DeadlineOutlivesLife, "deadline-outlives-life", "the deadline stays set after the request has ended";
    OverdueByOne, "overdue-by-one", "< for <= when the deadline falls due";
    OverdueSparesAttempts, "overdue-spares-attempts", "overdue requests with an attempt in flight are not answered";
    PanicForgetsAttempts, "panic-forgets-attempts", "after a panic of the module attempts in flight are forgotten";
    WriteAfterAbort, "write-after-abort", "an aborted attempt may write when its connection is established";
    WriteToNewOwner, "write-to-new-owner", "the check before writing ignores the server's address";
    WriteAfterDrain, "write-after-drain", "the check before writing ignores whether the server accepts new requests";
    UndoneTakenForProof, "undone-taken-for-proof", "a cancelled attempt counts as never run, completely written or not";
    LateTakenForProof, "late-taken-for-proof", "a timeout does not record that an attempt may have run";
    LateAnswerAccepted, "late-answer-accepted", "an answer that arrives after the final answer is passed on";
    AnsweredNeverForgotten, "answered-never-forgotten", "a request stays in the table after its last attempt";
    StreamNeverForgotten, "stream-never-forgotten", "a request with a streamed answer stays in the table";
    OnceForgotten, "once-forgotten", "a request whose body is consumed waits for another attempt";
    UnsafeRepeated, "unsafe-repeated", "a request that must not run twice is sent again";
    KeyOutsideGroup, "key-outside-group", "a keyed request is retried on a server that does not know the key";
    KeyWindowByOne, "key-window-by-one", "<= for < at the time when servers forget a key";
    RefusedThoughRun, "refused-though-run", "a refusal ignores whether an attempt may have run";
    TakenNotInHand, "taken-not-in-hand", "a complete request leaves its connection's state unchanged";
    CloseNotSaid, "close-not-said", "the last answer of a connection does not announce the close";
    FinishedStaysOpen, "finished-stays-open", "a connection that should close stays open after its last answer";
    DrainCutsAnswer, "drain-cuts-answer", "a drain closes a connection while its answer is being written";
    DrainCutsRequest, "drain-cuts-request", "a drain closes a connection with a request in progress";
    HalfHeadKept, "half-head-kept", "a drain waits for the rest of an incomplete head";
    NextHidesAnswer, "next-hides-answer", "once the next head is read, the previous answer counts as written";
    StuckKept, "stuck-kept", "a client that does not read its answer is chosen for eviction and kept nevertheless";
    HandoverCutsHead, "handover-cuts-head", "a handover closes a connection on which a head is arriving";
    HeadWaitsFromIdle, "head-waits-from-idle", "the head timeout runs while the client is idle";
    ProgressIgnored, "progress-ignored", "a client that is sending a head is evicted before a silent one";
    DrainForgetsDeadline, "drain-forgets-deadline", "a drain ends 3.6 s after the shutdown request, however long requests may wait";
    DrainKeepsLate, "drain-keeps-late", "a request completed after the accept window keeps its full timeout";
    HeadTakenForProof, "head-taken-for-proof", "a reset after a request's head counts as proof that it never ran";
    EchoIgnored, "echo-ignored", "an answer is passed on without comparing its id";
    SurplusKept, "surplus-kept", "a connection is reused although bytes follow its last answer";
    NamelessKept, "nameless-kept", "a request that must not run twice is sent after a rejection without an id";
    SameConnectionAgain, "same-connection-again", "a retry is sent on the connection of an earlier attempt of its request";
    BusySpared, "busy-spared", "a client with a request in progress is evicted";
}

const NONE: u8 = u8::MAX;
static ACTIVE: AtomicU8 = AtomicU8::new(NONE);

/// Activates a defect for the whole process; `None` deactivates it.
pub fn plant(defect: Option<Defect>) {
    ACTIVE.store(defect.map_or(NONE, |d| d as u8), Ordering::Relaxed);
}

/// Returns whether this defect is active in this process.
pub fn active(defect: Defect) -> bool {
    ACTIVE.load(Ordering::Relaxed) == defect as u8
}

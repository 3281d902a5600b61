//! Defects to plant, each of which some simulated world must find.

/// A way to get a prompter wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Messages go out before what they rest on is on the disk.
    SendBeforeSync,
    /// Whoever leads answers reads without asking anybody.
    ReadAlone,
    /// A change is acknowledged when it is proposed.
    AckBeforeAgreed,
    /// The leader lends for a second beyond its lease.
    LeasePastItsEnd,
    /// Two changes on one base are both taken.
    BaseIgnored,
    /// A drain is acknowledged before it is agreed on.
    DrainForgotten,
    /// A prompter that begins again votes at once, though it may have promised not to.
    NoSilenceAfterStart,
    /// The keeper lends the even parts of those that it does not hear.
    EvenPartsLentToo,
    /// A trial is over when the leader's own clock says so.
    HoldersClock,
    /// A new keeper does not know whose trial is over.
    OverForgotten,
    /// A prompter that has lost the majority goes on telling gateways that it is in touch.
    StaysInTouch,
    /// To have heard the leader is taken for contact with a majority.
    HearingIsTouch,
    /// What rests on a save is said though the disk refused it.
    SpeaksWithoutDisk,
    /// Whoever is asked decides on an order by what it knows itself, without asking a majority.
    DecidesAlone,
    /// Only the newest order is known again when it is sent again.
    OrderForgotten,
    /// An order with a number that was taken is confirmed, whatever its bytes.
    NumberIsEnough,
    /// The base is looked at before whether that very order was taken.
    BaseFirst,
    /// The snapshot knows the newest order alone.
    SnapshotForgets,
    /// The log is folded, and the state stays the old one.
    OldSnapshot,
    /// A prompter that was cut off ends the backends that it did not hear.
    DeafEndsLives,
    /// A backend that others name by its id alone is not asked for where it is not known.
    UnknownIgnored,
    /// A scene does not name those who leave.
    SceneForgetsDrains,
    /// A pulse does not say that there is a newer configuration, which is still on its way.
    PulseHidesNewest,
    /// Nobody who is not among the first voters ever votes.
    NewcomerNeverVotes,
}

#[cfg(feature = "simulation")]
impl Defect {
    /// All of them.
    pub const ALL: [Defect; 24] = [
        Defect::SendBeforeSync,
        Defect::ReadAlone,
        Defect::AckBeforeAgreed,
        Defect::LeasePastItsEnd,
        Defect::BaseIgnored,
        Defect::DrainForgotten,
        Defect::NoSilenceAfterStart,
        Defect::EvenPartsLentToo,
        Defect::HoldersClock,
        Defect::OverForgotten,
        Defect::StaysInTouch,
        Defect::HearingIsTouch,
        Defect::SpeaksWithoutDisk,
        Defect::DecidesAlone,
        Defect::OrderForgotten,
        Defect::NumberIsEnough,
        Defect::BaseFirst,
        Defect::SnapshotForgets,
        Defect::OldSnapshot,
        Defect::DeafEndsLives,
        Defect::UnknownIgnored,
        Defect::SceneForgetsDrains,
        Defect::PulseHidesNewest,
        Defect::NewcomerNeverVotes,
    ];
}

impl crate::Prompter {
    /// Whether this defect was planted; never in what ships.
    pub(crate) fn has(&self, _defect: Defect) -> bool {
        #[cfg(feature = "simulation")]
        return self.defect == Some(_defect);
        #[cfg(not(feature = "simulation"))]
        false
    }
}

//! Defects to plant, each of which some seed must find.

/// A way to get it wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// In a control node itself.
    ControlNode(control_node::Defect),
    /// A machine whose disk was lost comes back as the voter that it was.
    WipedVotes,
    /// A gateway that is alone passes whatever comes.
    AloneAndFree,
    /// The log is cut short at each start.
    TailLost,
    /// A gateway that is alone lets a tenant on trial go at full speed.
    FullWhileAlone,
    /// A slowed tenant's requests are refused, not made to wait.
    RefusedAtOnce,
    /// A slowed tenant's requests go without a turn.
    PaceIgnored,
    /// At its start one takes its snapshot and nothing of the log behind it.
    LogTruncatedAtStart,
    /// A gateway's fallback share has no end.
    FallbackWithoutEnd,
}

impl Defect {
    /// All of them.
    pub fn all() -> impl Iterator<Item = Defect> {
        let own = [
            Defect::WipedVotes,
            Defect::AloneAndFree,
            Defect::TailLost,
            Defect::FullWhileAlone,
            Defect::RefusedAtOnce,
            Defect::PaceIgnored,
            Defect::LogTruncatedAtStart,
            Defect::FallbackWithoutEnd,
        ];
        control_node::Defect::ALL.into_iter().map(Defect::ControlNode).chain(own)
    }

    /// As it is planted in a control node; none: it is planted in the world.
    pub fn planted(self) -> Option<control_node::Defect> {
        match self {
            Defect::ControlNode(planted) => Some(planted),
            _ => None,
        }
    }

    /// Its name on a command line.
    pub fn name(self) -> String {
        let told = match self {
            Defect::ControlNode(planted) => format!("{planted:?}"),
            own => format!("{own:?}"),
        };
        let mut name = String::new();
        for c in told.chars() {
            if c.is_ascii_uppercase() && !name.is_empty() {
                name.push('-');
            }
            name.push(c.to_ascii_lowercase());
        }
        name
    }
}

//! Planted defects, each of which some seed must find.

/// A planted defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A defect in a control node itself.
    ControlNode(control_node::Defect),
    /// A machine that lost its disk comes back under the same voter identity.
    WipedVotes,
    /// An isolated gateway passes every request.
    AloneAndFree,
    /// The last entry of the log is dropped at each start.
    TailLost,
    /// An isolated gateway passes a trial tenant at full speed.
    FullWhileAlone,
    /// A throttled tenant's requests are refused instead of queued.
    RefusedAtOnce,
    /// A throttled tenant's requests pass without waiting for their turn.
    PaceIgnored,
    /// A node starts from its snapshot without the log entries after it.
    LogTruncatedAtStart,
    /// A gateway's fallback share never expires.
    FallbackWithoutEnd,
    /// A control node reads its settings at its start and at a signal only.
    SettingsReadOnce,
}

impl Defect {
    /// Returns all defects.
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
            Defect::SettingsReadOnce,
        ];
        control_node::Defect::ALL.into_iter().map(Defect::ControlNode).chain(own)
    }

    /// Returns the defect to plant in a control node, or `None` if it is planted in the simulation.
    pub fn control_node_defect(self) -> Option<control_node::Defect> {
        match self {
            Defect::ControlNode(control_node_defect) => Some(control_node_defect),
            _ => None,
        }
    }

    /// Returns its name on the command line.
    pub fn name(self) -> String {
        let variant = match self {
            Defect::ControlNode(control_node_defect) => format!("{control_node_defect:?}"),
            own => format!("{own:?}"),
        };
        let mut name = String::new();
        for c in variant.chars() {
            if c.is_ascii_uppercase() && !name.is_empty() {
                name.push('-');
            }
            name.push(c.to_ascii_lowercase());
        }
        name
    }
}

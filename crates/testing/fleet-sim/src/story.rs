//! A story: the file form of a shrunk run that breaks a rule, to be replayed and kept as a regression test.

use crate::shrink::Cuts;
use crate::spec::{Spec, MS};
use crate::world::{play_with_cuts, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A shrunk failing run: the world, the seed, the parts removed and the rule that is broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Story {
    pub world: String,
    pub seed: u64,
    /// Duration of the request load in seconds, 1 to 3600.
    pub seconds: u64,
    /// The rule that is broken, and the virtual time of the violation in milliseconds.
    pub rule: String,
    pub at_ms: f64,
    /// The planted defect, if any. Without it the rule holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub defect: Option<String>,
    #[serde(default)]
    pub faults_left_out: BTreeSet<u64>,
    #[serde(default)]
    pub customers_left_out: BTreeSet<usize>,
    /// Number of times the delays that follow a fault are halved, keyed by the fault's number. The files
    /// name this key `sooner`.
    #[serde(default, rename = "sooner")]
    pub delay_halvings: BTreeMap<String, u32>,
}

impl Story {
    /// Creates the story of a shrunk world.
    pub fn new(spec: &Spec, seed: u64, cuts: &Cuts, broken: &crate::Violation, defect: Option<&str>) -> Self {
        Story {
            world: spec.name.into(),
            seed,
            seconds: spec.seconds,
            rule: broken.rule.into(),
            at_ms: broken.at as f64 / MS as f64,
            defect: defect.map(Into::into),
            faults_left_out: cuts.faults.clone(),
            customers_left_out: cuts.customers.clone(),
            delay_halvings: cuts.delay_halvings.iter().map(|(n, by)| (n.to_string(), *by)).collect(),
        }
    }

    /// Parses a story file.
    ///
    /// # Errors
    /// Returns a one-line description of the first problem found.
    pub fn read(text: &str) -> Result<Self, String> {
        let story: Story = toml::from_str(text).map_err(|e| e.to_string().trim().replace('\n', " "))?;
        if Spec::named(&story.world).is_none() {
            return Err(format!("no world is named {:?}", story.world));
        }
        if !(1..=3600).contains(&story.seconds) {
            return Err(format!("seconds is {}: must be 1 to 3600", story.seconds));
        }
        if let Some(bad) = story.delay_halvings.iter().find(|(n, by)| n.parse::<u64>().is_err() || **by > 20)
        {
            return Err(format!("sooner: {} = {}: must be a fault's number and 0 to 20", bad.0, bad.1));
        }
        Ok(story)
    }

    /// Serialises the story as the text of its file.
    ///
    /// # Errors
    /// Returns the serialiser's error.
    pub fn write(&self) -> Result<String, String> {
        toml::to_string(self).map_err(|e| e.to_string())
    }

    /// Replays the story. The caller plants the defect.
    pub fn play(&self, keep_story: bool) -> Option<Outcome> {
        let spec = Spec { seconds: self.seconds, ..Spec::named(&self.world)? };
        let cuts = Cuts {
            faults: self.faults_left_out.clone(),
            customers: self.customers_left_out.clone(),
            delay_halvings: self
                .delay_halvings
                .iter()
                .filter_map(|(n, by)| Some((n.parse().ok()?, *by)))
                .collect(),
        };
        Some(play_with_cuts(&spec, self.seed, keep_story, &cuts))
    }
}

#[cfg(test)]
mod tests;

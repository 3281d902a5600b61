//! Zones: a request stays in its gateway's zone until that zone's use passes a stated part of its room; then so much
//! leaves as brings both to the same use, and never more than keeps the other zone under its aim.

/// One zone of a pool as a gateway sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Zone {
    /// What is in flight there, and what its ready servers have room for; same unit.
    pub used: f64,
    pub capacity: f64,
}

impl Zone {
    fn utilisation(&self) -> f64 {
        if self.capacity > 0.0 {
            self.used / self.capacity
        } else {
            f64::INFINITY
        }
    }
}

/// When work leaves its zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spill {
    /// Above this use of the own zone, 0 to 1.
    pub threshold: f64,
    /// The other zone is not brought above this, 0 to 1.
    pub max_target_utilisation: f64,
}

impl Default for Spill {
    fn default() -> Self {
        Spill { threshold: 0.7, max_target_utilisation: 0.8 }
    }
}

/// What part of new work goes to each zone; the parts sum to 1, or to 0 if there is no room anywhere. `own`: the
/// gateway's zone by its place.
///
/// The own zone keeps what its room up to `above` covers. The rest goes where the use is least under `aim`, in
/// proportion to the room left there; what finds none stays at home, and is refused there if need be.
pub fn zone_shares(zones: &[Zone], own: usize, spill: Spill) -> Vec<f64> {
    let mut parts = vec![0.0; zones.len()];
    let Some(home) = zones.get(own).copied() else { return shares_by_capacity(zones) };
    if home.capacity <= 0.0 {
        return shares_by_capacity(zones);
    }
    if home.utilisation() <= spill.threshold {
        parts[own] = 1.0;
        return parts;
    }
    // By how much the home zone is over what it is to hold, as a part of what it has.
    let over = ((home.used - spill.threshold * home.capacity) / home.used.max(1e-9)).clamp(0.0, 1.0);
    let left: Vec<f64> = zones
        .iter()
        .enumerate()
        .map(
            |(n, z)| {
                if n == own {
                    0.0
                } else {
                    (spill.max_target_utilisation * z.capacity - z.used).max(0.0)
                }
            },
        )
        .collect();
    let sum: f64 = left.iter().sum();
    let out = (over * home.used).min(sum) / home.used.max(1e-9);
    parts[own] = 1.0 - out;
    if sum > 0.0 {
        left.iter().zip(&mut parts).for_each(|(l, p)| *p += out * l / sum);
    }
    parts
}

/// No home: by room.
fn shares_by_capacity(zones: &[Zone]) -> Vec<f64> {
    let sum: f64 = zones.iter().map(|z| z.capacity.max(0.0)).sum();
    zones.iter().map(|z| if sum > 0.0 { z.capacity.max(0.0) / sum } else { 0.0 }).collect()
}

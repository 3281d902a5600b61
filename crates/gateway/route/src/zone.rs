//! Zone-aware routing: requests stay in their gateway's zone until its utilisation exceeds a threshold. Then the excess
//! spills over to other zones, up to a maximum utilisation of each.

/// One zone of a pool as a gateway sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Zone {
    /// Work in flight in the zone, in the unit of `capacity`.
    pub used: f64,
    /// Capacity of the zone's ready servers.
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

/// Limits for work that leaves its zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spill {
    /// Utilisation of the own zone above which work spills over, 0 to 1.
    pub threshold: f64,
    /// Utilisation above which other zones receive no spilled work, 0 to 1.
    pub max_target_utilisation: f64,
}

impl Default for Spill {
    fn default() -> Self {
        Spill { threshold: 0.7, max_target_utilisation: 0.8 }
    }
}

/// Returns the share of new work for each zone; the shares add up to 1, or to 0 if there is no capacity anywhere. `own`
/// is the index of the gateway's zone.
///
/// The own zone keeps the work up to `threshold` of its capacity. The rest is spread over the other zones in proportion
/// to their headroom below `max_target_utilisation`. Work without headroom elsewhere stays in the own zone and
/// may be refused there.
pub fn zone_shares(zones: &[Zone], own: usize, spill: Spill) -> Vec<f64> {
    let mut shares = vec![0.0; zones.len()];
    let Some(own_zone) = zones.get(own).copied() else { return shares_by_capacity(zones) };
    if own_zone.capacity <= 0.0 {
        return shares_by_capacity(zones);
    }
    if own_zone.utilisation() <= spill.threshold {
        shares[own] = 1.0;
        return shares;
    }
    // Excess of the own zone over its threshold, as a share of its work.
    let excess =
        ((own_zone.used - spill.threshold * own_zone.capacity) / own_zone.used.max(1e-9)).clamp(0.0, 1.0);
    let headroom: Vec<f64> = zones
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
    let total: f64 = headroom.iter().sum();
    let spilled = (excess * own_zone.used).min(total) / own_zone.used.max(1e-9);
    shares[own] = 1.0 - spilled;
    if total > 0.0 {
        headroom.iter().zip(&mut shares).for_each(|(h, s)| *s += spilled * h / total);
    }
    shares
}

/// Returns shares in proportion to capacity, for a gateway whose own zone is unknown or has no capacity.
fn shares_by_capacity(zones: &[Zone]) -> Vec<f64> {
    let total: f64 = zones.iter().map(|z| z.capacity.max(0.0)).sum();
    zones.iter().map(|z| if total > 0.0 { z.capacity.max(0.0) / total } else { 0.0 }).collect()
}

//! A hundred gateways in front of sixty servers, six in ten of which start cold: the gateways' independent
//! decisions must be right for the whole fleet.

use fleet_sim::{play, Spec};

#[test]
fn a_fleet_uses_its_cold_servers_and_pushes_none_over() {
    let (mut asked, mut served) = (0.0, 0.0);
    for seed in 0..6 {
        let world = Spec::named("vast").expect("a world of this name");
        let outcome = play(&world, seed, false);
        assert_eq!(outcome.violation, None, "seed {seed}");
        assert_eq!(outcome.stats.collapsed, 0, "seed {seed}: cold servers pushed over");
        asked += outcome.stats.worth_asked;
        served += outcome.stats.worth_served;
    }
    let goodput = served / asked;
    assert!(goodput > BOUND, "{goodput} of the worth asked inside quotas is served within the aim");
}

/// Measured goodput is 0.805. It was 0.749 when cold servers received only what warm ones could not take, and
/// 0.727 with 16 servers drawn anew for each request.
const BOUND: f64 = 0.775;

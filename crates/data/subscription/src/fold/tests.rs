//! Nothing goes back, and nothing that lives is ended by a word that is not whole.

use super::*;

fn fact(id: &str, sequence: u64, draining: bool) -> Fact {
    let (id, address) = (id.to_string(), format!("{id}:1"));
    Fact { id, address, service: "s".into(), sequence, draining, ..Fact::default() }
}

fn configuration(place: u64) -> Arc<Configuration> {
    Arc::new(Configuration { version: place as u32, place, body: vec![] })
}

fn scene(backends: &[Fact], whole: bool) -> Scene {
    Scene { backends: backends.to_vec(), whole, ..Scene::default() }
}

#[test]
fn nothing_goes_back_whoever_tells() {
    let mut f = Fold::default();
    assert_eq!(f.configuration(configuration(5)).len(), 1);
    assert_eq!(f.scene(0, scene(&[fact("a", 1, false)], true)).len(), 1);
    assert_eq!(f.change(Change::Leaving("a".into())), [News::Leaving("a".into())]);
    // A slower prompter: an older configuration, and the backend still takes work there.
    assert_eq!(f.configuration(configuration(4)), []);
    assert_eq!(f.scene(0, scene(&[fact("a", 3, false)], true)), []);
    assert_eq!(f.change(Change::Backend(fact("a", 4, false))), []);
    assert_eq!(f.change(Change::Over("a".into())), [News::Over("a".into())]);
    assert_eq!(f.change(Change::Backend(fact("a", 5, false))), [], "also when it is told as new");
}

#[test]
fn a_young_prompter_ends_nobody_at_once() {
    let mut f = Fold::default();
    f.scene(0, scene(&[fact("a", 1, false), fact("b", 1, false)], true));
    assert_eq!(f.scene(10, scene(&[fact("b", 2, false)], false)), []);
    assert_eq!(f.sweep(10 + DOUBT - 1), []);
    let mut told = f.clone();
    told.change(Change::Backend(fact("a", 3, false)));
    assert_eq!(told.sweep(10 + DOUBT), [], "it was heard of since");
    assert_eq!(f.sweep(10 + DOUBT), [News::Over("a".into())]);
    assert_eq!(f.scene(20, scene(&[], true)), [News::Over("b".into())]);
}

/// `rehearsal`, seed 1031: a gateway that had no link for seven seconds took a backend that lived for over with the first word behind
/// that, since it had been in doubt for long by then.
#[test]
fn who_is_in_doubt_is_so_for_no_longer_while_nobody_tells() {
    let mut f = Fold::default();
    f.scene(0, scene(&[fact("a", 1, false)], true));
    f.scene(10, scene(&[], false));
    f.linked(DOUBT);
    assert_eq!(f.sweep(10 + DOUBT), []);
    assert_eq!(f.sweep(2 * DOUBT), [News::Over("a".into())]);
}

/// `rehearsal`, seed 11: a young prompter heard of it by an earlier beat than the one that the gateway knew of, and the gateway took
/// a backend that lived for over eight seconds later.
#[test]
fn whoever_is_named_again_is_in_doubt_no_more_however_old_the_word() {
    let mut f = Fold::default();
    f.scene(0, scene(&[fact("a", 9, false), fact("b", 9, false)], true));
    f.scene(10, scene(&[], false));
    assert_eq!(f.change(Change::Backend(fact("a", 4, false))), []);
    f.scene(20, scene(&[fact("b", 4, false)], false));
    f.scene(30, scene(&[fact("a", 4, false), fact("b", 4, false)], false));
    assert_eq!(f.sweep(30 + DOUBT), []);
    assert!(f.takes_work("a") && f.takes_work("b"));
}

#[test]
fn a_gateway_that_lives_for_long_hears_every_drain_and_forgets_those_that_are_over() {
    let mut f = Fold::default();
    f.scene(0, scene(&[fact("old", 1, false), fact("new", 1, false)], true));
    f.change(Change::Leaving("old".into()));
    for n in 0..LEAVING + 10 {
        f.change(Change::Leaving(format!("i-{n}")));
    }
    assert_eq!(f.leaving.len(), LEAVING);
    assert_eq!(f.change(Change::Leaving("new".into())), [News::Leaving("new".into())], "though all is full");
    // The first is remembered for as long as it is there.
    assert_eq!(f.change(Change::Backend(fact("old", 2, false))), []);
    assert!(f.leaving.contains("old") && !f.leaving.contains("i-0"));
    f.change(Change::Over("old".into()));
    f.change(Change::Leaving("one more".into()));
    assert!(!f.leaving.contains("old"));
}

#[test]
fn a_drain_known_before_its_backend_counts() {
    let mut f = Fold::default();
    assert_eq!(f.change(Change::Leaving("a".into())), []);
    assert_eq!(f.change(Change::Backend(fact("a", 1, false))), []);
    assert_eq!(f.change(Change::Backend(fact("b", 1, true))), []);
}

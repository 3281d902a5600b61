//! What one process of a gateway leaves for the next: stores and ceilings go on, whatever is garbled changes nothing.

use granitehub::*;

const SEC: Time = 1_000_000_000;
const START: Time = 100 * SEC;

fn settings() -> Settings {
    let plan = Plan { hard_limit_rate: 2.0, hard_limit_burst: 40.0, ..Plan::new("partner", 1.0, 20.0) };
    Settings {
        gateways: 2,
        classes: vec![Class::new("quote", SEC, 4 * SEC, Effect::Safe, Group::All)],
        plans: vec![plan],
        meter_period: SEC,
        max_units: 8.0,
        ..Settings::default()
    }
}

fn gateway(now: Time) -> Gateway {
    let mut gateway = Gateway::new(settings(), 1, now).expect("settings in range");
    let nodes = (0..9).map(|n| Node::new(&format!("s-{n}"), Health::Up)).collect();
    gateway.handle(now, vec![Event::Fleet { seq: 1, scope: Scope::Cached, nodes }], &mut Vec::new());
    gateway
}

/// How many of so many requests of one unit are sent on at once; each is answered.
fn passed(gateway: &mut Gateway, now: Time, ids: std::ops::Range<u64>) -> usize {
    let mut sent = 0;
    for id in ids {
        let mut out = Vec::new();
        let request = Request::new(id, 0, 0, "c-1", now + 4 * SEC, 1.0);
        gateway.handle(now, vec![Event::Request(request)], &mut out);
        for action in out {
            let Action::Send { id, server, .. } = action else { continue };
            sent += 1;
            let (ending, last, elapsed) = (Ending::Success, true, SEC / 20);
            let (attempt, settled, metered, load) = (0, 0.0, None, None);
            let end = AttemptEnd { id, attempt, server, ending, last, elapsed, settled, metered, load };
            gateway.handle(now, vec![Event::AttemptEnd(end)], &mut Vec::new());
        }
    }
    sent
}

#[test]
fn a_burst_is_given_once_whatever_processes_there_are() {
    let mut old = gateway(START);
    let now = START + 30 * SEC;
    let first = passed(&mut old, now, 0..60);
    assert!(first >= 20, "{first}: its store, at the least");
    let mut alone = gateway(now);
    alone.import_state(now, &old.export_state()).expect("of this version");
    let again = passed(&mut alone, now, 100..160);
    let old_again = passed(&mut old, now, 200..260);
    assert!(
        again.abs_diff(old_again) <= 10 && again < first / 2,
        "{again}, the old one {old_again}, {first} at first"
    );
}

/// A ceiling begins empty, since a process can't tell that it is the first. One that goes on with another's can.
#[test]
fn a_ceiling_goes_on_where_it_stood() {
    let old = gateway(START);
    let now = START + 60 * SEC;
    assert_eq!(passed(&mut gateway(now), now, 0..10), 0, "it may have been passed a moment ago");
    let mut new = gateway(now);
    new.import_state(now, &old.export_state()).expect("of this version");
    assert_eq!(passed(&mut new, now, 0..10), 10);
}

/// Both serve for a moment: what either let pass is gone.
#[test]
fn what_the_new_one_let_pass_before_counts_too() {
    let (mut old, mut new) = (gateway(START), gateway(START));
    let now = START + 30 * SEC;
    passed(&mut old, now, 0..10);
    let early = passed(&mut new, now, 100..110);
    assert_eq!(early, 10);
    new.import_state(now, &old.export_state()).expect("of this version");
    let rest = passed(&mut new, now, 200..260);
    let mut fresh = gateway(START);
    let whole = passed(&mut fresh, now, 300..380);
    assert!(rest + 20 <= whole + 10, "{rest} after 20, beside {whole} from a full store");
}

#[test]
fn what_is_garbled_is_refused_whole() {
    let mut old = gateway(START);
    passed(&mut old, START + SEC, 0..30);
    let text = old.export_state();
    let mut new = gateway(START + SEC);
    for cut in (0..text.len()).step_by(37) {
        assert!(new.import_state(START + SEC, &text[..cut]).is_err(), "cut at {cut}");
    }
    for (from, to) in [
        (r#""version":1"#, r#""version":2"#),
        (r#""plan":0"#, r#""plan":7"#),
        (r#""spread":1.0"#, r#""spread":0.0"#),
        (r#""room":"#, r#""room":-"#),
        (r#""usual":["#, r#""usual":[1.0,"#),
    ] {
        assert!(text.contains(from), "{from} in {text}");
        assert!(new.import_state(START + SEC, &text.replace(from, to)).is_err(), "{from} -> {to}");
    }
    assert_eq!(new.export_state(), gateway(START + SEC).export_state(), "nothing has changed");
}

/// Its clock may be a little ahead of ours.
#[test]
fn times_ahead_of_now_do_no_harm() {
    let mut old = gateway(START);
    passed(&mut old, START + 9 * SEC, 0..30);
    let mut new = gateway(START);
    new.import_state(START, &old.export_state()).expect("of this version");
    passed(&mut new, START, 100..110);
    passed(&mut new, START + 20 * SEC, 200..210);
}

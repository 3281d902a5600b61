//! State that one process of a gateway exports for its successor: buckets and hard limits continue, and a garbled
//! export changes nothing.

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

/// Sends a request of one unit for each id and returns how many are forwarded at once. Each forwarded one succeeds.
fn count_sent(gateway: &mut Gateway, now: Time, ids: std::ops::Range<u64>) -> usize {
    let mut sent = 0;
    for id in ids {
        let mut actions = Vec::new();
        let request = Request::new(id, 0, 0, "c-1", now + 4 * SEC, 1.0);
        gateway.handle(now, vec![Event::Request(request)], &mut actions);
        for action in actions {
            let Action::Send { id, server, .. } = action else { continue };
            sent += 1;
            let (ending, last, elapsed) = (Ending::Success, true, SEC / 20);
            let (attempt, settled, metered, load) = (0, 0.0, None, None);
            let attempt_end =
                AttemptEnd { id, attempt, server, ending, last, elapsed, settled, metered, load };
            gateway.handle(now, vec![Event::AttemptEnd(attempt_end)], &mut Vec::new());
        }
    }
    sent
}

#[test]
fn an_imported_state_does_not_grant_a_burst_twice() {
    let mut old = gateway(START);
    let now = START + 30 * SEC;
    let first_burst = count_sent(&mut old, now, 0..60);
    assert!(first_burst >= 20, "{first_burst}: at least a full bucket");
    let mut successor = gateway(now);
    successor.import_state(now, &old.export_state()).expect("a supported version");
    let successor_sent = count_sent(&mut successor, now, 100..160);
    let old_sent = count_sent(&mut old, now, 200..260);
    assert!(
        successor_sent.abs_diff(old_sent) <= 10 && successor_sent < first_burst / 2,
        "{successor_sent}, the old process {old_sent}, {first_burst} at first"
    );
}

/// The bucket of a hard limit starts empty, since a process can't know whether it is the first. An imported state says
/// how full it is.
#[test]
fn a_hard_limit_continues_at_its_imported_level() {
    let old = gateway(START);
    let now = START + 60 * SEC;
    assert_eq!(count_sent(&mut gateway(now), now, 0..10), 0, "the limit may have been used up just before");
    let mut new = gateway(now);
    new.import_state(now, &old.export_state()).expect("a supported version");
    assert_eq!(count_sent(&mut new, now, 0..10), 10);
}

/// Both processes serve for a moment: the requests that either sent are charged.
#[test]
fn requests_sent_before_the_import_count_too() {
    let (mut old, mut new) = (gateway(START), gateway(START));
    let now = START + 30 * SEC;
    count_sent(&mut old, now, 0..10);
    let early = count_sent(&mut new, now, 100..110);
    assert_eq!(early, 10);
    new.import_state(now, &old.export_state()).expect("a supported version");
    let sent_after_import = count_sent(&mut new, now, 200..260);
    let mut fresh = gateway(START);
    let full_burst = count_sent(&mut fresh, now, 300..380);
    assert!(
        sent_after_import + 20 <= full_burst + 10,
        "{sent_after_import} after 20, compared with {full_burst} from a full bucket"
    );
}

#[test]
fn a_garbled_state_is_refused_entirely() {
    let mut old = gateway(START);
    count_sent(&mut old, START + SEC, 0..30);
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

/// The exporting process's clock may be slightly ahead: importing its state must not panic.
#[test]
fn times_ahead_of_now_do_no_harm() {
    let mut old = gateway(START);
    count_sent(&mut old, START + 9 * SEC, 0..30);
    let mut new = gateway(START);
    new.import_state(START, &old.export_state()).expect("a supported version");
    count_sent(&mut new, START, 100..110);
    count_sent(&mut new, START + 20 * SEC, 200..210);
}

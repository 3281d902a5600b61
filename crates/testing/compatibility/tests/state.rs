//! The replicated state and its commands, as encoded in the log, in snapshots and on disks.

use compatibility::Golden;
use control_state::{body_digest, ApplyOutcome, Command, ControlState};

fn configuration(base: u32, version: u32, fill: u8) -> Command {
    Command::ReplaceConfiguration { base, version, body: vec![fill; 20] }
}

#[test]
fn commands_keep_their_bytes() {
    let mut golden = Golden::open("commands");
    let commands = [
        ("configuration", configuration(0, 1, b'x')),
        (
            "change",
            Command::ConfigurationDelta {
                base: 1,
                version: 2,
                digest: body_digest(b"new"),
                delta: vec![1, 2, 3],
            },
        ),
        ("drain", Command::Drain { instance: "i-1".into() }),
        ("gateway", Command::AddGateway { name: "edge-1".into() }),
        ("gateway-removed", Command::RemoveGateway { name: "edge-1".into(), term: 7 }),
        ("trial-expired", Command::ExpireTrial { tenant: "t1".into(), ends_at: 1_798_758_000_000 }),
    ];
    for (name, command) in &commands {
        let recorded = golden.assert_bytes(name, &command.encode());
        assert_eq!(Command::decode(&recorded).as_ref(), Some(command), "{name}");
    }
    assert_eq!(golden.len(), commands.len());
}

/// A long configuration that differs little between versions, so that its delta becomes the log entry.
fn long_configuration(version: u32) -> Vec<u8> {
    let routes: Vec<String> =
        (0..600).map(|n| format!(r#"{{"name":"route-{n}","timeoutMs":{n}}}"#)).collect();
    format!(r#"{{"configVersion":"{version}","routes":[{}]}}"#, routes.join(",")).into_bytes()
}

#[test]
fn the_state_keeps_its_bytes() {
    let mut golden = Golden::open("state");
    let mut state = ControlState::new();
    golden.assert_bytes("new", &state.encode());
    state.apply(2, &configuration(0, 1, b'x'));
    state.apply(3, &Command::Drain { instance: "i-1".into() });
    state.apply(4, &Command::AddGateway { name: "edge-1".into() });
    let recorded = golden.assert_bytes("without-trials", &state.encode());
    assert_eq!(ControlState::decode(&recorded).as_ref(), Some(&state));
    state.apply(5, &Command::ExpireTrial { tenant: "t1".into(), ends_at: 1_798_758_000_000 });
    state.apply(6, &Command::ReplaceConfiguration { base: 1, version: 2, body: long_configuration(2) });
    let change = Command::ReplaceConfiguration { base: 2, version: 3, body: long_configuration(3) }
        .into_delta_if_smaller(&state);
    assert!(matches!(change, Command::ConfigurationDelta { .. }), "a delta replaces the whole configuration");
    golden.assert_bytes("difference", &change.encode());
    assert_eq!(state.apply(7, &change), ApplyOutcome::Changed);
    let recorded = golden.assert_bytes("all", &state.encode());
    assert_eq!(ControlState::decode(&recorded).as_ref(), Some(&state));
    assert_eq!(golden.len(), 4);
}

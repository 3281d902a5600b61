//! Runs the adapter on a short transcript over standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BEGIN: &str = r#"["Begin",3,7,{"az":0,"me":0,"siblings":2,"discovery":"automatic","tick":2000000,"new_key":1,
"extra":{"cost_after":false,"meter_period":2000000000,"most_units":2},"limits":{"cancelling":true,"try_limit":4},
"obligations":{"answer_slack":8000000,"cold":17000000000,"cold_from":0.22,"fall":3000000000,"fall_multiple":3.0},
"plans":[{"name":"basic","quota_rate":1.5,"depth":6.0,"value_factor":1.0}],
"services":[{"name":"quote","on_time":750000000,"deadline":2500000000,"effect":"safe","points":2.0}]}]"#;
const FLEET: &str = r#"["Fleet",3,1,"C",[["backend_a",0,0,0,"up",1,null]]]"#;
const REQUEST: &str = r#"["NewRequest",3,"37f11c5a5d3a91c4",0,0,"u:x",8652250000,2,2,0,null]"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_granitehub-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // An adapter that stopped at an earlier line no longer reads.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(messages: &[&str]) -> String {
    format!("{{\"sim_time\":6412250000,\"input\":[{}]}}", messages.join(",")).replace('\n', "")
}

#[test]
fn a_transcript_is_answered_line_by_line() {
    let end = r#"["AttemptEnd",3,"37f11c5a5d3a91c4",0,true,86,18500000,"pass",0,"backend_a",{"queue":3}]"#;
    let unknown_message = r#"["Weather",3,"rain"]"#;
    let unknown_end = r#"["AttemptEnd",9,"37f11c5a5d3a91c4",0,true,0,1,"pass",0,"backend_z",null]"#;
    let out = run(&[
        batch(&[]),
        batch(&[BEGIN, FLEET]),
        batch(&[unknown_message, REQUEST]),
        batch(&[end, unknown_end]),
        batch(&[r#"["Exit",3]"#]),
    ]);
    assert!(out.status.success(), "{out:?}");
    let text = String::from_utf8(out.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 5);
    assert_eq!([lines[0], lines[1], lines[3], lines[4]], [r#"{"do":[]}"#; 4]);
    assert!(
        lines[2].contains(r#"["Send",3,"37f11c5a5d3a91c4","backend_a",8652250000]"#)
            || lines[2].contains(r#"["Send",3,"37f11c5a5d3a91c4","backend_a","#),
        "{}",
        lines[2]
    );
    assert!(lines[2].contains(r#"["NotifyMe",3,"#), "{}", lines[2]);
}

#[test]
fn an_unreadable_line_is_reported_in_one_line() {
    let cases = [
        ("nonsense".to_string(), "line 2"),
        (batch(&[r#"["NewRequest",3,"37f11c5a5d3a91c4",0,0,"u:x",null]"#]), "deadline"),
        (batch(&[r#"["NewRequest",3,"xyz",0,0,"u:x",5]"#]), "corr"),
        (batch(&[r#"["AttemptEnd",3,"37f11c5a5d3a91c4",0,true,0,1,"lost",0,"b"]"#]), "ending"),
        (batch(&[&BEGIN.replace("\"me\":0,", "")]), "me"),
        (batch(&[&BEGIN.replace("1.5", "-1.5")]), "plan basic: rate"),
    ];
    for (line, expected) in cases {
        let out = run(&[batch(&[BEGIN, FLEET]), line]);
        assert_eq!(out.status.code(), Some(1), "{expected}");
        let stderr = String::from_utf8(out.stderr).expect("text");
        assert!(
            stderr.lines().count() == 1 && stderr.contains(expected) && stderr.contains("line 2"),
            "{expected}: {stderr}"
        );
    }
}

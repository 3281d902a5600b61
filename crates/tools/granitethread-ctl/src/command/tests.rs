use super::*;

#[test]
fn each_command_is_parsed() {
    assert!(matches!(Command::parse("status"), Ok(Command::Query(Query::Status))));
    assert!(matches!(Command::parse("check a.json"), Ok(Command::Check { file: "a.json" })));
    let trial = Command::Trial { tenant: "t", fields: vec!["pace=5", "wait=10"] };
    assert_eq!(Command::parse("trial t pace=5 wait=10").ok(), Some(trial));
    for line in ["", "stat", "check", "apply a b", "trial"] {
        assert!(matches!(Command::parse(line), Err(Error::UnknownCommand(_))), "{line:?}");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn command_without_its_address_is_refused() {
    let targets = Targets { query_nodes: Vec::new(), control_nodes: Vec::new(), is_json: false };
    for (line, refusal) in [
        ("status", "this command requires --at IP:PORT"),
        ("diff f", "this command requires --control IP:PORT"),
    ] {
        let error = targets.run(line).await.expect_err("an address is missing");
        assert_eq!(error.to_string(), refusal);
    }
}

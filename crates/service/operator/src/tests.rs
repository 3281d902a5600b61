use super::*;

fn error_of(text: &str) -> String {
    read(text).expect_err(text).to_string()
}

#[test]
fn absent_tables_are_off_and_absent_keys_have_defaults() {
    assert_eq!(read("").unwrap(), OperatorConfig::default());
    assert_eq!(read("[lifecycle]\n").unwrap(), OperatorConfig::default());
    let some = read("[lifecycle]\nmodule_grace_ms = 50\n").unwrap();
    assert_eq!(some.lifecycle.module_grace, Duration::from_millis(50));
    assert_eq!(some.lifecycle.way_back, Lifecycle::default().way_back);
}

#[test]
fn error_names_the_line_the_key_and_the_expected_value() {
    assert_eq!(
        error_of("# a file\n[lifecycle]\nway_back = 3\n"),
        "3: lifecycle.way_back: unknown field `way_back`, expected one of `way_back_ms`, \
         `module_grace_ms`, `key_margin_ms`, `gap_us`"
    );
    assert_eq!(
        error_of("[lifecycle]\nkey_margin_ms = \"20\"\n"),
        "2: lifecycle.key_margin_ms: invalid type: string \"20\", expected i64"
    );
    assert_eq!(
        error_of("[lifecycle]\n\nmodule_grace_ms = -1\n"),
        "3: lifecycle.module_grace_ms: -1 is out of range: 0 to 50 is wanted"
    );
    assert!(error_of("[planet]\n").starts_with("1: planet: unknown field `planet`"));
    assert!(error_of("[lifecycle\n").starts_with("1: "));
}

#[test]
fn role_tables_are_absent_or_complete() {
    let both = "[allowances]\nseats = 3\n[planner]\nlisten = \"127.0.0.1:7000\"\nstate = \"127.0.0.1:7001\"\n\
                key_file = \"key\"\n[forwarder]\nseat = 2\nplanners = [\"127.0.0.1:7000\"]\nkey_file = \"key\"\n";
    let read = read(both).unwrap();
    assert_eq!(read.forwarder.map(|f| (f.seat, f.planners.len())), Some((2, 1)));
    assert_eq!(read.planner.map(|p| p.max_customers), Some(200_000));
    assert!(error_of("[planner]\nlisten = \"127.0.0.1:7000\"\n").contains("missing field `state`"));
    assert!(error_of(&both.replace("seat = 2", "seat = 3")).ends_with("3 is out of range: 0 to 2 is wanted"));
    assert!(error_of(&both.replace("[\"127.0.0.1:7000\"]", "[]")).contains("1 to 16 are wanted"));
    assert!(error_of(&both.replace("[\"127.0.0.1:7000\"]", "[\"here\"]")).contains("an address and port"));
    let named = both.replace("[\"127.0.0.1:7000\"]", "[\"127.0.0.1:7000\"]\nnames = [\"p1\"]");
    assert!(error_of(&named).ends_with("names: a table [fleet] is wanted"));
    let fleet = "[fleet]\nname = \"g\"\nlisten = \"127.0.0.1:7100\"\nkey_file = \"key\"\n";
    let named = named + fleet;
    assert_eq!(super::read(&named).unwrap().forwarder.map(|f| f.names), Some(vec!["p1".to_string()]));
    assert!(
        error_of(&named.replace("[\"p1\"]", "[]")).ends_with("0 names: one for each of 1 planners is wanted")
    );
    assert!(error_of("[allowances]\ntick_ms = 100\nlease_ms = 200\n").contains("300 to 10000 is wanted"));
}

#[test]
fn fleet_table_is_absent_or_complete() {
    let text = "[fleet]\nname = \"g1\"\nlisten = \"127.0.0.1:7100\"\nkey_file = \"key\"\n\
                seeds = [\"127.0.0.1:7101\"]\n";
    let fleet = read(text).unwrap().fleet.expect("the table is present");
    assert_eq!((fleet.advertise, fleet.seeds.len()), (fleet.listen, 1));
    assert!(error_of("[fleet]\nname = \"g1\"\nkey_file = \"key\"\n").contains("missing field `listen`"));
    assert!(error_of(&text.replace("7101", "seven")).starts_with("5: fleet.seeds: "));
    assert!(error_of(&text.replace("g1", "")).ends_with("0 bytes: 1 to 64 printable ones are wanted"));
    let unreachable = error_of(&text.replace("127.0.0.1:7100", "0.0.0.0:7100"));
    assert_eq!(unreachable, "3: fleet.listen: 0.0.0.0:7100: nobody is reached there; advertise is wanted");
    assert!(error_of(&(text.to_string() + "period_ms = 10\n")).ends_with("50 to 5000 is wanted"));
}

#[test]
fn snapshot_table_is_absent_or_complete() {
    let text = "[snapshot]\nfolder = \"/var/lib/g1\"\nname = \"g1\"\n";
    let snapshot = read(text).unwrap().snapshot.expect("the table is present");
    assert_eq!((snapshot.name.as_str(), snapshot.interval.as_secs()), ("g1", 1));
    assert!(error_of("[snapshot]\nname = \"g1\"\n").contains("missing field `folder`"));
    assert!(error_of("[snapshot]\nfolder = \"x\"\n").contains("missing field `name`"));
    assert!(error_of(&text.replace("g1\"\n", "\"\n")).ends_with("0 bytes: 1 to 64 printable ones are wanted"));
    assert!(error_of(&(text.to_string() + "every_ms = 100\n")).ends_with("200 to 60000 is wanted"));
}

#[test]
fn pools_and_routes_are_read_with_their_lines() {
    let text = "[[pool]]\nname = \"pricing\"\ngroup = [1, 2]\n[[pool]]\nname = \"booking\"\n\
                [[route]]\nprefix = \"/api\"\nclass = [\"quote\"]\npool = \"pricing\"\n\
                [[route]]\nheader = { x-kind = \"b\" }\nsplit = { pricing = 1, booking = 99 }\n";
    let read = read(text).unwrap();
    assert_eq!(read.pools.iter().map(|p| p.name.as_str()).collect::<Vec<_>>(), ["pricing", "booking"]);
    assert_eq!(read.pools[0].groups, [1, 2]);
    assert_eq!(read.routes.iter().map(|r| r.line).collect::<Vec<_>>(), [6, 10]);
    assert_eq!(read.routes[1].split, [("booking".to_string(), 99), ("pricing".to_string(), 1)]);
    assert_eq!((read.routes[1].prefix.as_str(), read.routes[0].classes.len()), ("/", 1));
    assert!(error_of(&text.replace("pool = \"pricing\"", "pool = \"price\"")).contains("no pool is named"));
    assert!(error_of(&text.replace("pool = \"pricing\"\n", "")).contains("either pool or split"));
    assert!(error_of(&text.replace("name = \"booking\"", "name = \"pricing\"")).contains("two pools"));
    assert!(error_of("[[route]]\nprefix = 3\n").starts_with("2: "));
}

#[test]
fn log_format_is_plain_or_json() {
    assert_eq!(read("[log]\nformat = \"json\"\n").unwrap().log, LogFormat::Json);
    assert!(error_of("[log]\nformat = \"xml\"\n").starts_with("2: log.format: unknown variant `xml`"));
}

#[test]
fn error_is_one_line_whatever_the_file_holds() {
    for text in
        ["=", "[", "a = [\n1,\n", "\"\"\"", "[lifecycle]\nway_back_ms = 99999999999999999999\n", "\u{0}"]
    {
        assert!(!error_of(text).contains('\n'), "{text:?}");
    }
}

/// The file in the repository states the program's defaults.
#[test]
fn file_in_the_repository_states_the_defaults() {
    assert_eq!(read(include_str!("../../../../deploy/operator.toml")).unwrap(), OperatorConfig::default());
}

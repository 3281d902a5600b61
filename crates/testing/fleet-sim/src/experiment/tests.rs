use super::*;

const TEXT: &str = r#"
    name = "t"
    world = "planners"
    seeds = [3, 5]
    base = { seconds = 2 }
    sweep = { lease_ms = [200, 500], home = [0.5, 0.9] }
    [[arm]]
    name = "a"
    [[arm]]
    name = "b"
    planner_down_ms = [4200, 4900]
"#;

#[test]
fn every_combination_is_played_for_every_arm_and_seed() {
    let e = Experiment::read(TEXT).unwrap();
    assert_eq!((e.cells.len(), e.runs()), (8, 16));
    let rows = e.play(3, || {});
    assert_eq!(rows.len(), 16);
    assert_eq!(rows, e.play(1, || {}), "how many run side by side changes nothing");
    let seen: std::collections::BTreeSet<_> = rows.iter().map(|r| (&r.arm, &r.point, r.seed)).collect();
    assert_eq!(seen.len(), 16);
    let text: String = rows.iter().map(|r| serde_json::to_string(r).unwrap() + "\n").collect();
    assert_eq!(read_rows(&text).unwrap(), rows);
    let mut csv = Vec::new();
    write_csv(&rows, &mut csv).unwrap();
    assert_eq!(String::from_utf8(csv).unwrap().lines().count(), 17);
}

#[test]
fn what_wont_do_is_one_line() {
    let cases = [
        (TEXT.replace("planners\"", "nowhere\""), "no world is named"),
        (TEXT.replace("[3, 5]", "[5, 5]"), "seeds"),
        (TEXT.replace("lease_ms", "leash_ms"), "leash_ms"),
        (TEXT.replace("[200, 500]", "[1, 500]"), "a lease must last at least 3 ticks"),
        (TEXT.replace("[200, 500]", "[]"), "0 runs"),
        (TEXT.replace("\"b\"", "\"a\""), "two arms"),
        (TEXT.replace("[4200, 4900]", "[4900, 4200]"), "ends before it begins"),
        (TEXT.replace("[3, 5]", "[3, 5]\nextra = 1"), "extra"),
        (TEXT.replace("0.9]", "1.9]"), "home is 1.9"),
        (TEXT.replace("[3, 5]", "[0, 99999999999]"), "runs"),
        ("name = ".into(), "TOML"),
    ];
    for (text, what) in cases {
        let error = Experiment::read(&text).unwrap_err();
        assert!(error.contains(what) && !error.contains('\n'), "{what}: {error}");
    }
    assert!(read_rows("{}").unwrap_err().starts_with("line 1: "));
}

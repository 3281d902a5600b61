use super::*;

#[test]
fn a_story_is_read_as_it_was_written_and_bad_ones_are_named() {
    let story = Story {
        world: "faults".into(),
        seed: 4,
        seconds: 9,
        rule: "r".into(),
        at_ms: 1.5,
        defect: Some("d".into()),
        faults_left_out: [1, 3].into(),
        customers_left_out: [7].into(),
        delay_halvings: [("2".to_string(), 3)].into(),
    };
    let text = story.write().unwrap();
    assert_eq!(Story::read(&text).unwrap(), story);
    for (bad, what) in [
        (text.replace("\"faults\"", "\"nowhere\""), "no world"),
        (text.replace("seconds = 9", "seconds = 0"), "seconds is 0"),
        (text.replace("2 = 3", "two = 3"), "sooner"),
        (text.replace("seed", "sead"), "sead"),
    ] {
        let error = Story::read(&bad).unwrap_err();
        assert!(error.contains(what) && !error.contains('\n'), "{error}");
    }
}

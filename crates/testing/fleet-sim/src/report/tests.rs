use super::*;
use crate::experiment::Experiment;

#[test]
fn a_page_stands_alone_and_shows_every_arm() {
    let text = r#"
        name = "a <b> & c"
        world = "planners"
        seeds = [0, 3]
        base = { seconds = 6 }
        sweep = { lease_ms = [200, 500] }
        [[arm]]
        name = "first"
        [[arm]]
        name = "second"
        skew = 0.9
    "#;
    let rows = Experiment::read(text).unwrap().play(2, || {});
    let plots = plots(&rows).unwrap();
    let names: Vec<&str> = plots.iter().map(|(n, _)| n.as_str()).collect();
    assert!(names.contains(&"goodput-by-lease_ms") && names.contains(&"latency"), "{names:?}");
    assert!(names.contains(&"timeline-2"), "{names:?}");
    assert!(plots.iter().all(|(_, svg)| svg.starts_with("<svg") && svg.contains("polyline")));
    let page = page(&rows, &plots);
    assert!(page.contains("<h1>a &lt;b&gt; &amp; c</h1>") && page.contains("second less first"));
    assert!(!page.contains("http://www.example") && !page.contains("<script"));
    assert!(!page.contains("src=") && !page.contains("href="), "nothing is fetched");
}

#[test]
fn no_rows_make_an_empty_page() {
    assert!(page(&[], &plots(&[]).unwrap()).contains("0 runs"));
}

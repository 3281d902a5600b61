use super::*;

#[test]
fn ring_keeps_the_latest_truncated_lines_and_dumps_them_once() {
    let ring = LogRing::new();
    (0..MAX_LINES + 5).for_each(|n| ring.push(format!("line {n} {}", "é".repeat(MAX_LINE_BYTES))));
    let mut first_dump = Vec::new();
    ring.dump("test", &mut first_dump);
    let text = String::from_utf8(first_dump).unwrap();
    assert!(text.starts_with(&format!("ring: test, {MAX_LINES} lines\nring: line 5 ")));
    assert!(text.lines().all(|line| line.len() <= MAX_LINE_BYTES + 6));
    let mut second_dump = Vec::new();
    ring.dump("test", &mut second_dump);
    assert_eq!(second_dump, b"ring: test, 0 lines\n");
}

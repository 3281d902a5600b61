use super::*;

#[test]
fn each_number_is_taken_once_in_whatever_order_it_comes() {
    let mut window = ReplayWindow::default();
    for number in [1, 3, 2, 70, 7, 69] {
        assert!(window.take(number), "{number}");
        assert!(!window.take(number), "{number} again");
    }
    assert!(!window.take(6), "below the window");
    assert!(!window.take(0));
    assert!(window.take(u64::MAX));
    assert!(!window.take(70));
}

#[test]
fn a_bucket_gives_its_depth_at_once_and_its_rate_for_ever() {
    let mut bucket = TokenBucket::new(10.0, 5.0, 0);
    let count_taken = |bucket: &mut TokenBucket, now| (0..100).filter(|_| bucket.take(now)).count();
    assert_eq!(count_taken(&mut bucket, 0), 10);
    assert_eq!(count_taken(&mut bucket, 1_000_000_000), 5);
    assert_eq!(count_taken(&mut bucket, 500_000_000), 0, "a clock that runs backwards adds no tokens");
    assert_eq!(count_taken(&mut bucket, 60_000_000_000), 10);
}

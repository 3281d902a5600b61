//! Which numbers of a life have been taken, and how many datagrams its sender may send.

use crate::Time;

/// Each number once: the highest that came, and the 64 below it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    /// 0 before the first.
    highest: u64,
    seen: u64,
}

impl Window {
    /// Whether this number is new; it is taken with that. Numbers run from 1.
    pub(crate) fn take(&mut self, number: u64) -> bool {
        if planted!(ReplayTaken) {
            return true;
        }
        if number > self.highest {
            let ahead = number - self.highest;
            self.seen = if ahead >= 64 { 0 } else { self.seen << ahead };
            self.seen |= 1;
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        if number == 0 || behind >= 64 || self.seen & 1 << behind != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

/// A token bucket.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    depth: f64,
    /// Tokens a nanosecond.
    rate: f64,
    at: Time,
}

impl Bucket {
    pub(crate) fn new(depth: f64, a_second: f64, now: Time) -> Self {
        Bucket { tokens: depth, depth, rate: a_second / 1e9, at: now }
    }

    pub(crate) fn take(&mut self, now: Time) -> bool {
        let since = now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + since * self.rate).min(self.depth);
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_number_is_taken_once_in_whatever_order_it_comes() {
        let mut window = Window::default();
        for number in [1, 3, 2, 70, 7, 69] {
            assert!(window.take(number), "{number}");
            assert!(!window.take(number), "{number} again");
        }
        assert!(!window.take(6), "too old to tell");
        assert!(!window.take(0));
        assert!(window.take(u64::MAX));
        assert!(!window.take(70));
    }

    #[test]
    fn a_bucket_gives_its_depth_at_once_and_its_rate_for_ever() {
        let mut bucket = Bucket::new(10.0, 5.0, 0);
        let taken = |bucket: &mut Bucket, now| (0..100).filter(|_| bucket.take(now)).count();
        assert_eq!(taken(&mut bucket, 0), 10);
        assert_eq!(taken(&mut bucket, 1_000_000_000), 5);
        assert_eq!(taken(&mut bucket, 500_000_000), 0, "a clock that runs back gives nothing");
        assert_eq!(taken(&mut bucket, 60_000_000_000), 10);
    }
}

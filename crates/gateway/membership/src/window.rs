//! Replay protection by datagram numbers, and rate limits.

use crate::Time;

/// Accepts each number once: the highest so far, and the 64 below it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayWindow {
    /// 0 before the first.
    highest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Whether this number is new; it then counts as seen. Numbers start at 1.
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
pub(crate) struct TokenBucket {
    tokens: f64,
    depth: f64,
    /// Tokens a nanosecond.
    rate: f64,
    at: Time,
}

impl TokenBucket {
    pub(crate) fn new(depth: f64, a_second: f64, now: Time) -> Self {
        TokenBucket { tokens: depth, depth, rate: a_second / 1e9, at: now }
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
mod tests;

//! Replay protection by sequence numbers, and rate limits.

use crate::Time;

/// Accepts each sequence number once. Numbers 64 or more below the highest are rejected.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayWindow {
    /// 0 before the first datagram.
    highest: u64,
    /// Bit n: number `highest - n` was seen.
    seen: u64,
}

impl ReplayWindow {
    /// Returns whether the number is new, and marks it as seen. Numbers start at 1.
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
    capacity: f64,
    tokens_per_ns: f64,
    updated_at: Time,
}

impl TokenBucket {
    pub(crate) fn new(capacity: f64, tokens_per_second: f64, now: Time) -> Self {
        TokenBucket { tokens: capacity, capacity, tokens_per_ns: tokens_per_second / 1e9, updated_at: now }
    }

    /// Takes a token. Returns false if there is none.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        let elapsed_ns = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + elapsed_ns * self.tokens_per_ns).min(self.capacity);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

#[cfg(test)]
mod tests;

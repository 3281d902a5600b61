//! Stateless cookies for unknown senders: a sender that returns its cookie has proven its address and may join.

use crate::wire::Keys;
use crate::Time;
use std::net::SocketAddr;

/// Length of a period; a cookie is valid in the period in which it was issued and in the next.
const COOKIE_LIFETIME: Time = 30_000_000_000;

pub(crate) struct JoinCookies {
    /// Random, known only to this process.
    secret: [u8; 16],
}

impl JoinCookies {
    pub(crate) fn new(secret: [u8; 16]) -> Self {
        JoinCookies { secret }
    }

    fn cookie(&self, keys: &Keys, period: u64, name: &str, generation: u64, address: SocketAddr) -> [u8; 16] {
        let address = address.to_string();
        let (period, generation) = (period.to_be_bytes(), generation.to_be_bytes());
        keys.sign(&[b"cookie", &self.secret, &period, &generation, name.as_bytes(), b"@", address.as_bytes()])
    }

    /// Returns the cookie for a sender and its address.
    pub(crate) fn issue(
        &self,
        keys: &Keys,
        now: Time,
        name: &str,
        generation: u64,
        address: SocketAddr,
    ) -> [u8; 16] {
        self.cookie(keys, now / COOKIE_LIFETIME, name, generation, address)
    }

    /// Whether this process issued the cookie to this sender, in this period or the previous one.
    pub(crate) fn is_valid(
        &self,
        keys: &Keys,
        now: Time,
        cookie: [u8; 16],
        (name, generation, address): (&str, u64, SocketAddr),
    ) -> bool {
        let period = now / COOKIE_LIFETIME;
        [period, period.saturating_sub(1)]
            .into_iter()
            .any(|p| self.cookie(keys, p, name, generation, address) == cookie)
    }
}

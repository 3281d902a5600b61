//! Unknown senders get a cookie, for which no state is kept; whoever returns it may join.

use crate::wire::Keys;
use crate::Time;
use std::net::SocketAddr;

/// A cookie is valid in this period and the next.
const COOKIE_LIFETIME: Time = 30_000_000_000;

pub(crate) struct Cookies {
    /// Known to this process alone.
    secret: [u8; 16],
}

impl Cookies {
    pub(crate) fn new(secret: [u8; 16]) -> Self {
        Cookies { secret }
    }

    fn cookie(&self, keys: &Keys, turn: u64, name: &str, life: u64, address: SocketAddr) -> [u8; 16] {
        let address = address.to_string();
        let (turn, life) = (turn.to_be_bytes(), life.to_be_bytes());
        keys.sign(&[b"cookie", &self.secret, &turn, &life, name.as_bytes(), b"@", address.as_bytes()])
    }

    pub(crate) fn make(&self, keys: &Keys, now: Time, name: &str, life: u64, to: SocketAddr) -> [u8; 16] {
        self.cookie(keys, now / COOKIE_LIFETIME, name, life, to)
    }

    pub(crate) fn is_ours(
        &self,
        keys: &Keys,
        now: Time,
        cookie: [u8; 16],
        (name, life, at): (&str, u64, SocketAddr),
    ) -> bool {
        let turn = now / COOKIE_LIFETIME;
        [turn, turn.saturating_sub(1)].into_iter().any(|t| self.cookie(keys, t, name, life, at) == cookie)
    }
}

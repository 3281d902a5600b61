//! What is wrong with a configuration.

use displaydoc::Display;

/// What is wrong with a configuration. Its text is the answer to the operator, so that causes are kept as text.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationError {
    /// it cannot be read: {0}
    Malformed(String),
    /// at {path}: {reason}
    Schema {
        /// JSON pointer to the value.
        path: String,
        /// What the schema wants of it.
        reason: String,
    },
    /// route {route}: no service is named {service}
    UnknownService {
        /// The route's name.
        route: String,
        /// What it names.
        service: String,
    },
    /// route {0}: it names no service
    NoTarget(String),
    /// route {0}: all its targets have the weight 0
    NoWeight(String),
    /// routes {first} and {second} have the same host and prefix
    DuplicateRoute {
        /// The earlier route's name.
        first: String,
        /// The later route's name.
        second: String,
    },
    /// tenants {first} and {second} have a key in common
    SharedKey {
        /// The earlier tenant's name.
        first: String,
        /// The later tenant's name.
        second: String,
    },
    /// tenant {tenant}: {ends_at:?} is no time like 2026-12-31T23:00:00Z
    InvalidTrialEnd {
        /// The tenant's name.
        tenant: String,
        /// What stands there.
        ends_at: String,
    },
    /// tenant {0}: its trial's pacePerS is more than its ratePerS
    PaceOverRate(String),
    /// tenant {0}: twice its trial's pacePerS over waitMs does not fit into its burstSize
    WaitOverBurst(String),
}

impl std::error::Error for ConfigurationError {}

//! Validation errors of a configuration.

use displaydoc::Display;

/// The reason why a configuration is invalid. Its text is returned to the operator, so underlying errors are kept as
/// text.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationError {
    /// not a valid configuration: {0}
    Malformed(String),
    /// at {path}: {reason}
    Schema {
        /// JSON pointer to the invalid value.
        path: String,
        /// The schema violation.
        reason: String,
    },
    /// route {route}: unknown service {service}
    UnknownService {
        /// Name of the route.
        route: String,
        /// The service name that the route refers to.
        service: String,
    },
    /// route {0}: no target service
    NoTarget(String),
    /// route {0}: all targets have weight 0
    NoWeight(String),
    /// routes {first} and {second} have the same host and prefix
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// tenants {first} and {second} share an API key
    SharedKey {
        /// Name of the earlier tenant.
        first: String,
        /// Name of the later tenant.
        second: String,
    },
    /// tenant {tenant}: {ends_at:?} is not an RFC 3339 time in UTC such as 2026-12-31T23:00:00Z
    InvalidTrialEnd {
        /// Name of the tenant.
        tenant: String,
        /// The value of `endsAt`.
        ends_at: String,
    },
    /// tenant {0}: the trial's pacePerS exceeds the tenant's ratePerS
    PaceOverRate(String),
    /// tenant {0}: twice the trial's pacePerS times waitMs exceeds the tenant's burstSize
    WaitOverBurst(String),
}

impl std::error::Error for ConfigurationError {}

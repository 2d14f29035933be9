//! Rate limits, charges against them and verdicts.

use std::time::Duration;

/// A rate with a burst allowance. A unit is a request or a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units per second.
    pub per_second: f64,
    /// Units that may be taken at once, beyond the rate.
    pub burst: f64,
}

/// A request to be charged to an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChargeRequest<'a> {
    /// Key of the account: a tenant name, or the key of a server incarnation.
    pub account: &'a str,
    /// Limit in force on the calling router.
    pub limit: RateLimit,
    /// Version of the limit. The highest version that any router sent applies.
    pub version: u64,
    /// Cost of the request, in units.
    pub units: f64,
    /// Charge without checking the limit, for requests that run in any case, such as the second
    /// attempt of a request that was admitted.
    pub is_unconditional: bool,
    /// Units that are reserved for more urgent requests: a request is admitted only if the bucket
    /// holds at least this many.
    pub reserve: f64,
}

/// Decision on a charge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Within the limit; the units were charged.
    Admitted {
        /// Recently admitted units per second over all routers.
        fleet_per_second: f64,
    },
    /// Over the limit; nothing was charged.
    Refused {
        /// Time after which a retry may be admitted.
        retry_after: Duration,
        /// Recently admitted units per second over all routers.
        fleet_per_second: f64,
    },
}

impl Verdict {
    /// Whether the request was admitted.
    pub fn is_admitted(&self) -> bool {
        matches!(self, Verdict::Admitted { .. })
    }
}

//! What is asked of a limit, and what it answers.

use std::time::Duration;

/// A rate with room for a burst above it, in units a second and units. A unit is a
/// request or a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units a second.
    pub per_second: f64,
    /// Units that may come at once beyond the rate.
    pub burst: f64,
}

/// One request that is to be counted against a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChargeRequest<'a> {
    /// Whose limit it is: a tenant's name, or what stands for an incarnation of a server.
    pub account: &'a str,
    /// The limit as the asking router has it in force.
    pub limit: RateLimit,
    /// Version of the limit. The highest one that any router names holds.
    pub version: u64,
    /// Units that the request costs.
    pub units: f64,
    /// It runs whatever the answer is, for example as the second attempt of a request that was
    /// admitted, and is counted in any case.
    pub is_certain: bool,
    /// Units that are left to more urgent requests: it is admitted only if so many are there.
    pub reserve: f64,
}

/// Whether a request lies within its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It does, and was counted.
    Admitted {
        /// Units a second that were admitted of late over all routers.
        fleet_per_second: f64,
    },
    /// It doesn't, and was not counted.
    Refused {
        /// Time after which it has a chance.
        pause: Duration,
        /// Units a second that were admitted of late over all routers.
        fleet_per_second: f64,
    },
}

impl Verdict {
    /// Whether the request lies within the limit.
    pub fn is_admitted(&self) -> bool {
        matches!(self, Verdict::Admitted { .. })
    }
}

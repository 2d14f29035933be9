//! The work that all routers together have sent to a server, as far as they tell
//! each other.

use std::time::Duration;

use juniper_types::Timestamp;

use crate::decay::Decaying;
use crate::load::ReadingSpeed;

/// Time in which a request begun loses half of its weight in the pace of requests.
const PACE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Work on one server, estimated: what was sent, less what it should have done since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetLoad {
    /// Tokens that were still to be read when the last request was told of.
    waiting_tokens: f64,
    updated: Timestamp,
    begun: Decaying,
}

impl Default for FleetLoad {
    fn default() -> Self {
        let begun = Decaying::new(PACE_HALF_LIFE);
        FleetLoad { waiting_tokens: 0.0, updated: Timestamp::ZERO, begun }
    }
}

impl FleetLoad {
    /// A request of which `tokens` have to be read was sent to the server.
    pub(crate) fn begin(&mut self, tokens: u32, speed: ReadingSpeed, now: Timestamp) {
        self.waiting_tokens = self.waiting_tokens(speed, now) + f64::from(tokens);
        self.updated = now;
        self.begun.add(1.0, now);
    }

    /// Tokens that should still be unread.
    pub(crate) fn waiting_tokens(&self, speed: ReadingSpeed, now: Timestamp) -> f64 {
        (self.waiting_tokens - speed.tokens_in(now.since(self.updated))).max(0.0)
    }

    /// Requests that should be under way if each takes `mean` (Little's law).
    pub(crate) fn requests(&self, mean: Duration, now: Timestamp) -> f64 {
        let window_s = PACE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.begun.at(now) / window_s * mean.as_secs_f64()
    }
}

//! Work that all routers together have dispatched to a server, according to their dispatch reports.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::dispatch_record::ReportedRequest;
use crate::load::PrefillSpeed;

/// Age at which a request without a reported end is no longer counted: its router crashed or the
/// report was lost. Few streams take longer.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(10);

/// Work on one server: in-flight requests, and an estimate of their remaining prefill.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetLoad {
    /// Queued prefill tokens at the time `updated`.
    queued_tokens: f64,
    updated: Timestamp,
    /// In-flight requests, the oldest first.
    in_flight: VecDeque<InFlight>,
}

/// An in-flight request.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    /// Identity of the request; `None` if its end won't be reported.
    request: Option<ReportedRequest>,
    started_at: Timestamp,
}

impl FleetLoad {
    /// Adds a request with `tokens` of prefill.
    pub(crate) fn add_request(
        &mut self,
        request: Option<ReportedRequest>,
        tokens: u32,
        speed: PrefillSpeed,
        now: Timestamp,
    ) {
        self.queued_tokens = self.queued_tokens(speed, now) + f64::from(tokens);
        self.updated = now;
        while self.in_flight.front().is_some_and(|oldest| is_expired(oldest.started_at, now)) {
            self.in_flight.pop_front();
        }
        self.in_flight.push_back(InFlight { request, started_at: now });
    }

    /// Removes a completed request. Does nothing if its dispatch report was lost: another request
    /// must not be removed instead.
    pub(crate) fn remove_request(&mut self, request: ReportedRequest) {
        let index = self.in_flight.iter().position(|known| known.request == Some(request));
        if let Some(index) = index {
            self.in_flight.remove(index);
        }
    }

    /// Estimate of the queued prefill tokens.
    pub(crate) fn queued_tokens(&self, speed: PrefillSpeed, now: Timestamp) -> f64 {
        (self.queued_tokens - speed.tokens_in(now.since(self.updated))).max(0.0)
    }

    /// Number of in-flight requests.
    pub(crate) fn requests(&self, now: Timestamp) -> usize {
        self.in_flight.iter().rev().take_while(|known| !is_expired(known.started_at, now)).count()
    }
}

pub(crate) fn is_expired(started_at: Timestamp, now: Timestamp) -> bool {
    now.since(started_at) >= MAX_REQUEST_AGE
}

//! Work that all routers together have dispatched to a server, according to their dispatch reports.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::dispatch_record::ReportedRequest;
use crate::timing_model::TimingModel;

/// Age at which a request without a reported end is no longer counted: its router crashed or the
/// report was lost. Few streams take longer.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(10);

/// Work on one server: in-flight requests, and an estimate of their remaining prefill.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetLoad {
    /// Queued prefill tokens at the time `updated`.
    queued_tokens: f64,
    updated: Timestamp,
    /// Prefill tokens of all requests so far.
    added_tokens: f64,
    /// In-flight requests, the oldest first.
    in_flight: VecDeque<InFlight>,
    /// Queued prefill tokens after each addition, without those before which a later addition
    /// reached as many: times ascend, tokens descend.
    peaks: VecDeque<(Timestamp, f64)>,
}

/// An in-flight request.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    /// Identity of the request; `None` if its end won't be reported.
    request: Option<ReportedRequest>,
    started_at: Timestamp,
    /// Prefill tokens of all requests up to and including this one.
    added_tokens: f64,
}

impl FleetLoad {
    /// Adds a request with `tokens` of prefill.
    pub(crate) fn add_request(
        &mut self,
        request: Option<ReportedRequest>,
        tokens: u32,
        timing: &TimingModel,
        now: Timestamp,
    ) {
        self.queued_tokens = self.queued_tokens(timing, now) + f64::from(tokens);
        self.updated = now;
        self.added_tokens += f64::from(tokens);
        if timing.uses_peaks() {
            self.record_peak(now);
        }
        while self.in_flight.front().is_some_and(|oldest| is_expired(oldest.started_at, now)) {
            self.in_flight.pop_front();
        }
        self.in_flight.push_back(InFlight {
            request,
            started_at: now,
            added_tokens: self.added_tokens,
        });
    }

    /// Records that the request was computed, and with it those that were queued ahead of it: what
    /// is still queued was added later. Keeps an error of the expected times from building up a
    /// queue that doesn't exist. A request that ended within `min_time` may have been refused.
    pub(crate) fn mark_computed(
        &mut self,
        request: ReportedRequest,
        min_time: Duration,
        timing: &TimingModel,
        now: Timestamp,
    ) {
        let known = self.in_flight.iter().find(|known| known.request == Some(request));
        let Some(known) = known else { return };
        if now.since(known.started_at) >= min_time {
            let added_later = self.added_tokens - known.added_tokens;
            self.queued_tokens = self.queued_tokens(timing, now).min(added_later);
            self.updated = now;
        }
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
    pub(crate) fn queued_tokens(&self, timing: &TimingModel, now: Timestamp) -> f64 {
        (self.queued_tokens - timing.tokens_in(now.since(self.updated))).max(0.0)
    }

    fn record_peak(&mut self, now: Timestamp) {
        while self.peaks.back().is_some_and(|(_, tokens)| *tokens <= self.queued_tokens) {
            self.peaks.pop_back();
        }
        while self.peaks.front().is_some_and(|(at, _)| is_expired(*at, now)) {
            self.peaks.pop_front();
        }
        self.peaks.push_back((now, self.queued_tokens));
    }

    /// Largest number of queued prefill tokens reached since `from`; zero if nothing was added.
    pub(crate) fn peak_tokens_since(&self, from: Timestamp) -> f64 {
        let first = self.peaks.partition_point(|(at, _)| *at < from);
        self.peaks.get(first).map_or(0.0, |(_, tokens)| *tokens)
    }

    /// Number of in-flight requests, including those that have expired but weren't removed yet.
    pub(crate) fn known_requests(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of in-flight requests.
    pub(crate) fn requests(&self, now: Timestamp) -> usize {
        self.in_flight.iter().rev().take_while(|known| !is_expired(known.started_at, now)).count()
    }
}

pub(crate) fn is_expired(started_at: Timestamp, now: Timestamp) -> bool {
    now.since(started_at) >= MAX_REQUEST_AGE
}

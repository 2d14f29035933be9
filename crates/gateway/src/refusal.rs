//! Answers to callers whose requests no server answered, and when they may come back.

use std::time::Duration;

use juniper_placement::{ChoiceError, Overload};
use juniper_waiting::Return;

use crate::answer::OwnAnswer;
use crate::attempt_error::AttemptError;
use crate::call::NO_SERVER_RETRY_AFTER;
use crate::resume::ResumeRefusal;
use crate::search::ServerSearch;
use crate::search_end::SearchEnd;

/// `Retry-After` when servers are full.
pub(crate) const FULL_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Shortest `Retry-After` of an overload, relative to the request's objective: sooner, queues have
/// hardly become shorter.
const MIN_RETRY_AFTER_FACTOR: f64 = 0.1;

/// Time per priority level over which callers' retries are spread after the backoff of all servers.
const RETRY_SPREAD: Duration = Duration::from_millis(200);

impl ServerSearch<'_> {
    /// Ends the search for another server. Returns the answer to the caller, which is `if_not_run` only
    /// if no server may have run the request.
    pub(crate) fn end(&mut self, end: SearchEnd, if_not_run: OwnAnswer) -> OwnAnswer {
        self.end = Some(end);
        if self.progress.may_have_run == 0 || end == SearchEnd::Quarantined {
            return if_not_run;
        }
        match &self.last_error {
            Some(AttemptError::Timeout) => OwnAnswer::DeadlinePassed,
            _ => OwnAnswer::ServerFailed,
        }
    }

    /// Ends the search after the placement chose no server.
    pub(crate) fn end_refused(&mut self, refusal: ChoiceError) -> OwnAnswer {
        let end = SearchEnd::of(&refusal);
        let answer = self.refusal_answer(refusal);
        self.end(end, answer)
    }

    /// Answer to a request for which the placement chose no server.
    fn refusal_answer(&self, refusal: ChoiceError) -> OwnAnswer {
        match refusal {
            ChoiceError::NoServer | ChoiceError::OutdatedWeights => {
                OwnAnswer::NoServer(NO_SERVER_RETRY_AFTER)
            }
            ChoiceError::NoSoftware => OwnAnswer::NotResumable(ResumeRefusal::NoSoftware),
            ChoiceError::AllExcluded => OwnAnswer::Full(FULL_RETRY_AFTER),
            ChoiceError::Overloaded(overload) => {
                self.log_overload(&overload);
                OwnAnswer::Overloaded(self.overload_retry_after(overload.excess()))
            }
            ChoiceError::BackingOff(backoff) => {
                self.gateway.log_excluded_servers(self.call);
                OwnAnswer::ServersBackingOff(backoff_retry_after(backoff, self.call.priority))
            }
            ChoiceError::LimitReached(pause) => {
                OwnAnswer::ServersAtLimit(add_jitter(pause.max(FULL_RETRY_AFTER)))
            }
        }
    }

    /// `Retry-After` of a request that was refused because of an overload with this excess; `None`
    /// if the refusal is final.
    fn overload_retry_after(&self, excess: Duration) -> Option<Duration> {
        let (gateway, call) = (self.gateway, self.call);
        let (time_left, now) = (call.time_left(), gateway.now());
        match gateway.returns.next(&call.service, call.priority, time_left, excess, now) {
            Some(Return::At(wait)) => Some(wait),
            Some(Return::Final) => None,
            None => {
                let min_retry_after = call.objective().mul_f64(MIN_RETRY_AFTER_FACTOR);
                Some(add_jitter(excess.max(min_retry_after)))
            }
        }
    }

    fn log_overload(&self, overload: &Overload) {
        self.gateway.metrics.count_shortage(overload.resource);
        log::info!(
            "event=overloaded request={} route={} service={} rank={} expected_ms={:.0} \
             wait_ms={:.0} least_waits_ms={:.0} limit_ms={:.0} \
             resource={}",
            self.call.id(),
            self.call.route.name,
            self.call.service,
            self.call.priority,
            overload.estimate.first_output_ms,
            overload.estimate.wait_ms,
            overload.lower_quartile_wait_ms,
            overload.limit_ms,
            overload.resource.as_str()
        );
    }
}

/// Adds random jitter to a `Retry-After`, so that callers refused together don't retry together.
fn add_jitter(pause: Duration) -> Duration {
    pause.mul_f64(1.0 + rand::random::<f64>())
}

/// `Retry-After` once all servers are backing off: shorter for more urgent requests, with random
/// jitter.
fn backoff_retry_after(backoff: Duration, rank: u8) -> Duration {
    backoff + RETRY_SPREAD.mul_f64(f64::from(rank) + rand::random::<f64>())
}

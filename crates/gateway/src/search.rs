//! Search for a server that answers a request.

use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{Choice, ChoiceError, Overload, ServerRequest};
use juniper_registry::{InstanceId, SoftwareVersion};
use juniper_types::Timestamp;
use juniper_waiting::Return;
use tokio::time::Instant;

use crate::answer::OwnAnswer;
use crate::attempt::{Answered, send};
use crate::attempt_error::AttemptError;
use crate::call::{Call, NO_SERVER_RETRY_AFTER};
use crate::dialect::CallInfo;
use crate::finish::PendingAnswer;
use crate::gateway::Gateway;
use crate::limits::GrantedCharge;
use crate::open_answer::NotContinued;
use crate::resume::ResumeRefusal;
use crate::retry::Progress;
use crate::retry_budget::GrantedRetry;
use crate::search_end::SearchEnd;
use crate::server_limits::Admission;

/// Shortest time left for which a request is still sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Number of servers that may be at their advertised limits before only servers without such a
/// limit are tried.
const MAX_LIMIT_REFUSALS: u32 = 4;

/// `Retry-After` when servers are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Shortest `Retry-After` of an overload, relative to the request's objective: sooner, queues have
/// hardly become shorter.
const MIN_RETRY_AFTER_FACTOR: f64 = 0.1;

/// Time per priority level over which callers' retries are spread after the backoff of all servers.
const RETRY_SPREAD: Duration = Duration::from_millis(200);

/// Search for a server that answers a request.
pub(crate) struct ServerSearch<'a> {
    gateway: &'a Arc<Gateway>,
    call: &'a Call,
    pub progress: Progress,
    excluded: Vec<InstanceId>,
    /// Software version that began the stream; `None` while any version may begin it.
    software: Option<SoftwareVersion>,
    last_error: Option<AttemptError>,
    /// Why the search ended, once it has without an answer.
    end: Option<SearchEnd>,
}

impl<'a> ServerSearch<'a> {
    pub(crate) fn new(gateway: &'a Arc<Gateway>, call: &'a Call) -> Self {
        let (progress, excluded) = (Progress::default(), Vec::new());
        let software = call.software.clone();
        ServerSearch { gateway, call, progress, excluded, software, last_error: None, end: None }
    }

    /// Restricts the search to servers of the software version that began the stream.
    pub(crate) fn with_software(mut self, software: Option<SoftwareVersion>) -> Self {
        self.software = software;
        self
    }

    /// Continues a search after an attempt at `failed`.
    pub(crate) fn continue_from(mut self, progress: Progress, failed: InstanceId) -> Self {
        self.progress = progress;
        self.excluded.push(failed);
        self
    }

    /// Sends the request to one server after another until one answers.
    pub(crate) async fn run(&mut self, last_event: Option<u64>) -> Result<Answered, OwnAnswer> {
        loop {
            if self.call.time_left() < MIN_TIME_LEFT {
                return Err(self.end(SearchEnd::TooLate, OwnAnswer::TooLate));
            }
            if self.gateway.check_quarantine(self.call, self.progress).await {
                self.end = Some(SearchEnd::Quarantined);
                return Err(OwnAnswer::Quarantined);
            }
            if !self.call.may_retry(self.progress) {
                return Err(match self.progress.has_found_no_path() {
                    true => self.end(SearchEnd::NoPath, OwnAnswer::NoServer(FULL_RETRY_AFTER)),
                    false => self.end(SearchEnd::AttemptsSpent, OwnAnswer::Full(FULL_RETRY_AFTER)),
                });
            }
            let seen_views = *self.gateway.applied_views.borrow();
            if !self.may_find_software() {
                if self.wait_for_servers(seen_views).await {
                    continue;
                }
                let refusal = ResumeRefusal::NoSoftware;
                self.log_not_resumable(refusal);
                return Err(self.end(SearchEnd::NoSoftware, OwnAnswer::NotResumable(refusal)));
            }
            let granted = self.take_retry()?;
            let (choice, charge) = match self.choose_admitted().await {
                Ok(admitted) => admitted,
                Err(ChoiceError::NoServer) if self.wait_for_servers(seen_views).await => continue,
                Err(refusal) => {
                    let end = SearchEnd::of(&refusal);
                    let answer = self.refusal_answer(refusal);
                    return Err(self.end(end, answer));
                }
            };
            self.record_admission();
            self.log_choice(&choice);
            self.gateway.log_excluded_servers(self.call);
            let (gateway, call) = (self.gateway, self.call);
            if self.progress.may_have_run > 0
                && let Some(granted_charge) = &call.granted_charge
            {
                gateway.charge_retry(granted_charge).await;
            }
            let pending = PendingAnswer::start(gateway, call, &choice.instance, self.progress);
            let sent_at = gateway.now();
            let deadline = self.attempt_deadline();
            let result = send(gateway, call, &choice, last_event, deadline, granted).await;
            pending.end();
            match result {
                Ok(answered) => {
                    self.progress.sent += 1;
                    let status = answered.response.status();
                    if !self.should_retry(status) {
                        return Ok(answered);
                    }
                    answered.attempt.fail(juniper_placement::Outcome::ServerError);
                    self.progress.may_have_run += 1;
                    self.excluded.push(choice.instance);
                }
                Err(error) => {
                    if let Some(charge) = charge.filter(|_| error.is_unsent()) {
                        gateway.refund(&charge);
                    }
                    self.record_failure(choice.instance, error, sent_at);
                }
            }
        }
    }

    /// Why a search that has ended without an answer found no other server.
    pub(crate) fn not_continued(&self) -> NotContinued {
        NotContinued::Search(self.end.unwrap_or(SearchEnd::AttemptsSpent))
    }

    /// Whether to retry after a server error.
    fn should_retry(&self, status: hyper::StatusCode) -> bool {
        let mut after = self.progress;
        after.may_have_run += 1;
        let failed = status.is_server_error();
        failed && self.call.may_retry(after) && self.call.time_left() > MIN_TIME_LEFT * 2
    }

    fn record_failure(&mut self, instance: InstanceId, error: AttemptError, sent_at: Timestamp) {
        log::info!(
            "event=attempt_failed request={} instance={instance} reason=\"{error}\" after_ms={}",
            self.call.id(),
            self.call.arrived.elapsed().as_millis()
        );
        self.gateway.metrics.count_failed_attempt(&error);
        if let AttemptError::Broken(_) = &error {
            self.gateway.record_interrupted(self.call, &instance, sent_at);
        }
        match &error {
            error if error.is_unsent() => self.progress.unreachable += 1,
            error => {
                self.progress.sent += 1;
                self.progress.may_have_run += u32::from(error.may_have_run());
            }
        }
        self.excluded.push(instance);
        self.last_error = Some(error);
    }

    /// Whether a server of the required software version is left. Checked before a retry is taken
    /// from the budget.
    fn may_find_software(&self) -> bool {
        let placement = self.gateway.placement();
        self.software.as_ref().is_none_or(|software| {
            placement.has_software(&self.call.service, software, &self.excluded)
        })
    }

    /// Takes a retry from the budget; the first attempt needs none.
    fn take_retry(&mut self) -> Result<Option<GrantedRetry>, OwnAnswer> {
        if self.progress.sent == 0 {
            return Ok(None);
        }
        let granted = self.gateway.take_retry(self.call);
        let refused = OwnAnswer::Full(FULL_RETRY_AFTER);
        granted.map(Some).ok_or_else(|| self.end(SearchEnd::BudgetSpent, refused))
    }

    /// Chooses a server that admits the request, and returns the charge against its advertised
    /// limit, if any. Nothing is sent to servers at their limits.
    async fn choose_admitted(&self) -> Result<(Choice, Option<GrantedCharge>), ChoiceError> {
        for refusals in 0.. {
            let choice = self.choose(refusals >= MAX_LIMIT_REFUSALS)?;
            match self.gateway.admit_at_server(self.call, &choice).await {
                Admission::Granted(charge) => return Ok((choice, charge)),
                Admission::AtLimit => {}
            }
        }
        unreachable!("only servers without limits are chosen after {MAX_LIMIT_REFUSALS} refusals")
    }

    fn choose(&self, excludes_limited: bool) -> Result<Choice, ChoiceError> {
        let request = ServerRequest {
            service: &self.call.service,
            prompt: self.call.info.prompt.as_ref(),
            sharing_key: hash_sharing_scope(&self.call.sharing_scope),
            excluded: &self.excluded,
            software: self.software.as_ref(),
            excludes_limited,
            rank: self.call.priority,
            may_be_refused: self.progress.sent == 0 && self.call.info.last_event.is_none(),
            min_version: self.min_version(),
            objective: self.call.objective(),
            time_left: self.call.objective().saturating_sub(self.call.arrived.elapsed()),
            max_gap: self.call.max_gap(),
        };
        let now = self.gateway.now();
        self.gateway.placement().choose(&request, now, rand::random())
    }

    fn min_version(&self) -> u64 {
        let Some(prompt) = &self.call.info.prompt else { return 0 };
        let view = self.gateway.feed.latest();
        let strict_after = self.gateway.settings.strict_weights_after();
        let wanted = view.weights.get(&prompt.model);
        wanted.map_or(0, |wanted| wanted.floor(self.gateway.now(), strict_after))
    }

    /// Time until which to wait for an answer before another server is tried.
    fn attempt_deadline(&self) -> Instant {
        let mut after = self.progress;
        after.sent += 1;
        after.may_have_run += 1;
        if !self.call.may_retry(after) {
            return self.call.deadline;
        }
        self.call.deadline.min(Instant::now() + self.call.answer_timeout())
    }

    /// Waits until more than `seen_views` views were applied. Returns whether they were.
    async fn wait_for_servers(&self, seen_views: u64) -> bool {
        let (arrived, deadline) = (self.call.arrived, self.call.deadline);
        self.gateway.wait_for_servers(seen_views, arrived, deadline).await
    }

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

    /// Records an admitted request for the returns of refused callers.
    fn record_admission(&self) {
        let (gateway, call) = (self.gateway, self.call);
        if self.progress == Progress::default() {
            gateway.returns.record_admission(&call.service, call.priority, gateway.now());
        }
    }

    /// Ends the search. Returns the final answer to the caller, which states that the request has not
    /// run only if no server may have run it.
    fn end(&mut self, end: SearchEnd, if_not_run: OwnAnswer) -> OwnAnswer {
        self.end = Some(end);
        if self.progress.may_have_run == 0 {
            return if_not_run;
        }
        log::info!(
            "event=search_ended request={} reason={} sent={} may_have_run={} left_ms={}",
            self.call.id(),
            end.as_str(),
            self.progress.sent,
            self.progress.may_have_run,
            self.call.time_left().as_millis()
        );
        match &self.last_error {
            Some(AttemptError::Timeout) => OwnAnswer::DeadlinePassed,
            _ => OwnAnswer::ServerFailed,
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

    fn log_not_resumable(&self, refusal: ResumeRefusal) {
        self.gateway.metrics.count_resume(refusal.as_str());
        log::info!(
            "event=not_resumable request={} resumes={} service={} software={} reason={} excluded={}",
            self.call.id(),
            self.resumed_request(),
            self.call.service,
            self.software.as_ref().map_or("-", |software| software.as_str()),
            refusal.as_str(),
            self.excluded.len()
        );
    }

    /// Id of the request that began the stream which this request resumes, for logs.
    fn resumed_request(&self) -> &str {
        let CallInfo { last_event, resumed_attempt, .. } = &self.call.info;
        let resumed = resumed_attempt.as_ref().filter(|_| last_event.is_some());
        resumed.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    fn log_choice(&self, choice: &Choice) {
        self.gateway.metrics.cached_tokens.inc_by(u64::from(choice.cached_tokens));
        self.gateway.metrics.prefill_tokens.inc_by(u64::from(choice.prefill_tokens));
        log::info!(
            "event=attempt request={} route={} service={} instance={} reason={} cost_ms={:.1} \
             late={} kept={} missed={} chain={:08x} version={} software={} resumes={} source={} candidates={} \
             catalog={} age_ms={} confirmed_by={} sent={} expected_ms={:.0}",
            self.call.id(),
            self.call.route.name,
            self.call.service,
            choice.instance,
            choice.reason.as_str(),
            choice.cost_ms,
            choice.is_late,
            choice.cached_tokens,
            choice.prefill_tokens,
            choice.keys.last().copied().unwrap_or(0) >> 32,
            choice.version,
            choice.software.as_ref().map_or("-", |software| software.as_str()),
            self.resumed_request(),
            choice.source.map_or_else(|| "-".to_owned(), |source| source.to_string()),
            choice.candidates,
            self.call.view.catalog_version(),
            self.call.config_age.as_millis(),
            self.call.confirmed_by,
            self.progress.sent,
            choice.expected.map_or(-1.0, |expected| expected.first_output_ms)
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

fn hash_sharing_scope(scope: &str) -> u64 {
    scope.bytes().fold(0, |key, byte| key.wrapping_mul(31).wrapping_add(u64::from(byte)))
}

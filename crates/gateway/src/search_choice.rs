//! Choice of the next server of a search, with its admission and the retry from the budget.

use std::time::Duration;

use juniper_placement::{Choice, ChoiceError, ServerRequest};

use crate::answer::OwnAnswer;
use crate::dialect::CallInfo;
use crate::limits::GrantedCharge;
use crate::refusal::FULL_RETRY_AFTER;
use crate::resume::ResumeRefusal;
use crate::retry_budget::GrantedRetry;
use crate::search::ServerSearch;
use crate::search_end::SearchEnd;
use crate::server_limits::Admission;

/// Shortest time left for which a request is still sent.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Number of servers that may be at their advertised limits before only servers without such a
/// limit are tried.
const MAX_LIMIT_REFUSALS: u32 = 4;

/// A server to which the request may be sent.
pub(crate) struct AdmittedChoice {
    pub choice: Choice,
    /// Charge against the server's advertised limit.
    pub charge: Option<GrantedCharge>,
    /// Retry from the budget, unless this is the first attempt.
    pub granted: Option<GrantedRetry>,
}

impl ServerSearch<'_> {
    /// Chooses the next server, with its admission and the retry from the budget.
    pub(crate) async fn choose_next(&mut self) -> Result<AdmittedChoice, OwnAnswer> {
        loop {
            if self.call.time_left() < MIN_TIME_LEFT {
                return Err(self.end(SearchEnd::TooLate, OwnAnswer::TooLate));
            }
            if self.gateway.check_quarantine(self.call, self.progress).await {
                return Err(self.end(SearchEnd::Quarantined, OwnAnswer::Quarantined));
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
            match self.choose_admitted().await {
                Ok((choice, charge)) => return Ok(AdmittedChoice { choice, charge, granted }),
                Err(ChoiceError::NoServer) if self.wait_for_servers(seen_views).await => {}
                Err(refusal) => return Err(self.end_refused(refusal)),
            }
        }
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

    /// Waits until more than `seen_views` views were applied, unless a silent server may answer
    /// meanwhile. Returns whether they were.
    async fn wait_for_servers(&self, seen_views: u64) -> bool {
        if self.silent > 0 {
            return false;
        }
        let (arrived, deadline) = (self.call.arrived, self.call.deadline);
        self.gateway.wait_for_servers(seen_views, arrived, deadline).await
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

    pub(crate) fn log_choice(&self, choice: &Choice) {
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

fn hash_sharing_scope(scope: &str) -> u64 {
    scope.bytes().fold(0, |key, byte| key.wrapping_mul(31).wrapping_add(u64::from(byte)))
}

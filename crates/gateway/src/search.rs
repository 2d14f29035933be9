//! Search for a server that answers a request.

use std::pin::Pin;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use juniper_placement::Outcome;
use juniper_registry::{InstanceId, SoftwareVersion};
use juniper_types::Timestamp;
use tokio::time::{Instant, timeout_at};

use crate::answer::OwnAnswer;
use crate::attempt::{Answered, send};
use crate::attempt_error::AttemptError;
use crate::call::Call;
use crate::gateway::Gateway;
use crate::limits::GrantedCharge;
use crate::open_answer::NotContinued;
use crate::pending_answer::PendingAnswer;
use crate::retry::Progress;
use crate::search_choice::{AdmittedChoice, MIN_TIME_LEFT};
use crate::search_end::SearchEnd;

/// Attempt in progress.
type RunningAttempt<'a> = Pin<Box<dyn Future<Output = EndedAttempt> + Send + 'a>>;

/// Attempt whose answer timeout has not passed.
struct AwaitedAttempt {
    number: u32,
    instance: InstanceId,
    /// Time from which another server is looked for; `None` if no other one may be asked.
    due: Option<Instant>,
}

/// Result of an attempt.
struct EndedAttempt {
    number: u32,
    instance: InstanceId,
    sent_at: Timestamp,
    /// Charge against the server's advertised limit.
    charge: Option<GrantedCharge>,
    result: Result<Answered, AttemptError>,
}

/// Search for a server that answers a request.
pub(crate) struct ServerSearch<'a> {
    pub(crate) gateway: &'a Arc<Gateway>,
    pub(crate) call: &'a Call,
    /// The request, unless the head of its answer was passed on.
    pending: Option<&'a PendingAnswer>,
    /// Attempts so far; those still in progress count once their servers are silent.
    pub progress: Progress,
    /// Number of the latest attempt.
    attempts: u32,
    /// The latest attempt while its answer timeout has not passed.
    awaited: Option<AwaitedAttempt>,
    /// Number of attempts in progress whose answer timeout has passed.
    pub(crate) silent: u32,
    pub(crate) excluded: Vec<InstanceId>,
    /// Software version that began the stream; `None` while any version may begin it.
    pub(crate) software: Option<SoftwareVersion>,
    pub(crate) last_error: Option<AttemptError>,
    /// Why no further server was asked at the latest search.
    pub(crate) end: Option<SearchEnd>,
}

impl<'a> ServerSearch<'a> {
    pub(crate) fn new(gateway: &'a Arc<Gateway>, call: &'a Call) -> Self {
        let (progress, excluded) = (Progress::default(), Vec::new());
        let software = call.software.clone();
        ServerSearch {
            gateway,
            call,
            pending: None,
            progress,
            attempts: 0,
            awaited: None,
            silent: 0,
            excluded,
            software,
            last_error: None,
            end: None,
        }
    }

    /// Restricts the search to servers of the software version that began the stream.
    pub(crate) fn with_software(mut self, software: Option<SoftwareVersion>) -> Self {
        self.software = software;
        self
    }

    /// Records each attempt for a request that has no answer yet.
    pub(crate) fn for_pending(mut self, pending: &'a PendingAnswer) -> Self {
        self.pending = Some(pending);
        self
    }

    /// Continues a search after an attempt at `failed`.
    pub(crate) fn continue_from(mut self, progress: Progress, failed: InstanceId) -> Self {
        self.progress = progress;
        self.excluded.push(failed);
        self
    }

    /// Sends the request to one server after another until one answers. A server that is silent for
    /// longer than the answer timeout may still be at work: it is abandoned only once another one has
    /// answered.
    pub(crate) async fn run(&mut self, last_event: Option<u64>) -> Result<Answered, OwnAnswer> {
        let mut running = FuturesUnordered::new();
        loop {
            if self.awaited.is_none() {
                match self.start_attempt(last_event).await {
                    Ok(attempt) => running.push(attempt),
                    Err(answer) if running.is_empty() => {
                        self.log_end();
                        return Err(answer);
                    }
                    // A silent server may still answer.
                    Err(_) => {}
                }
            }
            let Some(ended) = self.wait(&mut running).await else { continue };
            if let Some(answered) = self.record_end(ended) {
                return Ok(answered);
            }
        }
    }

    /// Attempts so far if the search is dropped now: a server to which the request is being sent may
    /// run it.
    pub(crate) fn progress_if_dropped(&self) -> Progress {
        let mut progress = self.progress;
        if self.awaited.is_some() {
            progress.sent += 1;
            progress.may_have_run += 1;
        }
        progress
    }

    /// Chooses a server and returns the attempt there.
    async fn start_attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<RunningAttempt<'a>, OwnAnswer> {
        let AdmittedChoice { choice, charge, granted } = self.choose_next().await?;
        self.record_admission();
        self.log_choice(&choice);
        self.gateway.log_excluded_servers(self.call);
        let (gateway, call) = (self.gateway, self.call);
        if self.progress.may_have_run > 0
            && let Some(granted_charge) = &call.granted_charge
        {
            gateway.charge_retry(granted_charge).await;
        }
        self.attempts += 1;
        let number = self.attempts;
        let due = self.answer_due();
        self.awaited = Some(AwaitedAttempt { number, instance: choice.instance.clone(), due });
        let sent_at = gateway.now();
        Ok(Box::pin(async move {
            let result = send(gateway, call, &choice, last_event, due, granted).await;
            EndedAttempt { number, instance: choice.instance, sent_at, charge, result }
        }))
    }

    /// Waits until an attempt ends. `None` if it is time to look for another server.
    async fn wait(
        &mut self,
        running: &mut FuturesUnordered<RunningAttempt<'a>>,
    ) -> Option<EndedAttempt> {
        let due = match &self.awaited {
            Some(awaited) => awaited.due,
            None => Some(Instant::now() + self.call.answer_timeout()),
        };
        if let Some(pending) = self.pending {
            pending.record_attempt(self.latest_server(), self.progress);
        }
        let ended = match due {
            Some(due) => timeout_at(due, running.next()).await.ok().flatten(),
            None => running.next().await,
        };
        if ended.is_none() {
            self.count_silence();
        }
        ended
    }

    /// Server of the latest attempt.
    fn latest_server(&self) -> Option<&InstanceId> {
        self.awaited.as_ref().map(|awaited| &awaited.instance).or(self.excluded.last())
    }

    /// Counts the awaited attempt as one that may run although another server is asked.
    fn count_silence(&mut self) {
        let Some(silent) = self.awaited.take() else { return };
        log::info!(
            "event=attempt_silent request={} instance={} after_ms={} left_ms={}",
            self.call.id(),
            silent.instance,
            self.call.arrived.elapsed().as_millis(),
            self.call.time_left().as_millis()
        );
        self.gateway.metrics.silent_attempts.inc();
        self.silent += 1;
        self.progress.sent += 1;
        self.progress.may_have_run += 1;
        self.excluded.push(silent.instance);
    }

    /// Records the end of an attempt. Returns its answer if that is the one for the caller.
    fn record_end(&mut self, ended: EndedAttempt) -> Option<Answered> {
        let EndedAttempt { number, instance, sent_at, charge, result } = ended;
        if self.awaited.take_if(|awaited| awaited.number == number).is_none() {
            // It was counted when it became silent.
            self.silent -= 1;
            self.progress.sent -= 1;
            self.progress.may_have_run -= 1;
        }
        match result {
            Ok(answered) => {
                self.progress.sent += 1;
                let status = answered.response.status();
                // Another server may do better, one that is still at work in particular.
                let may_do_better = self.silent > 0 || self.may_retry_failure();
                if !(status.is_server_error() && may_do_better) {
                    return Some(answered);
                }
                answered.attempt.fail(Outcome::ServerError);
                self.progress.may_have_run += 1;
                self.excluded.push(instance);
            }
            Err(error) => {
                if let Some(charge) = charge.filter(|_| error.is_unsent()) {
                    self.gateway.refund(&charge);
                }
                self.record_failure(instance, error, sent_at);
            }
        }
        None
    }

    /// Logs why no further server is asked although one may have run the request.
    fn log_end(&self) {
        let Some(end) = self.end.filter(|_| self.progress.may_have_run > 0) else { return };
        log::info!(
            "event=search_ended request={} reason={} sent={} may_have_run={} left_ms={}",
            self.call.id(),
            end.as_str(),
            self.progress.sent,
            self.progress.may_have_run,
            self.call.time_left().as_millis()
        );
    }

    /// Why a search that has ended without an answer found no other server.
    pub(crate) fn not_continued(&self) -> NotContinued {
        NotContinued::Search(self.end.unwrap_or(SearchEnd::AttemptsSpent))
    }

    /// Whether to retry after a server error.
    fn may_retry_failure(&self) -> bool {
        let mut after = self.progress;
        after.may_have_run += 1;
        self.call.may_retry(after) && self.call.time_left() > MIN_TIME_LEFT * 2
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

    /// Time from which another server is looked for; `None` if the route allows none.
    fn answer_due(&self) -> Option<Instant> {
        let mut after = self.progress;
        after.sent += 1;
        after.may_have_run += 1;
        self.call.may_retry(after).then(|| Instant::now() + self.call.answer_timeout())
    }

    /// Records an admitted request for the returns of refused callers.
    fn record_admission(&self) {
        let (gateway, call) = (self.gateway, self.call);
        if self.progress == Progress::default() {
            gateway.returns.record_admission(&call.service, call.priority, gateway.now());
        }
    }
}

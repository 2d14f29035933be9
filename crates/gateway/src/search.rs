//! The search for a server that answers a request.

use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{Choice, NoChoice, Overload, ServerRequest};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;
use tokio::time::Instant;

use crate::answer::OwnAnswer;
use crate::attempt::{Answered, AttemptError, send};
use crate::call::{Call, NO_SERVER_PAUSE};
use crate::finish::Unanswered;
use crate::gateway::Gateway;
use crate::limits::Charged;
use crate::retry::Progress;
use crate::server_limits::Admission;

/// Shortest time that is worth sending a request for.
const LEAST_TIME: Duration = Duration::from_millis(10);

/// Servers that may say that they have got all that they take before only those are asked that state
/// no limit.
const MAX_REFUSALS: u32 = 4;

/// Pause asked of a caller when servers are full.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Shortest pause asked of a caller that was refused since too much waits, relative to its objective:
/// queues move by then, and one that comes back later can hardly be in time.
const SOONEST_RETURN: f64 = 0.1;

/// Time over which the callers of one rank come back after the rest of all servers.
const RETURN_SPREAD: Duration = Duration::from_millis(200);

/// The search for a server that answers.
pub(crate) struct ServerSearch<'a> {
    gateway: &'a Arc<Gateway>,
    call: &'a Call,
    pub progress: Progress,
    excluded: Vec<InstanceId>,
    last_error: Option<AttemptError>,
}

impl<'a> ServerSearch<'a> {
    pub(crate) fn new(gateway: &'a Arc<Gateway>, call: &'a Call) -> Self {
        let (progress, excluded) = (Progress::default(), Vec::new());
        ServerSearch { gateway, call, progress, excluded, last_error: None }
    }

    /// Goes on after sendings that came to nothing.
    pub(crate) fn after(mut self, progress: Progress, failed: InstanceId) -> Self {
        self.progress = progress;
        self.excluded.push(failed);
        self
    }

    /// Sends to one server after another until one answers.
    pub(crate) async fn run(&mut self, last_event: Option<u64>) -> Result<Answered, OwnAnswer> {
        loop {
            if self.call.time_left() < LEAST_TIME {
                return Err(self.given_up(OwnAnswer::TooLate));
            }
            if self.gateway.is_quarantined(self.call) {
                return Err(OwnAnswer::Quarantined);
            }
            if !self.call.may_repeat(self.progress) || !self.is_within_budget() {
                return Err(self.given_up(OwnAnswer::Full(FULL_PAUSE)));
            }
            let views = *self.gateway.views_taken.borrow();
            let (choice, counted) = match self.choose_admitted().await {
                Ok(admitted) => admitted,
                Err(NoChoice::NoServer) if self.waits_for_servers(views).await => continue,
                Err(refusal) => return Err(self.given_up(self.refusal(refusal))),
            };
            self.log_choice(&choice);
            self.gateway.log_passed_over(self.call);
            let (gateway, call) = (self.gateway, self.call);
            if self.progress.may_have_run > 0
                && let Some(charged) = &call.charged
            {
                gateway.charge_again(charged).await;
            }
            let unanswered = Unanswered::by(gateway, call, &choice.instance, self.progress);
            let sent_at = gateway.now();
            let sent = send(gateway, call, &choice, last_event, self.give_up_at()).await;
            unanswered.end();
            match sent {
                Ok(answered) => {
                    self.progress.sent += 1;
                    let status = answered.response.status();
                    if !self.should_ask_again(status) {
                        return Ok(answered);
                    }
                    answered.attempt.fail(juniper_placement::Outcome::ServerError);
                    self.progress.may_have_run += 1;
                    self.excluded.push(choice.instance);
                }
                Err(error) => {
                    if let Some(counted) = counted.filter(|_| error.is_unsent()) {
                        gateway.give_back(&counted);
                    }
                    self.note(choice.instance, error, sent_at);
                }
            }
        }
    }

    /// A server's own failure is asked about once more where that is allowed.
    fn should_ask_again(&self, status: hyper::StatusCode) -> bool {
        let mut after = self.progress;
        after.may_have_run += 1;
        let failed = status.is_server_error();
        failed && self.call.may_repeat(after) && self.call.time_left() > LEAST_TIME * 2
    }

    fn note(&mut self, instance: InstanceId, error: AttemptError, sent_at: Timestamp) {
        log::info!(
            "event=attempt_failed request={} instance={instance} reason=\"{error}\" after_ms={}",
            self.call.id(),
            self.call.arrived.elapsed().as_millis()
        );
        self.gateway.metrics.attempt_failed(&error);
        match &error {
            AttemptError::Broken(_) => {
                self.gateway.note_cut(self.call, &instance, sent_at);
            }
            error if error.is_refused() => self.gateway.note_refused(&instance),
            _ => {}
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

    /// Only sendings beyond the first are charged.
    fn is_within_budget(&self) -> bool {
        if self.progress.sent == 0 {
            return true;
        }
        let now = self.gateway.now();
        let routers = self.gateway.feed.router_count();
        let taken = self.gateway.budget().take(&self.call.service, routers, now);
        if !taken {
            self.gateway.metrics.budget_spent.inc();
        }
        taken
    }

    /// Chooses a server that takes the request, with what was counted for it. One that has got all
    /// that it takes is passed over without a sending.
    async fn choose_admitted(&self) -> Result<(Choice, Option<Charged>), NoChoice> {
        for refusals in 0.. {
            let choice = self.choose(refusals >= MAX_REFUSALS)?;
            match self.gateway.admit_at_server(self.call, &choice).await {
                Admission::Granted(counted) => return Ok((choice, counted)),
                Admission::UsedUp => {}
            }
        }
        unreachable!("servers with limits are left out after some refusals")
    }

    fn choose(&self, spares_limited: bool) -> Result<Choice, NoChoice> {
        let request = ServerRequest {
            service: &self.call.service,
            prompt: self.call.facts.prompt.as_ref(),
            sharing: sharing_key(&self.call.sharing),
            excluded: &self.excluded,
            spares_limited,
            rank: self.call.priority,
            may_be_refused: self.progress.sent == 0 && self.call.facts.last_event.is_none(),
            min_version: self.min_version(),
            objective: self.call.objective(),
            time_left: self.call.objective().saturating_sub(self.call.arrived.elapsed()),
            max_pause: self.call.max_pause(),
        };
        let now = self.gateway.now();
        self.gateway.placement().choose(&request, now, rand::random())
    }

    fn min_version(&self) -> u64 {
        let Some(prompt) = &self.call.facts.prompt else { return 0 };
        let view = self.gateway.feed.latest();
        let strict_after = self.gateway.settings.strict_weights_after();
        let wanted = view.weights.get(&prompt.model);
        wanted.map_or(0, |wanted| wanted.floor(self.gateway.now(), strict_after))
    }

    /// Until when the answer is waited for before another server is asked.
    fn give_up_at(&self) -> Instant {
        let mut after = self.progress;
        after.sent += 1;
        after.may_have_run += 1;
        if !self.call.may_repeat(after) {
            return self.call.deadline;
        }
        self.call.deadline.min(Instant::now() + self.call.unusual_silence())
    }

    /// Whether more is known of servers after a wait than when `views` were taken over.
    async fn waits_for_servers(&self, views: u64) -> bool {
        let (arrived, deadline) = (self.call.arrived, self.call.deadline);
        self.gateway.wait_for_servers(views, arrived, deadline).await
    }

    fn refusal(&self, refusal: NoChoice) -> OwnAnswer {
        match refusal {
            NoChoice::NoServer | NoChoice::OldWeights => OwnAnswer::NoServer(NO_SERVER_PAUSE),
            NoChoice::AllExcluded => OwnAnswer::Full(FULL_PAUSE),
            NoChoice::Overloaded(overload) => {
                self.log_overload(&overload);
                let soonest = self.call.objective().mul_f64(SOONEST_RETURN);
                OwnAnswer::Overloaded(spread(overload.excess().max(soonest)))
            }
            NoChoice::Resting(rest) => {
                self.gateway.log_passed_over(self.call);
                OwnAnswer::ServersResting(return_after(rest, self.call.priority))
            }
            NoChoice::UsedUp(pause) => OwnAnswer::ServersUsedUp(spread(pause.max(FULL_PAUSE))),
        }
    }

    /// The final answer: a promise that the request has not run only where that is so.
    fn given_up(&self, unless_run: OwnAnswer) -> OwnAnswer {
        if self.progress.may_have_run == 0 {
            return unless_run;
        }
        match &self.last_error {
            Some(AttemptError::Silent) => OwnAnswer::DeadlinePassed,
            _ => OwnAnswer::ServerFailed,
        }
    }

    fn log_overload(&self, overload: &Overload) {
        log::info!(
            "event=overloaded request={} route={} service={} rank={} expected_ms={:.0} \
             wait_ms={:.0} least_waits_ms={:.0} limit_ms={:.0}",
            self.call.id(),
            self.call.route.name,
            self.call.service,
            self.call.priority,
            overload.prospect.first_output_ms,
            overload.prospect.wait_ms,
            overload.least_waits_ms,
            overload.limit_ms
        );
    }

    fn log_choice(&self, choice: &Choice) {
        self.gateway.metrics.kept_tokens.inc_by(u64::from(choice.kept_tokens));
        self.gateway.metrics.missed_tokens.inc_by(u64::from(choice.missed_tokens));
        log::info!(
            "event=attempt request={} route={} service={} instance={} reason={} cost_ms={:.1} \
             late={} kept={} missed={} chain={:08x} version={} source={} candidates={} catalog={} age_ms={} sent={}",
            self.call.id(),
            self.call.route.name,
            self.call.service,
            choice.instance,
            choice.reason.as_str(),
            choice.cost_ms,
            choice.is_late,
            choice.kept_tokens,
            choice.missed_tokens,
            choice.keys.last().copied().unwrap_or(0) >> 32,
            choice.version,
            choice.source.map_or_else(|| "-".to_owned(), |source| source.to_string()),
            choice.candidates,
            self.call.view.catalog_version(),
            self.call.config_age.as_millis(),
            self.progress.sent
        );
    }
}

/// A pause asked of a caller, drawn so that those who were refused together don't come back together.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(1.0 + rand::random::<f64>())
}

/// When a caller of this rank is asked back after a rest: the more urgent sooner, and not all together.
fn return_after(rest: Duration, rank: u8) -> Duration {
    rest + RETURN_SPREAD.mul_f64(f64::from(rank) + rand::random::<f64>())
}

fn sharing_key(sharing: &str) -> u64 {
    sharing.bytes().fold(0, |key, byte| key.wrapping_mul(31).wrapping_add(u64::from(byte)))
}

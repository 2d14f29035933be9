//! One request, from its head to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use juniper_catalog::{KeyAccess, Route};
use juniper_feed::FleetView;
use juniper_placement::{Choice, NoChoice, ServerRequest};
use juniper_registry::InstanceId;
use tokio::time::{Instant, timeout_at};

use crate::answer::OwnAnswer;
use crate::attempt::{Answered, AttemptError, is_promise, send, strip_hop_headers};
use crate::body::AnswerBody;
use crate::dialect::CallFacts;
use crate::gateway::Gateway;
use crate::relay;
use crate::retry::{Progress, RetryQuestion};

/// Time of a caller that states no deadline.
const USUAL_DEADLINE: Duration = Duration::from_secs(30);

/// Time by which the gateway answers before the caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Shortest time that is worth sending a request for.
const LEAST_TIME: Duration = Duration::from_millis(10);

/// Pause asked of a caller when no server may be used.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(500);

/// Pause asked of a caller when servers are full.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Silence of a server, relative to the objective, after which a request that
/// may be repeated is sent to another one.
const SILENCE_FACTOR: f64 = 2.0;

/// The same for a prompt. A server that is only busy would have read part of it
/// for nothing, and one without power is noticed by the connection.
const PROMPT_SILENCE_FACTOR: f64 = 3.2;

/// Shortest silence after which another server is asked.
const LEAST_SILENCE: Duration = Duration::from_millis(500);

/// Tenants whose cached parts are shared with others.
const SHARED: &str = "shared";

/// A request that was matched with a route.
pub(crate) struct Call {
    pub view: Arc<FleetView>,
    pub facts: CallFacts,
    pub route: Route,
    pub service: String,
    pub tenant: Option<String>,
    pub priority: u8,
    /// Names the callers among whom cached parts are shared.
    pub sharing: String,
    pub method: Method,
    pub uri: Uri,
    /// The caller's headers, without those of its connection.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Age of what was known of the configuration when the request came.
    pub config_age: Duration,
}

impl Call {
    pub(crate) fn has_prompt(&self) -> bool {
        self.facts.prompt.is_some()
    }

    pub(crate) fn objective(&self) -> Duration {
        Duration::from_millis(self.route.objective_ms)
    }

    /// The id for logs.
    pub(crate) fn id(&self) -> &str {
        self.facts.id.to_str().unwrap_or("-")
    }

    /// Whether the rules of the route allow another sending.
    pub(crate) fn may_repeat(&self, progress: Progress) -> bool {
        let question = RetryQuestion {
            progress,
            kind: self.route.kind,
            resumable: self.route.resumable,
            max_attempts: self.route.max_attempts,
        };
        question.is_allowed()
    }
}

/// Answers one request. `None` means that the caller has left.
pub(crate) async fn answer(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
) -> Option<Response<AnswerBody>> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let facts = match gateway.dialect.read_call(&head) {
        Ok(facts) => facts,
        Err(fault) => {
            log::warn!("event=request_refused request=- reason=malformed fault=\"{fault}\"");
            gateway.metrics.own_answer(None, OwnAnswer::Malformed);
            return Some(OwnAnswer::Malformed.response(&*gateway.dialect, None));
        }
    };
    let id = facts.id.clone();
    match admit(gateway, head, body, facts, arrived).await {
        Ok(Some(call)) => Some(serve(gateway, call).await),
        Ok(None) => None,
        Err(own) => {
            let shown = id.to_str().unwrap_or("-");
            let (reason, status) = (own.reason(), own.status().as_u16());
            let age_ms = gateway.feed.age().map_or(-1, |age| age.as_millis() as i64);
            log::info!(
                "event=request_refused request={shown} reason={reason} status={status} \
                 catalog={} age_ms={age_ms}",
                gateway.feed.latest().catalog_version()
            );
            gateway.metrics.own_answer(None, own);
            Some(own.response(&*gateway.dialect, Some(&id)))
        }
    }
}

/// Matches the request with a route and checks its key and its body. `Ok(None)`
/// means that the caller has left.
async fn admit(
    gateway: &Arc<Gateway>,
    head: Parts,
    body: Incoming,
    facts: CallFacts,
    arrived: Instant,
) -> Result<Option<Call>, OwnAnswer> {
    let view = gateway.feed.latest();
    let (Some(index), Some(age)) = (view.catalog.clone(), gateway.feed.age()) else {
        return Err(OwnAnswer::Starting);
    };
    let is_certain = age < gateway.settings.certain_age_limit();
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    let host = host.split(':').next().unwrap_or(host);
    let place = index.route_at(host, head.uri.path());
    let Some(route) = place.and_then(|place| index.route(place)) else {
        return Err(if is_certain { OwnAnswer::NoRoute } else { OwnAnswer::Unconfirmed });
    };
    let tenant = match index.access(route, facts.key.as_deref()) {
        KeyAccess::Tenant(tenant) if age < gateway.settings.key_age_limit() => Some(tenant),
        KeyAccess::Tenant(_) => return Err(OwnAnswer::Unconfirmed),
        KeyAccess::Open => None,
        KeyAccess::Denied if is_certain => return Err(OwnAnswer::UnknownKey),
        KeyAccess::Denied => return Err(OwnAnswer::Unconfirmed),
    };
    let wait = Duration::from_millis(route.timeout_ms);
    let wait = wait.min(facts.deadline.unwrap_or(USUAL_DEADLINE));
    let deadline = arrived + wait.saturating_sub(ANSWER_MARGIN);
    let limit = index.catalog().limits.body_bytes;
    let Some(body) = read_body(&head.headers, body, limit, deadline).await? else {
        return Ok(None);
    };
    let isolated = tenant.filter(|tenant| tenant.isolated);
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let service = gateway.pick_service(route).ok_or(OwnAnswer::NoServer(NO_SERVER_PAUSE))?;
    Ok(Some(Call {
        facts,
        service,
        tenant: tenant.map(|tenant| tenant.name.clone()),
        priority: tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority),
        sharing: isolated.map_or_else(|| SHARED.to_owned(), |tenant| format!("t-{}", tenant.name)),
        method: head.method,
        uri: head.uri,
        headers,
        body,
        arrived,
        deadline,
        config_age: age,
        route: route.clone(),
        view,
    }))
}

/// Reads a body whole. `Ok(None)` means that the caller has left.
async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    limit: u64,
    deadline: Instant,
) -> Result<Option<Bytes>, OwnAnswer> {
    let stated = headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
    let stated = stated.and_then(|length| length.parse::<u64>().ok());
    if stated.is_some_and(|length| length > limit) {
        return Err(OwnAnswer::TooLarge);
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match timeout_at(deadline, Limited::new(body, limit).collect()).await {
        Err(_) => Err(OwnAnswer::TooLate),
        Ok(Ok(body)) => Ok(Some(body.to_bytes())),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(OwnAnswer::TooLarge)
        }
        Ok(Err(_)) => Ok(None),
    }
}

/// Sends the request to servers until one answers or none may be asked any more.
async fn serve(gateway: &Arc<Gateway>, call: Call) -> Response<AnswerBody> {
    let now = gateway.now();
    gateway.budget().record_request(&call.service, now);
    let mut search = ServerSearch::new(gateway, &call);
    match search.run(call.facts.last_event).await {
        Ok(answered) => {
            let progress = search.progress;
            relay::pass_on(Arc::clone(gateway), call, answered, progress).await
        }
        Err(own) => own_answer(gateway, &call, own, search.progress),
    }
}

/// Gives up on the request with an answer of the gateway's own.
pub(crate) fn own_answer(
    gateway: &Gateway,
    call: &Call,
    own: OwnAnswer,
    progress: Progress,
) -> Response<AnswerBody> {
    log::info!(
        "event=request_done request={} route={} outcome=own_answer reason={} status={} sent={} \
         may_have_run={} unreachable={} took_ms={}",
        call.id(),
        call.route.name,
        own.reason(),
        own.status().as_u16(),
        progress.sent,
        progress.may_have_run,
        progress.unreachable,
        call.arrived.elapsed().as_millis()
    );
    gateway.metrics.own_answer(Some(call.route.kind), own);
    own.response(&*gateway.dialect, Some(&call.facts.id))
}

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
            let left = self.call.deadline.saturating_duration_since(Instant::now());
            if left < LEAST_TIME {
                return Err(self.given_up(OwnAnswer::TooLate));
            }
            if !self.call.may_repeat(self.progress) || !self.is_within_budget() {
                return Err(self.given_up(OwnAnswer::Full(FULL_PAUSE)));
            }
            let choice = match self.choose() {
                Ok(choice) => choice,
                Err(refusal) => return Err(self.given_up(self.refusal(refusal))),
            };
            self.log_choice(&choice);
            let sent = send(self.gateway, self.call, &choice, last_event, self.patience()).await;
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
                Err(error) => self.note(choice.instance, error),
            }
        }
    }

    /// A server's own failure is asked about once more where that is allowed.
    fn should_ask_again(&self, status: hyper::StatusCode) -> bool {
        let mut after = self.progress;
        after.may_have_run += 1;
        let failed = status.is_server_error();
        let time_left = self.call.deadline.saturating_duration_since(Instant::now());
        failed && self.call.may_repeat(after) && time_left > LEAST_TIME * 2
    }

    fn note(&mut self, instance: InstanceId, error: AttemptError) {
        log::info!(
            "event=attempt_failed request={} instance={instance} reason=\"{error}\" after_ms={}",
            self.call.id(),
            self.call.arrived.elapsed().as_millis()
        );
        self.gateway.metrics.attempt_failed(&error);
        match &error {
            AttemptError::NotSent(_) => self.progress.unreachable += 1,
            error => {
                self.progress.sent += 1;
                self.progress.may_have_run += u32::from(error.may_have_run());
            }
        }
        if !matches!(error, AttemptError::OtherVersion) {
            self.excluded.push(instance);
        }
        self.last_error = Some(error);
    }

    /// Only sendings beyond the first are charged.
    fn is_within_budget(&self) -> bool {
        if self.progress.sent == 0 {
            return true;
        }
        let now = self.gateway.now();
        let routers = self.gateway.feed.routers();
        let taken = self.gateway.budget().take(&self.call.service, routers, now);
        if !taken {
            self.gateway.metrics.budget_spent.inc();
        }
        taken
    }

    fn choose(&self) -> Result<Choice, NoChoice> {
        let request = ServerRequest {
            service: &self.call.service,
            prompt: self.call.facts.prompt.as_ref(),
            sharing: sharing_key(&self.call.sharing),
            excluded: &self.excluded,
            min_version: self.min_version(),
            objective: self.call.objective(),
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
    fn patience(&self) -> Instant {
        let mut after = self.progress;
        after.sent += 1;
        after.may_have_run += 1;
        if !self.call.may_repeat(after) {
            return self.call.deadline;
        }
        let factor = match self.call.has_prompt() {
            true => PROMPT_SILENCE_FACTOR,
            false => SILENCE_FACTOR,
        };
        let patience = self.call.objective().mul_f64(factor).max(LEAST_SILENCE);
        self.call.deadline.min(Instant::now() + patience)
    }

    fn refusal(&self, refusal: NoChoice) -> OwnAnswer {
        match refusal {
            NoChoice::NoServer | NoChoice::OldWeights => OwnAnswer::NoServer(NO_SERVER_PAUSE),
            NoChoice::AllExcluded => OwnAnswer::Full(FULL_PAUSE),
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

    fn log_choice(&self, choice: &Choice) {
        self.gateway.metrics.kept_tokens.inc_by(u64::from(choice.kept_tokens));
        self.gateway.metrics.missed_tokens.inc_by(u64::from(choice.missed_tokens));
        log::info!(
            "event=attempt request={} route={} service={} instance={} reason={} cost_ms={:.1} \
             kept={} missed={} chain={:08x} version={} source={} candidates={} catalog={} age_ms={} sent={}",
            self.call.id(),
            self.call.route.name,
            self.call.service,
            choice.instance,
            choice.reason.as_str(),
            choice.cost_ms,
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

/// Whether a status that a server gave may be passed on for a request that may have run.
pub(crate) fn is_truthful(status: hyper::StatusCode) -> bool {
    !is_promise(status)
}

fn sharing_key(sharing: &str) -> u64 {
    sharing.bytes().fold(0, |key, byte| key.wrapping_mul(31).wrapping_add(u64::from(byte)))
}

//! One request, from its head to the head of its answer.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use juniper_catalog::{KeyAccess, Route};
use juniper_clock::BootInstant;
use juniper_feed::FleetView;
use juniper_types::{FingerprintKey, RequestContent, RequestFingerprint};
use tokio::time::{Instant, timeout_at};

use crate::answer::OwnAnswer;
use crate::attempt::strip_hop_headers;
use crate::body::AnswerBody;
use crate::dialect::CallFacts;
use crate::finish::own_answer;
use crate::gateway::Gateway;
use crate::limits::Charged;
use crate::relay;
use crate::retry::{Progress, RetryQuestion};
use crate::search::ServerSearch;
use crate::starting::MAX_BODY_BYTES;

/// Time of a caller that states no deadline.
const USUAL_DEADLINE: Duration = Duration::from_secs(30);

/// Time by which the gateway answers before the caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Silence of a server, relative to the objective, after which a request that
/// may be repeated is sent to another one.
const SILENCE_FACTOR: f64 = 2.0;

/// The same for a prompt. A server that is only busy would have read part of it
/// for nothing, and one without power is noticed by the connection.
const PROMPT_SILENCE_FACTOR: f64 = 3.2;

/// Shortest silence that is unusual.
const LEAST_SILENCE: Duration = Duration::from_millis(500);

/// Pause asked of a caller when no server may be used.
pub(crate) const NO_SERVER_PAUSE: Duration = Duration::from_millis(500);

/// Tenants whose cached parts are shared with others.
const SHARED: &str = "shared";

/// A request that was matched with a route.
pub(crate) struct Call {
    pub view: Arc<FleetView>,
    pub facts: CallFacts,
    pub route: Route,
    pub service: String,
    pub tenant: Option<String>,
    /// What was counted against the tenant's limit.
    pub charged: Option<Charged>,
    pub priority: u8,
    /// Names the callers among whom cached parts are shared.
    pub sharing: String,
    pub method: Method,
    pub uri: Uri,
    /// The caller's headers, without those of its connection.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Names the content, once that was asked for.
    fingerprint: OnceLock<RequestFingerprint>,
    pub arrived: Instant,
    pub deadline: Instant,
    /// The same on the clock that counts suspensions: the caller's time went on.
    ends_at: BootInstant,
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

    /// Tokens of the prompt and the most that are generated, for limits; `None` without a prompt.
    fn tokens(facts: &CallFacts) -> Option<u64> {
        let prompt = facts.prompt.as_ref()?;
        Some(u64::from(prompt.tokens) + u64::from(prompt.output_tokens))
    }

    /// Silence of a server after which it has probably lost the request.
    pub(crate) fn unusual_silence(&self) -> Duration {
        let factor = match self.has_prompt() {
            true => PROMPT_SILENCE_FACTOR,
            false => SILENCE_FACTOR,
        };
        self.objective().mul_f64(factor).max(LEAST_SILENCE)
    }

    /// Longest pause within an answer that is still in time, if it is a stream.
    pub(crate) fn max_pause(&self) -> Option<Duration> {
        self.route.max_pause_ms.map(Duration::from_millis)
    }

    /// The id for logs.
    pub(crate) fn id(&self) -> &str {
        self.facts.id.to_str().unwrap_or("-")
    }

    /// Time that is left to the caller, also after a suspension.
    pub(crate) fn time_left(&self) -> Duration {
        let awake = self.deadline.saturating_duration_since(Instant::now());
        awake.min(self.ends_at.since(BootInstant::now()))
    }

    /// Names the content of the request. Worked out when it is first asked for: when the request
    /// has ended, or before it is sent while any request is suspected of ending servers.
    pub(crate) fn fingerprint(&self, key: &FingerprintKey) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            key.fingerprint(&RequestContent {
                method: self.method.as_str(),
                host: host_of(&self.headers),
                path: self.uri.path_and_query().map_or("", |path| path.as_str()),
                tenant: self.tenant.as_deref(),
                body: &self.body,
            })
        })
    }

    /// Whether the rules of the route allow another sending.
    pub(crate) fn may_repeat(&self, progress: Progress) -> bool {
        let question = RetryQuestion {
            progress,
            repeatable: self.route.is_repeatable(),
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
            let age_ms = gateway.feed.confirmation_age().map_or(-1, |age| age.as_millis() as i64);
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
    let wait = facts.deadline.unwrap_or(USUAL_DEADLINE);
    let body = match gateway.has_started() {
        true => RequestBody::Unread(body),
        false => match wait_for_start(gateway, &head.headers, body, arrived, wait).await? {
            Some(bytes) => RequestBody::Read(bytes),
            None => return Ok(None),
        },
    };
    let view = gateway.feed.latest();
    let (Some(index), Some(age)) = (view.catalog.clone(), gateway.feed.confirmation_age()) else {
        return Err(OwnAnswer::Starting);
    };
    let is_certain = age < gateway.settings.certain_age_limit();
    let place = index.route_at(host_of(&head.headers), head.uri.path());
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
    let wait = wait.min(Duration::from_millis(route.timeout_ms));
    let deadline = arrived + wait.saturating_sub(ANSWER_MARGIN);
    let ends_at = BootInstant::now() + deadline.saturating_duration_since(Instant::now());
    let limit = index.catalog().limits.body_bytes;
    let body = match body {
        RequestBody::Unread(body) => read_body(&head.headers, body, limit, deadline).await?,
        RequestBody::Read(bytes) if bytes.len() as u64 > limit => return Err(OwnAnswer::TooLarge),
        RequestBody::Read(bytes) => Some(bytes),
    };
    let Some(body) = body else { return Ok(None) };
    let isolated = tenant.filter(|tenant| tenant.isolated);
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let charged = match tenant {
        Some(tenant) => {
            let shown = facts.id.to_str().unwrap_or("-");
            let (version, tokens) = (index.catalog().version, Call::tokens(&facts));
            gateway.charge(shown, tenant, version, tokens).await?
        }
        None => None,
    };
    let service = gateway.pick_service(route).ok_or(OwnAnswer::NoServer(NO_SERVER_PAUSE))?;
    Ok(Some(Call {
        facts,
        service,
        tenant: tenant.map(|tenant| tenant.name.clone()),
        charged,
        priority: tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority),
        sharing: isolated.map_or_else(|| SHARED.to_owned(), |tenant| format!("t-{}", tenant.name)),
        method: head.method,
        uri: head.uri,
        headers,
        body,
        fingerprint: OnceLock::new(),
        arrived,
        deadline,
        ends_at,
        config_age: age,
        route: route.clone(),
        view,
    }))
}

/// The host that was asked for, without a port.
fn host_of(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    host.split(':').next().unwrap_or(host)
}

/// The body of a request.
enum RequestBody {
    Unread(Incoming),
    /// It was read while the request waited for the gateway's start.
    Read(Bytes),
}

/// Reads the body of a request that came before the first confirmation, and waits for that.
/// `Ok(None)` means that the caller has left.
async fn wait_for_start(
    gateway: &Gateway,
    headers: &HeaderMap,
    body: Incoming,
    arrived: Instant,
    wait: Duration,
) -> Result<Option<Bytes>, OwnAnswer> {
    let _place = gateway.starting.enter().ok_or(OwnAnswer::Starting)?;
    let deadline = arrived + wait.saturating_sub(ANSWER_MARGIN);
    let read = read_body(headers, body, MAX_BODY_BYTES, deadline).await;
    // Longer bodies may be allowed; that isn't known yet.
    let read = read.map_err(|_| OwnAnswer::Starting)?;
    if !gateway.wait_for_start(arrived, deadline).await {
        return Err(OwnAnswer::Starting);
    }
    log::info!("event=start_awaited waited_ms={}", arrived.elapsed().as_millis());
    Ok(read)
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

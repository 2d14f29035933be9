//! Handling of one request, from its head to the head of its answer.

use std::collections::BTreeSet;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use juniper_catalog::{KeyAccess, Route, RouteKind};
use juniper_clock::BootInstant;
use juniper_feed::{ConfirmationFields, ConfirmedView, FleetView};
use juniper_intake::{HeldBody, ReadLimits};
use juniper_registry::SoftwareVersion;
use juniper_types::{FingerprintKey, NodeId, RequestContent, RequestFingerprint};
use tokio::time::Instant;

use crate::answer::OwnAnswer;
use crate::body::AnswerBody;
use crate::connection_headers::strip_hop_headers;
use crate::dialect::CallInfo;
use crate::finish::own_answer;
use crate::gateway::Gateway;
use crate::limits::GrantedCharge;
use crate::pending_answer::PendingAnswer;
use crate::relay;
use crate::request_body::{RequestBody, leave_unread, read_request_body, to_usize, wait_for_start};
use crate::retry::{Progress, RetryCheck};
use crate::search::ServerSearch;

/// Deadline of a caller that states none.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Time reserved for the gateway's answer to reach the caller before its deadline.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Answer timeout relative to the objective, after which a retryable request is sent to another
/// server.
const TIMEOUT_FACTOR: f64 = 2.0;

/// Answer timeout of a prompt relative to the objective. Longer than for other requests: a busy
/// server's prefill would be wasted, and a server without power is noticed by the connection.
const PROMPT_TIMEOUT_FACTOR: f64 = 3.2;

/// Shortest answer timeout.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which the end of an answer may stay unconfirmed before another server is asked.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// `Retry-After` when no server is available.
pub(crate) const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Sharing scope of tenants that share cached prefixes with each other.
const SHARED_SCOPE: &str = "shared";

/// A caller's request that was matched with a route.
pub(crate) struct Call {
    pub view: Arc<FleetView>,
    pub info: CallInfo,
    pub route: Route,
    pub service: String,
    /// Software version that began the stream which the call resumes; `None` if it begins one.
    pub software: Option<SoftwareVersion>,
    pub tenant: Option<String>,
    /// Charge against the tenant's limit.
    pub granted_charge: Option<GrantedCharge>,
    pub priority: u8,
    /// Name of the group of callers that share cached prefixes.
    pub sharing_scope: String,
    pub method: Method,
    pub uri: Uri,
    /// The caller's headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    pub body: HeldBody,
    /// Fingerprint of the content, computed at first use.
    fingerprint: OnceLock<RequestFingerprint>,
    /// Fingerprints of the prompt's shared parts, computed at first use.
    part_fingerprints: OnceLock<Vec<RequestFingerprint>>,
    /// Quarantined part that the request may try, once granted.
    pub trial: OnceLock<RequestFingerprint>,
    pub arrived: Instant,
    pub deadline: Instant,
    /// The deadline on the clock that counts suspensions, during which the caller's time goes on.
    boot_deadline: BootInstant,
    /// Age of the configuration when the request arrived.
    pub config_age: Duration,
    /// Replica that confirmed the configuration.
    pub confirmed_by: NodeId,
}

impl Call {
    pub(crate) fn has_prompt(&self) -> bool {
        self.info.prompt.is_some()
    }

    pub(crate) fn objective(&self) -> Duration {
        Duration::from_millis(self.route.objective_ms)
    }

    /// Tokens of the prompt and maximum of tokens generated, for limits; `None` without a prompt.
    fn tokens(info: &CallInfo) -> Option<u64> {
        let prompt = info.prompt.as_ref()?;
        Some(u64::from(prompt.tokens) + u64::from(prompt.output_tokens))
    }

    /// Time without an answer after which the request is assumed to be lost.
    pub(crate) fn answer_timeout(&self) -> Duration {
        let factor = match self.has_prompt() {
            true => PROMPT_TIMEOUT_FACTOR,
            false => TIMEOUT_FACTOR,
        };
        self.objective().mul_f64(factor).max(MIN_ANSWER_TIMEOUT)
    }

    /// Longest gap between two events of a stream that is still in time.
    pub(crate) fn max_gap(&self) -> Option<Duration> {
        self.route.max_pause_ms.map(Duration::from_millis)
    }

    /// Request id for logs.
    pub(crate) fn id(&self) -> &str {
        self.info.id.to_str().unwrap_or("-")
    }

    /// Time left to the caller, also correct after a suspension.
    pub(crate) fn time_left(&self) -> Duration {
        let awake = self.deadline.saturating_duration_since(Instant::now());
        awake.min(self.boot_deadline.since(BootInstant::now()))
    }

    /// Fingerprint of the request's content. Computed at first use: when the request ends, or
    /// before it is sent while any request is suspected of crashing servers.
    pub(crate) fn fingerprint(&self, key: &FingerprintKey) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let content = RequestContent {
                method: self.method.as_str(),
                host: host_of(&self.headers),
                path: self.uri.path_and_query().map_or("", |path| path.as_str()),
                tenant: self.tenant.as_deref(),
                body: &[],
            };
            key.fingerprint_in_blocks(&content, self.body.segments().iter().map(Bytes::as_ref))
        })
    }

    /// Fingerprints of the prompt's shared parts, each once. Computed at first use, as the fingerprint
    /// of the content.
    pub(crate) fn part_fingerprints(&self, key: &FingerprintKey) -> &[RequestFingerprint] {
        self.part_fingerprints.get_or_init(|| {
            let shared = self.info.prompt.as_ref().map_or(&[][..], |prompt| prompt.shared());
            let parts = shared.iter().map(|segment| key.part_fingerprint(segment.id));
            BTreeSet::from_iter(parts).into_iter().collect()
        })
    }

    /// Time until which to wait for a confirmation that an answer has ended; the deadline if no other
    /// server may be asked.
    pub(crate) fn confirm_deadline(&self, progress: Progress) -> Instant {
        let after = Progress { may_have_run: progress.may_have_run + 1, ..progress };
        match self.may_retry(after) {
            true => self.deadline.min(Instant::now() + CONFIRM_TIMEOUT),
            false => self.deadline,
        }
    }

    /// Whether the route's rules allow another attempt.
    pub(crate) fn may_retry(&self, progress: Progress) -> bool {
        let check = RetryCheck {
            progress,
            repeatable: self.route.is_repeatable(),
            max_attempts: self.route.max_attempts,
        };
        check.is_allowed()
    }
}

/// Answers one request. `None` means that the caller has left.
pub(crate) async fn answer_request(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
) -> Option<Response<AnswerBody>> {
    let arrived = Instant::now();
    let (head, mut body) = request.into_parts();
    let expects_continue = head.headers.contains_key(EXPECT);
    let info = match gateway.dialect.read_call(&head) {
        Ok(info) => info,
        Err(error) => {
            log::warn!("event=request_refused request=- reason=malformed fault=\"{error}\"");
            gateway.metrics.count_own_answer(None, OwnAnswer::Malformed);
            leave_unread(body, expects_continue);
            return Some(OwnAnswer::Malformed.response(&*gateway.dialect, None));
        }
    };
    let id = info.id.clone();
    let mut pending = PendingAnswer::start(gateway, &id, arrived);
    match admit(gateway, head, &mut body, info, arrived).await {
        Ok(Some(call)) => {
            pending.set_route(&call);
            Some(serve(gateway, call, pending).await)
        }
        Ok(None) => None,
        Err(answer) => {
            pending.end();
            let request_id = id.to_str().unwrap_or("-");
            let (reason, status) = (answer.reason(), answer.status().as_u16());
            let confirmation = ConfirmationFields(gateway.feed.confirmation());
            log::info!(
                "event=request_refused request={request_id} reason={reason} status={status} \
                 catalog={} {confirmation} {}",
                gateway.feed.latest().catalog_version(),
                answer.retry_fields()
            );
            gateway.metrics.count_own_answer(None, answer);
            let mut response = answer.response(&*gateway.dialect, Some(&id));
            if answer.refuses_body() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            leave_unread(body, expects_continue);
            Some(response)
        }
    }
}

/// Matches the request with a route and checks its key, its body and its tenant's limit. `Ok(None)`
/// means that the caller has left.
async fn admit(
    gateway: &Arc<Gateway>,
    head: Parts,
    body: &mut Incoming,
    info: CallInfo,
    arrived: Instant,
) -> Result<Option<Call>, OwnAnswer> {
    let timeout = info.timeout.unwrap_or(DEFAULT_DEADLINE);
    let body = match gateway.has_started() {
        true => RequestBody::Unread(body),
        false if gateway.lacks_quorum() => return Err(OwnAnswer::Unconfirmed),
        false => match wait_for_start(gateway, body, arrived, timeout).await? {
            Some(bytes) => RequestBody::Buffered(bytes),
            None => return Ok(None),
        },
    };
    let Some(ConfirmedView { view, confirmation }) = gateway.feed.confirmed_view() else {
        return Err(OwnAnswer::Starting);
    };
    let Some(index) = view.catalog.clone() else { return Err(OwnAnswer::Starting) };
    let age = confirmation.at.elapsed();
    let may_reject = age < gateway.settings.rejection_age_limit();
    let position = index.find_route_index(host_of(&head.headers), head.uri.path());
    let Some(route) = position.and_then(|position| index.route(position)) else {
        return Err(if may_reject { OwnAnswer::NoRoute } else { OwnAnswer::Unconfirmed });
    };
    let tenant = match index.access(route, info.key.as_deref()) {
        KeyAccess::Tenant(tenant) if age < gateway.settings.key_age_limit() => Some(tenant),
        KeyAccess::Tenant(_) => return Err(OwnAnswer::Unconfirmed),
        KeyAccess::Open => None,
        KeyAccess::Denied if may_reject => return Err(OwnAnswer::UnknownKey),
        KeyAccess::Denied => return Err(OwnAnswer::Unconfirmed),
    };
    let timeout = timeout.min(Duration::from_millis(route.timeout_ms));
    let deadline = arrived + timeout.saturating_sub(ANSWER_MARGIN);
    let boot_deadline = BootInstant::now() + deadline.saturating_duration_since(Instant::now());
    let limit = index.catalog().limits.body_bytes;
    let body = match body {
        RequestBody::Unread(body) => {
            let idle_timeout = gateway.idle_timeout();
            let limits = ReadLimits { max_bytes: to_usize(limit), idle_timeout, deadline };
            read_request_body(gateway, body, limits).await?
        }
        RequestBody::Buffered(bytes) if bytes.len() as u64 > limit => {
            return Err(OwnAnswer::TooLarge);
        }
        RequestBody::Buffered(bytes) => Some(bytes),
    };
    let Some(body) = body else { return Ok(None) };
    let origin = match info.last_event {
        Some(_) if route.kind == RouteKind::Stream => {
            let found = gateway.find_origin(route, tenant, &info).await;
            Some(found.map_err(OwnAnswer::NotResumable)?)
        }
        _ => None,
    };
    let isolated = tenant.filter(|tenant| tenant.isolated);
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let granted_charge = match tenant {
        Some(tenant) => {
            let request_id = info.id.to_str().unwrap_or("-");
            let (version, tokens) = (index.catalog().version, Call::tokens(&info));
            gateway.charge(request_id, tenant, version, tokens).await?
        }
        None => None,
    };
    let (service, software) = match origin {
        Some(origin) => (Some(origin.service), Some(origin.software)),
        None => (gateway.pick_service(route), None),
    };
    let service = service.ok_or(OwnAnswer::NoServer(NO_SERVER_RETRY_AFTER))?;
    Ok(Some(Call {
        info,
        service,
        software,
        tenant: tenant.map(|tenant| tenant.name.clone()),
        granted_charge,
        priority: tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority),
        sharing_scope: isolated
            .map_or_else(|| SHARED_SCOPE.to_owned(), |tenant| format!("t-{}", tenant.name)),
        method: head.method,
        uri: head.uri,
        headers,
        body,
        fingerprint: OnceLock::new(),
        part_fingerprints: OnceLock::new(),
        trial: OnceLock::new(),
        arrived,
        deadline,
        boot_deadline,
        config_age: age,
        confirmed_by: confirmation.replica,
        route: route.clone(),
        view,
    }))
}

/// Host that the request names, without the port.
fn host_of(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    host.split(':').next().unwrap_or(host)
}

/// Sends the request to servers until one answers or no further attempt is allowed.
async fn serve(gateway: &Arc<Gateway>, call: Call, pending: PendingAnswer) -> Response<AnswerBody> {
    gateway.record_request(&call);
    let mut search = ServerSearch::new(gateway, &call).for_pending(&pending);
    match search.run(call.info.last_event).await {
        Ok(answered) => {
            let progress = search.progress;
            relay::relay_answer(Arc::clone(gateway), call, answered, progress, pending).await
        }
        Err(answer) => {
            let progress = search.progress;
            pending.end();
            own_answer(gateway, &call, answer, progress)
        }
    }
}

//! One sending of a request to one server.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use juniper_placement::{Choice, Outcome, Ticket};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;
use tokio::time::{Instant, timeout_at};

use crate::body::WholeBody;
use crate::call::Call;
use crate::dialect::{AnswerFacts, AttemptFacts};
use crate::gateway::Gateway;
use crate::pool::{ConnectError, ServerConnection, is_refused};

/// Rank of requests that can't be in time any more; the last that servers know.
const LATE_PRIORITY: u8 = 9;

/// Statuses that promise that a request has not run.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Whether the status promises that a request has not run.
pub(crate) fn is_promise(status: StatusCode) -> bool {
    PROMISES.contains(&status)
}

/// Why an attempt brought no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(ConnectError),
    /// Nothing was sent, since the server has asked for a pause meanwhile.
    #[error("not sent: the server rests for {0:?}")]
    Resting(Duration),
    /// The server stated that it did not run the request.
    #[error("the server did not run it")]
    NotRun,
    /// Another server has the address.
    #[error("another server has the address")]
    OtherServer,
    /// The server has no weights of the version that it was thought to have.
    #[error("the server has no weights of version {0}")]
    OtherVersion(u64),
    /// The connection broke; the request may have run.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// What came is no answer to this request; it may have run.
    #[error("what came is no answer to the request")]
    NoAnswer,
    /// No answer came in time; the request may have run.
    #[error("no answer in time")]
    Silent,
}

impl AttemptError {
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self, AttemptError::Broken(_) | AttemptError::NoAnswer | AttemptError::Silent)
    }

    /// Whether nothing was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self, AttemptError::NotSent(_) | AttemptError::Resting(_))
    }

    /// Whether nobody listens at the server's address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, AttemptError::NotSent(ConnectError::Connect(error)) if is_refused(error))
    }

    fn outcome(&self) -> Outcome {
        match self {
            AttemptError::NotSent(ConnectError::Exhausted) | AttemptError::NotRun => Outcome::Full,
            // A kept connection that the server has closed tells nothing of new ones.
            AttemptError::NotSent(ConnectError::Handshake(_)) => Outcome::Interrupted,
            AttemptError::NotSent(_) => Outcome::Unreachable,
            AttemptError::Resting(_) => Outcome::Cancelled,
            AttemptError::OtherServer => Outcome::Replaced,
            AttemptError::OtherVersion(version) => Outcome::VersionMismatch(*version),
            AttemptError::Broken(_) | AttemptError::NoAnswer | AttemptError::Silent => {
                Outcome::Interrupted
            }
        }
    }
}

/// A request under way on a server. Dropping it closes the connection, so that
/// the server stops working on it.
pub(crate) struct Attempt {
    gateway: Arc<Gateway>,
    pub instance: InstanceId,
    /// When the request was sent.
    pub sent_at: Timestamp,
    connection: Option<ServerConnection>,
    ticket: Option<Ticket>,
    /// Names the request for the other routers, if they are told of it.
    told: Option<u16>,
    /// Idle time after which the server closes the connection, if it tells.
    stated_idle: Option<Duration>,
    may_keep: bool,
    begun: Instant,
    /// Time without the head of an answer that is unusual.
    unusual_silence: Duration,
    has_head: bool,
}

impl Drop for Attempt {
    /// The caller has left. A server that was silent for unusually long until then
    /// counts as failing: it may swallow the next requests too.
    fn drop(&mut self) {
        let is_silent = !self.has_head && self.begun.elapsed() >= self.unusual_silence;
        self.close(if is_silent { Outcome::Interrupted } else { Outcome::Cancelled });
    }
}

impl Attempt {
    fn close(&mut self, outcome: Outcome) {
        self.connection = None;
        if let Some(ticket) = self.ticket.take() {
            let now = self.gateway.now();
            self.gateway.placement().end_request(ticket, outcome, now);
            if let Some(number) = self.told.take() {
                self.gateway.news.push_end(number);
            }
        }
        if outcome == Outcome::Unreachable {
            self.gateway.news.push_reachability(&self.instance, false);
        }
    }

    /// The attempt has failed; its connection is closed.
    pub(crate) fn fail(mut self, outcome: Outcome) {
        self.close(outcome);
    }

    /// The answer was read to its end; the connection is kept for the next request.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        let connection = self.connection.take().filter(|_| self.may_keep);
        if let Some(connection) = connection {
            self.gateway.pool.keep(&self.instance, connection, self.stated_idle);
        }
        self.close(outcome);
    }

    /// The server has begun to answer.
    pub(crate) fn first_output(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            let now = self.gateway.now();
            self.gateway.placement().record_first_output(ticket, now);
        }
    }
}

/// An answer whose head has come.
pub(crate) struct Answered {
    pub attempt: Attempt,
    pub response: Response<Incoming>,
}

/// Sends the request to the chosen server and waits for the head of its answer
/// until `until`.
pub(crate) async fn send(
    gateway: &Arc<Gateway>,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
    until: Instant,
) -> Result<Answered, AttemptError> {
    let now = gateway.now();
    let ticket = gateway.placement().begin_request(choice, call.has_prompt(), now);
    let told = gateway.news.push_sighting(choice);
    if told.is_none() {
        gateway.metrics.sightings_left_out.inc();
    }
    let mut attempt = Attempt {
        gateway: Arc::clone(gateway),
        instance: choice.instance.clone(),
        sent_at: now,
        connection: None,
        ticket: Some(ticket),
        told,
        stated_idle: None,
        may_keep: false,
        begun: Instant::now(),
        unusual_silence: call.unusual_silence(),
        has_head: false,
    };
    match exchange(gateway, call, choice, last_event, until, &mut attempt).await {
        Ok(response) => Ok(Answered { attempt, response }),
        Err(error) => {
            attempt.fail(error.outcome());
            Err(error)
        }
    }
}

async fn exchange(
    gateway: &Arc<Gateway>,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
    until: Instant,
    attempt: &mut Attempt,
) -> Result<Response<Incoming>, AttemptError> {
    let limit = gateway.connection_limit(&call.view, &call.service);
    let opening = gateway.pool.connect(&choice.instance, choice.address, limit);
    let connection = opening.await.map_err(AttemptError::NotSent)?;
    if !connection.reused {
        gateway.metrics.connections.inc();
    }
    let connection = attempt.connection.insert(connection);
    // An answer to another request may have asked for it while this one waited for its connection.
    if let Some(rest) = gateway.placement().remaining_backoff(&choice.instance, gateway.now()) {
        return Err(AttemptError::Resting(rest));
    }
    let request = request(gateway, call, choice, last_event);
    let sending = connection.sender.try_send_request(request);
    let mut response = match timeout_at(until, sending).await {
        Err(_) => return Err(AttemptError::Silent),
        Ok(Err(error)) => return Err(sending_failed(error)),
        Ok(Ok(response)) => response,
    };
    attempt.has_head = true;
    attempt.stated_idle = stated_idle(response.headers());
    attempt.may_keep = !closes(response.headers());
    strip_hop_headers(response.headers_mut());
    let (head, body) = response.into_parts();
    let facts = gateway.dialect.read_answer(&head, &call.facts.id, &choice.instance);
    if let Some(version) = facts.version {
        gateway.placement().observe_version(&choice.instance, version);
    }
    gateway.note_stated_limit(&choice.instance, &facts, attempt.sent_at, call.id());
    gateway.note_notice(&choice.instance, &facts, call.id());
    check(&facts, head.status, choice.version)?;
    Ok(Response::from_parts(head, body))
}

/// A request that comes back was not sent.
fn sending_failed(mut error: TrySendError<Request<WholeBody>>) -> AttemptError {
    match error.take_message() {
        Some(_unsent) => AttemptError::NotSent(ConnectError::Handshake(error.into_error())),
        None => AttemptError::Broken(error.into_error()),
    }
}

/// Whether the answer may be passed on.
fn check(
    facts: &AnswerFacts,
    status: StatusCode,
    expected_version: u64,
) -> Result<(), AttemptError> {
    if facts.is_other_server {
        return Err(AttemptError::OtherServer);
    }
    if facts.is_other_version {
        return Err(AttemptError::OtherVersion(expected_version));
    }
    if facts.not_run && !status.is_success() {
        return Err(AttemptError::NotRun);
    }
    if !facts.is_own || (status.is_success() && !facts.is_sealed) {
        return Err(AttemptError::NoAnswer);
    }
    Ok(())
}

/// Rank of a request at a server. One that can't be in time even at the best server gives way to
/// those that can: if it went first, they would be late too.
pub(crate) fn rank(call: &Call, choice: &Choice) -> u8 {
    if choice.is_late { LATE_PRIORITY } else { call.priority }
}

fn request(
    gateway: &Gateway,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
) -> Request<WholeBody> {
    let mut headers = call.headers.clone();
    // Parts that other weights have made are never found under this name.
    let sharing = format!("{}.w{}", call.sharing, choice.version);
    let facts = AttemptFacts {
        instance: &choice.instance,
        deadline: call.time_left(),
        tenant: call.tenant.as_deref(),
        priority: rank(call, choice),
        sharing: &sharing,
        last_event,
        has_prompt: call.has_prompt(),
        version: choice.version,
        source: choice.source,
        store: choice.store,
    };
    gateway.dialect.write_attempt(&mut headers, &facts);
    let mut request = Request::new(WholeBody(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that concern one connection only, and those that it names.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_HEADERS) {
        headers.remove(name);
    }
}

fn closes(headers: &HeaderMap) -> bool {
    let close = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    headers.get_all(CONNECTION).iter().any(close)
}

/// Idle time after which the server closes the connection, if it tells.
fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = stated.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

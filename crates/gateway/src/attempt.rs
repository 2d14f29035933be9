//! One attempt to have a request answered by one server.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response, StatusCode};
use juniper_clock::BootInstant;
use juniper_intake::SegmentedBody;
use juniper_placement::{Choice, ExpectedTiming, Outcome, Ticket};
use juniper_registry::{InstanceId, SoftwareVersion};
use juniper_types::Timestamp;
use tokio::time::{Instant, timeout_at};

use crate::attempt_error::AttemptError;
use crate::body::BodyEnd;
use crate::call::Call;
use crate::connection_headers::{requests_close, server_idle_timeout, strip_hop_headers};
use crate::dialect::{AnswerInfo, AttemptInfo};
use crate::finish::FoundTiming;
use crate::gateway::Gateway;
use crate::identity::prove_incarnation;
use crate::pool::{ConnectError, ServerConnection};
use crate::retry_budget::GrantedRetry;
use crate::tunnel::TunnelGuard;

/// Priority of requests that can no longer meet their objective; the lowest that servers know.
const LATE_PRIORITY: u8 = 9;

/// Difference between the clocks above which the machine counts as suspended during a request.
const MAX_SUSPENSION: Duration = Duration::from_millis(50);

/// Statuses by which a server states that it has not run the request.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Whether the status states that the request has not run.
pub(crate) fn is_not_run_status(status: StatusCode) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// A request in flight at a server. Dropping it closes the connection, so that the server stops
/// work on the request.
pub(crate) struct Attempt {
    gateway: Arc<Gateway>,
    pub instance: InstanceId,
    /// Software version of the server, if known.
    pub software: Option<SoftwareVersion>,
    /// When the request was sent.
    pub sent_at: Timestamp,
    connection: Option<ServerConnection>,
    ticket: Option<Ticket>,
    /// Whether the dispatch was reported to the other routers.
    is_reported: bool,
    /// Number of the request in this router's dispatch reports, unless the report was dropped.
    report_number: Option<u16>,
    /// Idle time after which the server closes the connection, if stated.
    server_idle_timeout: Option<Duration>,
    is_reusable: bool,
    started: Instant,
    started_boot: BootInstant,
    /// Time without an answer after which the server counts as failing.
    answer_timeout: Duration,
    has_head: bool,
    /// Whether the server already counts as failing because it hasn't answered.
    is_silent: bool,
    /// How the end of the answer's body shows.
    pub body_end: BodyEnd,
    /// Expected times of a prompt.
    expected: Option<ExpectedTiming>,
    /// Expected and observed times of a prompt, from its first output on.
    pub timing: Option<FoundTiming>,
}

impl Drop for Attempt {
    /// Ends the attempt of a caller that has left. A server that didn't answer within the timeout
    /// counts as failing, since it may not answer the next requests either.
    fn drop(&mut self) {
        let is_overdue = !self.has_head && self.started.elapsed() >= self.answer_timeout;
        let has_failed = is_overdue && !self.is_silent;
        self.close(if has_failed { Outcome::Interrupted } else { Outcome::Cancelled });
    }
}

impl Attempt {
    fn close(&mut self, outcome: Outcome) {
        self.connection = None;
        if let Some(ticket) = self.ticket.take() {
            let now = self.gateway.now();
            self.gateway.placement().end_request(ticket, outcome, now);
            if let Some(number) = self.report_number.take() {
                self.gateway.updates.push_completion(number);
            }
        }
    }

    /// Reports the dispatch to the other routers.
    fn report_dispatch(&mut self, choice: &Choice) {
        if std::mem::replace(&mut self.is_reported, true) {
            return;
        }
        self.report_number = self.gateway.updates.push_dispatch(choice);
        if self.report_number.is_none() {
            self.gateway.metrics.dropped_dispatch_reports.inc();
        }
    }

    /// Ends a failed attempt and closes its connection.
    pub(crate) fn fail(mut self, outcome: Outcome) {
        self.close(outcome);
    }

    /// Ends an attempt whose answer was read completely, and returns the connection to the pool.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        let connection = self.connection.take().filter(|_| self.is_reusable);
        if let Some(connection) = connection {
            self.gateway.pool.put_back(&self.instance, connection, self.server_idle_timeout);
        }
        self.close(outcome);
    }

    /// Whether the answer whose body has just ended is complete. The end of a tunnel is that of the
    /// server's connection only if the router that forwards it still runs, which is asked until
    /// `deadline`.
    pub(crate) async fn is_complete(&self, deadline: Instant) -> bool {
        let tunnel = self.connection.as_ref().and_then(ServerConnection::tunnel);
        match tunnel.filter(|_| self.body_end == BodyEnd::ConnectionClosed) {
            Some(tunnel) => self.gateway.is_peer_running(tunnel, deadline).await,
            None => true,
        }
    }

    /// Records that the server has begun to answer.
    pub(crate) fn record_first_output(&mut self) {
        // The answer may have waited on this router's link.
        if self.ticket.is_some() && self.timing.is_none() && self.gateway.is_congested() {
            self.exclude_from_timing();
        }
        let Some(ticket) = &mut self.ticket else { return };
        let now = self.gateway.now();
        if self.timing.is_none()
            && let Some(expected) = self.expected
        {
            let timing = FoundTiming { expected, found: now.since(self.sent_at) };
            self.gateway.metrics.first_output_ratio.observe(timing.ratio());
            self.timing = Some(timing);
        }
        exclude_if_suspended(ticket, self.started, self.started_boot);
        self.gateway.placement().record_first_output(ticket, now);
    }

    /// Leaves the request out of expected and observed times: the answer is an error or the rest of
    /// a stream.
    pub(crate) fn exclude_from_timing(&mut self) {
        self.expected = None;
        if let Some(ticket) = &mut self.ticket {
            ticket.exclude_from_timing();
        }
    }

    /// Records the longest gap of a stream that has ended and wasn't resumed.
    pub(crate) fn record_longest_gap(&mut self, longest_gap: Duration) {
        let Some(ticket) = &mut self.ticket else { return };
        exclude_if_suspended(ticket, self.started, self.started_boot);
        let now = self.gateway.now();
        self.gateway.placement().record_longest_gap(ticket, longest_gap, now);
    }
}

/// Excludes a request during which the machine was suspended: the monotonic clock stood still, but
/// the server went on.
fn exclude_if_suspended(ticket: &mut Ticket, started: Instant, started_boot: BootInstant) {
    if started_boot.elapsed().saturating_sub(started.elapsed()) > MAX_SUSPENSION {
        ticket.exclude_from_timing();
    }
}

/// An answer whose head has arrived.
pub(crate) struct Answered {
    pub attempt: Attempt,
    pub response: Response<Incoming>,
}

/// Sends the request to the chosen server and waits for the head of the answer until the call's
/// deadline. A server that has not answered at `due` counts as silent.
pub(crate) async fn send(
    gateway: &Arc<Gateway>,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
    due: Option<Instant>,
    granted: Option<GrantedRetry>,
) -> Result<Answered, AttemptError> {
    let now = gateway.now();
    let ticket = gateway.placement().begin_request(choice, call.has_prompt(), now);
    let mut attempt = Attempt {
        gateway: Arc::clone(gateway),
        instance: choice.instance.clone(),
        software: choice.software.clone(),
        sent_at: now,
        connection: None,
        ticket: Some(ticket),
        is_reported: false,
        report_number: None,
        server_idle_timeout: None,
        is_reusable: false,
        started: Instant::now(),
        started_boot: BootInstant::now(),
        answer_timeout: call.answer_timeout(),
        has_head: false,
        is_silent: false,
        body_end: BodyEnd::Marked,
        expected: choice.expected,
        timing: None,
    };
    if last_event.is_some() {
        attempt.exclude_from_timing();
    }
    // The sooner the other routers know of the load, the fewer choose the same server.
    if gateway.placement().is_path_proven(&choice.instance) {
        attempt.report_dispatch(choice);
    }
    match exchange(gateway, call, choice, last_event, due, granted, &mut attempt).await {
        Ok(response) => Ok(Answered { attempt, response }),
        Err(error) => {
            // A silence was recorded when the answer timeout passed.
            let is_recorded = attempt.is_silent && matches!(error, AttemptError::Timeout);
            attempt.fail(if is_recorded { Outcome::Cancelled } else { error.outcome() });
            Err(error)
        }
    }
}

async fn exchange(
    gateway: &Arc<Gateway>,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
    due: Option<Instant>,
    granted: Option<GrantedRetry>,
    attempt: &mut Attempt,
) -> Result<Response<Incoming>, AttemptError> {
    let limit = gateway.connection_limit(&call.view, &call.service);
    let connecting = gateway.connect_server(&choice.instance, choice.address, limit);
    let mut connection = connecting.await.map_err(AttemptError::NotSent)?;
    if call.route.resumable {
        prove_incarnation(gateway, &choice.instance, &mut connection).await?;
        // The server may close the connection after its statement.
        if connection.sender.ready().await.is_err() {
            let connecting = gateway.connect_server(&choice.instance, choice.address, limit);
            connection = connecting.await.map_err(AttemptError::NotSent)?;
        }
    }
    // Not before where the path isn't proven: other routers would attribute load and cached prefixes
    // to a server that gets nothing.
    attempt.report_dispatch(choice);
    let connection = attempt.connection.insert(connection);
    let tunnel_peer = connection.tunnel().map(TunnelGuard::peer);
    // The answer to another request may have requested a backoff while this request waited for its
    // connection.
    if let Some(backoff) = gateway.placement().remaining_backoff(&choice.instance, gateway.now()) {
        return Err(AttemptError::BackingOff(backoff));
    }
    let software = gateway.placement().software_of(&choice.instance).cloned();
    if last_event.is_some() && software != choice.software {
        return Err(AttemptError::SoftwareChanged);
    }
    attempt.software = software;
    if granted.is_some_and(|granted| granted.has_expired()) && gateway.take_retry(call).is_none() {
        return Err(AttemptError::RetryExpired);
    }
    // Admission, a connection or the proof of the server's incarnation may have taken a while.
    if gateway.is_quarantined(call) {
        return Err(AttemptError::Quarantined);
    }
    let request = build_request(gateway, call, choice, last_event);
    connection.head_limit.begin();
    let mut sending = pin!(connection.sender.try_send_request(request));
    let mut sent = timeout_at(due.unwrap_or(call.deadline), &mut sending).await;
    if sent.is_err() && due.is_some() {
        gateway.placement().record_silence(&choice.instance, gateway.now());
        attempt.is_silent = true;
        sent = timeout_at(call.deadline, &mut sending).await;
    }
    let mut response = match sent {
        Err(_) => return Err(AttemptError::Timeout),
        Ok(Err(error)) => return Err(send_error(error)),
        Ok(Ok(response)) => response,
    };
    connection.head_limit.end();
    attempt.has_head = true;
    attempt.server_idle_timeout = server_idle_timeout(response.headers());
    attempt.is_reusable = !requests_close(response.headers());
    attempt.body_end = BodyEnd::of(&response, &call.method);
    strip_hop_headers(response.headers_mut());
    let (head, body) = response.into_parts();
    let info = gateway.dialect.read_answer(&head, &call.info.id, &choice.instance);
    gateway.observe_weights(call, choice, &info);
    gateway.observe_limit(&choice.instance, &info, attempt.sent_at, call.id());
    gateway.observe_notice(&choice.instance, &info, tunnel_peer, call.id());
    let is_rejection = info.not_run && !info.is_wrong_version && !head.status.is_success();
    gateway.observe_tolerance(&choice.instance, &info, is_rejection, call.id());
    check_answer(&info, head.status, choice.version)?;
    Ok(Response::from_parts(head, body))
}

/// Hyper returns the message if the request was not sent.
fn send_error(mut error: TrySendError<Request<SegmentedBody>>) -> AttemptError {
    match error.take_message() {
        Some(_request) => AttemptError::NotSent(ConnectError::Handshake(error.into_error())),
        None => AttemptError::Broken(error.into_error()),
    }
}

/// Checks whether the answer may be relayed to the caller. One to another request tells nothing about
/// this one, which may be running.
fn check_answer(
    info: &AnswerInfo,
    status: StatusCode,
    expected_version: u64,
) -> Result<(), AttemptError> {
    if !info.matches_request {
        return Err(AttemptError::InvalidAnswer);
    }
    if info.is_wrong_server {
        return Err(AttemptError::WrongServer);
    }
    if info.is_wrong_version {
        return Err(AttemptError::WrongVersion(expected_version));
    }
    if info.not_run && !status.is_success() {
        return Err(AttemptError::NotRun);
    }
    if status.is_success() && !info.is_sealed {
        return Err(AttemptError::InvalidAnswer);
    }
    Ok(())
}

/// Priority of the request at the chosen server. A request that can't meet its objective even at
/// the best server yields to those that still can.
pub(crate) fn effective_priority(call: &Call, choice: &Choice) -> u8 {
    if choice.is_late { LATE_PRIORITY } else { call.priority }
}

fn build_request(
    gateway: &Gateway,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
) -> Request<SegmentedBody> {
    let mut headers = call.headers.clone();
    // Cache entries computed with other weights must not match.
    let sharing_scope = format!("{}.w{}", call.sharing_scope, choice.version);
    let info = AttemptInfo {
        instance: &choice.instance,
        time_left: call.time_left(),
        tenant: call.tenant.as_deref(),
        priority: effective_priority(call, choice),
        sharing_scope: &sharing_scope,
        last_event,
        has_prompt: call.has_prompt(),
        version: choice.version,
        source: choice.source,
        store: choice.store,
    };
    gateway.dialect.write_attempt(&mut headers, &info);
    let mut request = Request::new(SegmentedBody::from(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers;
    request
}

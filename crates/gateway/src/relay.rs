//! Relays a server's answer to the caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{Method, Response};
use juniper_catalog::RouteKind;
use juniper_intake::keep_until_written;
use juniper_placement::Outcome;
use juniper_registry::InstanceId;
use tokio::time::{Instant, timeout_at};

use crate::answer::OwnAnswer;
use crate::attempt::{Answered, Attempt, is_not_run_status};
use crate::body::{AnswerBody, BodyEnd};
use crate::call::Call;
use crate::finish::{FoundTiming, log_done, own_answer};
use crate::gateway::Gateway;
use crate::open_answer::{EarlyEnd, NotContinued, OpenAnswer};
use crate::pending_answer::PendingAnswer;
use crate::retry::Progress;
use crate::search::ServerSearch;
use crate::stream;

/// Largest answer that is buffered before it is passed on, in bytes. If a buffered answer breaks
/// off, the request can be retried.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Longest answer whose end only the end of the connection marks, in bytes: a faulty server may send
/// without end.
const MAX_UNMARKED_BYTES: usize = 1 << 20;

/// Why the body of an answer is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the answer ended early")]
    Broken,
    #[error("no data within the timeout")]
    Stalled,
    #[error("the deadline passed")]
    Deadline,
    #[error("the caller left")]
    CallerLeft,
    #[error("events are missing")]
    MissingEvents,
    #[error("the server's software version has changed")]
    SoftwareChanged,
    #[error("the answer has no end")]
    Endless,
    #[error("the end of the answer could not be confirmed")]
    Unconfirmed,
}

impl BodyError {
    /// Value of `reason` in metrics, and in logs of answers that ended early.
    pub(crate) fn label(self) -> &'static str {
        match self {
            BodyError::Broken => "server_broke_off",
            BodyError::Stalled => "silent",
            BodyError::Deadline => "deadline",
            BodyError::CallerLeft => "caller_left",
            BodyError::MissingEvents => "missing_events",
            BodyError::SoftwareChanged => "software_changed",
            BodyError::Endless => "endless",
            BodyError::Unconfirmed => "end_unconfirmed",
        }
    }
}

/// Relays an answer whose head has arrived.
pub(crate) async fn relay_answer(
    gateway: Arc<Gateway>,
    call: Call,
    answered: Answered,
    progress: Progress,
    pending: PendingAnswer,
) -> Response<AnswerBody> {
    let response = match answered.response.status().is_success() {
        true if call.route.kind == RouteKind::Stream => {
            stream::start(gateway, call, answered, progress)
        }
        _ => relay_buffered(gateway, call, answered, progress, &pending).await,
    };
    pending.end();
    response
}

/// Buffers an answer and passes it on, or retries at another server if it breaks off.
async fn relay_buffered(
    gateway: Arc<Gateway>,
    call: Call,
    mut answered: Answered,
    mut progress: Progress,
    pending: &PendingAnswer,
) -> Response<AnswerBody> {
    loop {
        let Answered { mut attempt, response } = answered;
        let instance = attempt.instance.clone();
        pending.record_attempt(Some(&instance), progress);
        if !response.status().is_success() {
            attempt.exclude_from_timing();
        }
        attempt.record_first_output();
        let (head, body) = response.into_parts();
        let (error, unconfirmed) = match buffer_body(&gateway, &call, &head, body).await {
            Ok(BufferedBody::Complete(bytes)) => {
                let deadline = call.confirm_deadline(progress);
                let answer = BufferedAnswer { attempt, head, bytes };
                if answer.attempt.is_complete(deadline).await {
                    return answer.deliver(&gateway, &call, progress);
                }
                (BodyError::Unconfirmed, Some(answer))
            }
            Ok(BufferedBody::TooLong(beginning, rest)) => {
                let (open, body) = OpenAnswer::start(&gateway, &call);
                let timing = attempt.timing;
                let served = Served { instance: &attempt.instance, progress, timing };
                let response = finish_answer(&gateway, &call, head, body, served);
                tokio::spawn(relay_chunks(gateway, call, attempt, beginning, rest, open));
                return response;
            }
            Err(error) => {
                fail_attempt(&gateway, &call, attempt, error);
                (error, None)
            }
        };
        progress.may_have_run += 1;
        if error == BodyError::Deadline {
            return own_answer(&gateway, &call, OwnAnswer::DeadlinePassed, progress);
        }
        let mut search = ServerSearch::new(&gateway, &call)
            .for_pending(pending)
            .continue_from(progress, instance);
        let found = search.run(None).await;
        progress = search.progress;
        if let Some(answer) = unconfirmed {
            if found.is_err() && answer.attempt.is_complete(call.deadline).await {
                progress.may_have_run -= 1;
                return answer.deliver(&gateway, &call, progress);
            }
            fail_attempt(&gateway, &call, answer.attempt, error);
        }
        answered = match found {
            Ok(answered) => answered,
            Err(answer) => return own_answer(&gateway, &call, answer, progress),
        };
    }
}

/// An answer that has been read to its end.
struct BufferedAnswer {
    attempt: Attempt,
    head: Parts,
    bytes: Bytes,
}

impl BufferedAnswer {
    fn deliver(
        self,
        gateway: &Arc<Gateway>,
        call: &Call,
        progress: Progress,
    ) -> Response<AnswerBody> {
        let BufferedAnswer { attempt, head, bytes } = self;
        let instance = attempt.instance.clone();
        let (timing, sent_at, end) = (attempt.timing, attempt.sent_at, attempt.body_end);
        attempt.finish(outcome_of(&head));
        if !head.status.is_server_error() {
            gateway.record_ended(call, &instance, sent_at, end);
        }
        let served = Served { instance: &instance, progress, timing };
        finish_answer(gateway, call, head, AnswerBody::whole(bytes), served)
    }
}

/// Ends an attempt whose answer is incomplete.
fn fail_attempt(gateway: &Arc<Gateway>, call: &Call, attempt: Attempt, error: BodyError) {
    let (instance, sent_at) = (attempt.instance.clone(), attempt.sent_at);
    log::info!("event=answer_cut request={} instance={instance} reason=\"{error}\"", call.id());
    attempt.fail(Outcome::Interrupted);
    if matches!(error, BodyError::Broken | BodyError::Unconfirmed) {
        gateway.record_interrupted(call, &instance, sent_at);
    }
}

fn outcome_of(head: &Parts) -> Outcome {
    match head.status.is_server_error() {
        true => Outcome::ServerError,
        false => Outcome::Answered,
    }
}

enum BufferedBody {
    Complete(Bytes),
    /// First part of an answer that exceeds the buffer or the memory, and the body with the rest.
    TooLong(Bytes, Incoming),
}

/// Buffers an answer while it is short enough and there is memory for it.
async fn buffer_body(
    gateway: &Gateway,
    call: &Call,
    head: &Parts,
    mut body: Incoming,
) -> Result<BufferedBody, BodyError> {
    let mut bytes = BytesMut::new();
    let mut lease = gateway.memory.hold_answer(0);
    loop {
        let frame = match timeout_at(call.deadline, body.frame()).await {
            Err(_) => return Err(BodyError::Deadline),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(BodyError::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        let before = bytes.capacity();
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        let grown = bytes.capacity() - before;
        let is_held = lease.as_mut().is_some_and(|lease| lease.grow(grown));
        if bytes.len() > MAX_BUFFERED_BYTES || !is_held {
            return Ok(BufferedBody::TooLong(keep_until_written(bytes.freeze(), lease), body));
        }
    }
    // The answer to a HEAD request has no body, whatever its content length is.
    if call.method != Method::HEAD
        && content_length(head).is_some_and(|length| length != bytes.len())
    {
        return Err(BodyError::Broken);
    }
    Ok(BufferedBody::Complete(keep_until_written(bytes.freeze(), lease)))
}

fn content_length(head: &Parts) -> Option<usize> {
    head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Passes on the rest of a long answer chunk by chunk.
async fn relay_chunks(
    gateway: Arc<Gateway>,
    call: Call,
    attempt: Attempt,
    beginning: Bytes,
    mut rest: Incoming,
    mut answer: OpenAnswer,
) {
    let mut received = beginning.len();
    let mut data = beginning;
    let error = loop {
        if let Err(error) = answer.send(data).await {
            break error;
        }
        let frame = tokio::select! {
            frame = timeout_at(call.deadline, rest.frame()) => frame,
            () = answer.caller_left() => break BodyError::CallerLeft,
        };
        data = match frame {
            Ok(None) => {
                if let Err(error) = confirm_end(&attempt, &answer, call.deadline).await {
                    break error;
                }
                let end = attempt.body_end;
                gateway.record_ended(&call, &attempt.instance, attempt.sent_at, end);
                answer.complete();
                return attempt.finish(Outcome::Answered);
            }
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => {
                gateway.record_interrupted(&call, &attempt.instance, attempt.sent_at);
                break BodyError::Broken;
            }
            Err(_) => break BodyError::Deadline,
        };
        received += data.len();
        if received > MAX_UNMARKED_BYTES && attempt.body_end == BodyEnd::ConnectionClosed {
            break BodyError::Endless;
        }
    };
    if error == BodyError::CallerLeft {
        return answer.end_early(EarlyEnd::CallerLeft, NotContinued::NotResumable);
    }
    answer.end_early(EarlyEnd::Incomplete(error), NotContinued::NotResumable);
    attempt.fail(Outcome::Interrupted);
}

/// Waits until `deadline` for the confirmation that an answer whose body has ended is complete.
pub(crate) async fn confirm_end(
    attempt: &Attempt,
    answer: &OpenAnswer,
    deadline: Instant,
) -> Result<(), BodyError> {
    let is_complete = tokio::select! {
        is_complete = attempt.is_complete(deadline) => is_complete,
        () = answer.caller_left() => return Err(BodyError::CallerLeft),
    };
    is_complete.then_some(()).ok_or(BodyError::Unconfirmed)
}

/// How a request was served.
struct Served<'a> {
    instance: &'a InstanceId,
    progress: Progress,
    timing: Option<FoundTiming>,
}

fn finish_answer(
    gateway: &Gateway,
    call: &Call,
    head: Parts,
    body: AnswerBody,
    served: Served<'_>,
) -> Response<AnswerBody> {
    let Served { instance, progress, timing } = served;
    // The request has run, so a status that states the opposite must not be passed on.
    if is_not_run_status(head.status) {
        return own_answer(gateway, call, OwnAnswer::ServerFailed, progress);
    }
    let status = head.status.as_u16();
    log_done(call, status, "answered", instance.as_str(), progress, None, timing);
    gateway.metrics.count_answered(call.route.kind, head.status, call.arrived.elapsed());
    Response::from_parts(head, body)
}

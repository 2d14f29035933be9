//! Passes a server's answer on.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{Method, Response};
use juniper_catalog::RouteKind;
use juniper_placement::Outcome;
use juniper_registry::InstanceId;
use tokio::time::timeout_at;

use crate::answer::OwnAnswer;
use crate::attempt::{Answered, Attempt, is_promise};
use crate::body::{AnswerBody, Incomplete, PieceSender};
use crate::call::Call;
use crate::finish::{log_done, own_answer};
use crate::gateway::Gateway;
use crate::retry::Progress;
use crate::search::ServerSearch;
use crate::stream;

/// Largest answer that is read whole before it is passed on, in bytes. One that
/// breaks off can then be asked for again.
const MAX_WHOLE_BYTES: usize = 256 << 10;

/// Why the body of an answer did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyEnd {
    #[error("the answer broke off")]
    Broken,
    #[error("the answer stalled")]
    Stalled,
    #[error("the deadline passed")]
    Deadline,
    #[error("the caller left")]
    CallerLeft,
    #[error("events are missing")]
    Gap,
}

/// Passes the answer on whose head has come.
pub(crate) async fn pass_on(
    gateway: Arc<Gateway>,
    call: Call,
    answered: Answered,
    progress: Progress,
) -> Response<AnswerBody> {
    if call.route.kind == RouteKind::Stream && answered.response.status().is_success() {
        return stream::begin(gateway, call, answered, progress);
    }
    whole(gateway, call, answered, progress).await
}

/// Reads an answer whole and passes it on, or asks another server if it breaks off.
async fn whole(
    gateway: Arc<Gateway>,
    call: Call,
    mut answered: Answered,
    mut progress: Progress,
) -> Response<AnswerBody> {
    loop {
        let Answered { mut attempt, response } = answered;
        attempt.first_output();
        let (head, body) = response.into_parts();
        let instance = attempt.instance.clone();
        match read_whole(&call, &head, body).await {
            Ok(Read::Whole(bytes)) => {
                attempt.finish(outcome_of(&head));
                if !head.status.is_server_error() {
                    gateway.note_answered(&call);
                }
                return finished(
                    &gateway,
                    &call,
                    head,
                    AnswerBody::whole(bytes),
                    &instance,
                    progress,
                );
            }
            Ok(Read::Long(begun, rest)) => {
                let (pieces, body) = AnswerBody::pieces();
                let response = finished(&gateway, &call, head, body, &instance, progress);
                tokio::spawn(pass_pieces(gateway, call, attempt, begun, rest, pieces));
                return response;
            }
            Err(end) => {
                log::info!(
                    "event=answer_cut request={} instance={instance} reason=\"{end}\"",
                    call.id()
                );
                let sent_at = attempt.sent_at;
                attempt.fail(Outcome::Interrupted);
                if end == BodyEnd::Broken {
                    gateway.note_cut(&call, &instance, sent_at);
                }
                progress.may_have_run += 1;
                answered = match ask_again(&gateway, &call, &mut progress, instance, end).await {
                    Ok(answered) => answered,
                    Err(own) => return own_answer(&gateway, &call, own, progress),
                };
            }
        }
    }
}

/// Asks another server after the answer of `failed` has ended early.
async fn ask_again(
    gateway: &Arc<Gateway>,
    call: &Call,
    progress: &mut Progress,
    failed: InstanceId,
    end: BodyEnd,
) -> Result<Answered, OwnAnswer> {
    if !matches!(end, BodyEnd::Broken | BodyEnd::Stalled) {
        return Err(OwnAnswer::DeadlinePassed);
    }
    let mut search = ServerSearch::new(gateway, call).after(*progress, failed);
    let again = search.run(None).await;
    *progress = search.progress;
    again
}

fn outcome_of(head: &Parts) -> Outcome {
    match head.status.is_server_error() {
        true => Outcome::ServerError,
        false => Outcome::Answered,
    }
}

enum Read {
    Whole(Bytes),
    /// What was read so far of an answer that is too long to be kept.
    Long(Bytes, Incoming),
}

async fn read_whole(call: &Call, head: &Parts, mut body: Incoming) -> Result<Read, BodyEnd> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = match timeout_at(call.deadline, body.frame()).await {
            Err(_) => return Err(BodyEnd::Deadline),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(BodyEnd::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_WHOLE_BYTES {
            return Ok(Read::Long(bytes.freeze(), body));
        }
    }
    // An answer to a question for the head alone has no body whatever it states.
    if call.method != Method::HEAD
        && stated_length(head).is_some_and(|stated| stated != bytes.len())
    {
        return Err(BodyEnd::Broken);
    }
    Ok(Read::Whole(bytes.freeze()))
}

fn stated_length(head: &Parts) -> Option<usize> {
    head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Passes the rest of a long answer on as it comes.
async fn pass_pieces(
    gateway: Arc<Gateway>,
    call: Call,
    attempt: Attempt,
    begun: Bytes,
    mut rest: Incoming,
    pieces: PieceSender,
) {
    let mut next = Ok(begun);
    loop {
        let failed = next.is_err();
        if pieces.send(next).await.is_err() {
            return;
        }
        if failed {
            return attempt.fail(Outcome::Interrupted);
        }
        let frame = tokio::select! {
            frame = timeout_at(call.deadline, rest.frame()) => frame,
            () = pieces.closed() => return,
        };
        next = match frame {
            Ok(None) => {
                gateway.note_answered(&call);
                return attempt.finish(Outcome::Answered);
            }
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) => {
                gateway.note_cut(&call, &attempt.instance, attempt.sent_at);
                Err(Incomplete)
            }
            Err(_) => Err(Incomplete),
        };
    }
}

fn finished(
    gateway: &Gateway,
    call: &Call,
    head: Parts,
    body: AnswerBody,
    instance: &InstanceId,
    progress: Progress,
) -> Response<AnswerBody> {
    // For a request that has run, a promise that it has not must not be passed on.
    if is_promise(head.status) {
        return own_answer(gateway, call, OwnAnswer::ServerFailed, progress);
    }
    log_done(call, head.status.as_u16(), "answered", instance.as_str(), progress, None);
    gateway.metrics.answered(call.route.kind, head.status, call.arrived.elapsed());
    Response::from_parts(head, body)
}

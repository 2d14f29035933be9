//! Passes a server's answer on.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{Method, Response};
use juniper_catalog::RouteKind;
use juniper_placement::Outcome;
use tokio::time::{Instant, timeout_at};

use crate::answer::OwnAnswer;
use crate::attempt::{Answered, Attempt};
use crate::body::{AnswerBody, Incomplete, PieceSender};
use crate::call::{Call, ServerSearch, is_truthful, own_answer};
use crate::events::EventSplitter;
use crate::gateway::Gateway;
use crate::retry::Progress;

/// Largest answer that is read whole before it is passed on, in bytes. One that
/// breaks off can then be asked for again.
const MAX_WHOLE_BYTES: usize = 256 << 10;

/// Shortest pause in a stream after which its server is given up.
const LEAST_STALL: Duration = Duration::from_millis(1_800);

/// Pause, relative to the longest one in time, after which a server is given up.
const STALL_FACTOR: u32 = 3;

/// Why the body of an answer did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum BodyEnd {
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
        return stream(gateway, call, answered, progress);
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
                tokio::spawn(pass_pieces(call.deadline, attempt, begun, rest, pieces));
                return finished(&gateway, &call, head, body, &instance, progress);
            }
            Err(end) => {
                log::info!(
                    "event=answer_cut request={} instance={instance} reason=\"{end}\"",
                    call.id()
                );
                attempt.fail(Outcome::Broken);
                progress.may_have_run += 1;
                let mut search = ServerSearch::new(&gateway, &call).after(progress, instance);
                let again = match end {
                    BodyEnd::Broken | BodyEnd::Stalled => search.run(None).await,
                    _ => Err(OwnAnswer::DeadlinePassed),
                };
                progress = search.progress;
                answered = match again {
                    Ok(answered) => answered,
                    Err(own) => return own_answer(&gateway, &call, own, progress),
                };
            }
        }
    }
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
    deadline: Instant,
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
            return attempt.fail(Outcome::Broken);
        }
        let frame = tokio::select! {
            frame = timeout_at(deadline, rest.frame()) => frame,
            () = pieces.closed() => return,
        };
        next = match frame {
            Ok(None) => return attempt.finish(Outcome::Answered),
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) | Err(_) => Err(Incomplete),
        };
    }
}

fn finished(
    gateway: &Gateway,
    call: &Call,
    head: Parts,
    body: AnswerBody,
    instance: &juniper_registry::InstanceId,
    progress: Progress,
) -> Response<AnswerBody> {
    // For a request that has run, a promise that it has not must not be passed on.
    if !is_truthful(head.status) {
        return own_answer(gateway, call, OwnAnswer::ServerFailed, progress);
    }
    log_done(call, head.status.as_u16(), "answered", instance.as_str(), progress, None);
    gateway.metrics.answered(call.route.kind, head.status, call.arrived.elapsed());
    Response::from_parts(head, body)
}

fn log_done(
    call: &Call,
    status: u16,
    outcome: &str,
    instance: &str,
    progress: Progress,
    stream: Option<&StreamCounts>,
) {
    let counts = stream.map(|counts| {
        format!(
            " first_ms={} events={} resumed={} longest_pause_ms={}",
            counts.first.map_or(-1, |first| first.as_millis() as i64),
            counts.events,
            counts.resumed,
            counts.longest_pause.as_millis()
        )
    });
    log::info!(
        "event=request_done request={} route={} outcome={outcome} status={status} \
         instance={instance} sent={} may_have_run={} unreachable={} took_ms={}{}",
        call.id(),
        call.route.name,
        progress.sent,
        progress.may_have_run,
        progress.unreachable,
        call.arrived.elapsed().as_millis(),
        counts.unwrap_or_default()
    );
}

/// Begins to pass a stream on; the rest follows in a task of its own.
fn stream(
    gateway: Arc<Gateway>,
    call: Call,
    answered: Answered,
    progress: Progress,
) -> Response<AnswerBody> {
    let Answered { attempt, response } = answered;
    let (mut head, upstream) = response.into_parts();
    head.headers.remove(CONTENT_LENGTH);
    let (pieces, body) = AnswerBody::pieces();
    let status = head.status;
    let relay = StreamRelay {
        last_event: call.facts.last_event,
        gateway,
        call,
        progress,
        pieces,
        counts: StreamCounts::default(),
        last_piece_at: None,
        status: status.as_u16(),
    };
    tokio::spawn(relay.run(attempt, upstream));
    Response::from_parts(head, body)
}

/// What a stream came to, for logs and counters.
#[derive(Clone, Copy, Debug, Default)]
struct StreamCounts {
    first: Option<Duration>,
    events: u64,
    resumed: u32,
    longest_pause: Duration,
}

/// A stream on its way.
struct StreamRelay {
    gateway: Arc<Gateway>,
    call: Call,
    progress: Progress,
    pieces: PieceSender,
    last_event: Option<u64>,
    counts: StreamCounts,
    last_piece_at: Option<Instant>,
    status: u16,
}

impl StreamRelay {
    /// Passes events on, from one server after another where that is allowed.
    async fn run(mut self, mut attempt: Attempt, mut upstream: Incoming) {
        loop {
            let instance = attempt.instance.clone();
            let end = match self.pump(&mut attempt, &mut upstream).await {
                Ok(()) => {
                    attempt.finish(Outcome::Answered);
                    return self.done("answered", instance.as_str());
                }
                Err(end) => end,
            };
            if end == BodyEnd::CallerLeft {
                drop(attempt);
                return self.done("caller_left", instance.as_str());
            }
            log::info!(
                "event=stream_cut request={} instance={instance} reason=\"{end}\" last_event={:?}",
                self.call.id(),
                self.last_event
            );
            attempt.fail(Outcome::Broken);
            self.progress.may_have_run += 1;
            let next = match end {
                BodyEnd::Deadline | BodyEnd::Gap => None,
                // Without numbers nobody can tell where the stream would go on.
                _ if self.counts.events > 0 && self.last_event.is_none() => None,
                _ => self.resume(instance.clone()).await,
            };
            let Some(answered) = next else {
                let _ = self.pieces.send(Err(Incomplete)).await;
                return self.done("broken_off", instance.as_str());
            };
            self.counts.resumed += 1;
            attempt = answered.attempt;
            upstream = answered.response.into_body();
        }
    }

    /// Has the stream go on at another server.
    async fn resume(&mut self, failed: juniper_registry::InstanceId) -> Option<Answered> {
        let mut search = ServerSearch::new(&self.gateway, &self.call).after(self.progress, failed);
        let found = tokio::select! {
            found = search.run(self.last_event) => found.ok(),
            () = self.pieces.closed() => None,
        };
        self.progress = search.progress;
        found.filter(|answered| answered.response.status().is_success())
    }

    /// Passes on what one server sends.
    async fn pump(
        &mut self,
        attempt: &mut Attempt,
        upstream: &mut Incoming,
    ) -> Result<(), BodyEnd> {
        let mut splitter = EventSplitter::default();
        loop {
            let stalled_at = Instant::now() + self.patience();
            let until = stalled_at.min(self.call.deadline);
            let frame = tokio::select! {
                frame = timeout_at(until, upstream.frame()) => frame,
                () = self.pieces.closed() => return Err(BodyEnd::CallerLeft),
            };
            let frame = match frame {
                Err(_) if until == self.call.deadline => return Err(BodyEnd::Deadline),
                Err(_) => return Err(BodyEnd::Stalled),
                Ok(None) if splitter.is_between_events() => return Ok(()),
                Ok(None) | Ok(Some(Err(_))) => return Err(BodyEnd::Broken),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            attempt.first_output();
            let events = splitter.push(&data).map_err(|_| BodyEnd::Broken)?;
            let mut passed = BytesMut::new();
            for event in events {
                if self.is_due(event.id)? {
                    passed.extend_from_slice(&event.bytes);
                    self.counts.events += 1;
                }
            }
            if !passed.is_empty() {
                self.note_pause();
                let sent = self.pieces.send(Ok(passed.freeze())).await;
                sent.map_err(|_| BodyEnd::CallerLeft)?;
            }
        }
    }

    /// Whether the event is the next one. An earlier one is left out; a later one
    /// would leave a gap.
    fn is_due(&mut self, id: Option<u64>) -> Result<bool, BodyEnd> {
        let Some(id) = id else { return Ok(true) };
        match self.last_event {
            Some(last) if id <= last => return Ok(false),
            Some(last) if self.counts.resumed > 0 && id > last + 1 => return Err(BodyEnd::Gap),
            _ => {}
        }
        self.last_event = Some(id);
        Ok(true)
    }

    fn note_pause(&mut self) {
        let now = Instant::now();
        match self.last_piece_at {
            None => self.counts.first = Some(now - self.call.arrived),
            Some(last) => {
                self.counts.longest_pause = self.counts.longest_pause.max(now - last);
            }
        }
        self.last_piece_at = Some(now);
    }

    /// Longest pause before the server is given up. Where the stream can't go on
    /// elsewhere, that is not before the deadline.
    fn patience(&self) -> Duration {
        let mut after = self.progress;
        after.may_have_run += 1;
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        if !self.call.may_repeat(after) {
            return left;
        }
        let pause = match self.last_piece_at {
            None => self.call.objective() * 3,
            Some(_) => Duration::from_millis(self.call.route.max_pause_ms.unwrap_or(0)),
        };
        let stall = match self.last_piece_at {
            None => pause,
            Some(_) => pause * STALL_FACTOR,
        };
        stall.max(LEAST_STALL).min(left)
    }

    fn done(self, outcome: &str, instance: &str) {
        log_done(&self.call, self.status, outcome, instance, self.progress, Some(&self.counts));
        let metrics = &self.gateway.metrics;
        metrics.streamed(outcome, self.counts.first);
        metrics.pause_seconds.observe(self.counts.longest_pause.as_secs_f64());
    }
}

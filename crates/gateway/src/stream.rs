//! Relays streams, and resumes them at another server where that is allowed.

mod relay_events;

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use juniper_placement::Outcome;
use juniper_registry::{InstanceId, SoftwareVersion};
use tokio::time::Instant;

use crate::attempt::{Answered, Attempt};
use crate::body::AnswerBody;
use crate::call::Call;
use crate::events::EventSplitter;
use crate::finish::{FoundTiming, log_done};
use crate::gateway::Gateway;
use crate::open_answer::{EarlyEnd, NotContinued, OpenAnswer};
use crate::relay::{BodyError, confirm_end};
use crate::retry::Progress;
use crate::search::ServerSearch;

/// Starts to relay a stream in a task of its own.
pub(crate) fn start(
    gateway: Arc<Gateway>,
    call: Call,
    answered: Answered,
    progress: Progress,
) -> Response<AnswerBody> {
    let Answered { attempt, response } = answered;
    let (mut head, upstream) = response.into_parts();
    head.headers.remove(CONTENT_LENGTH);
    let (answer, body) = OpenAnswer::start(&gateway, &call);
    let status = head.status;
    let relay = StreamRelay {
        last_event: call.info.last_event,
        resumed_after: call.info.last_event,
        software: call.software.clone(),
        gateway,
        call,
        progress,
        answer,
        stats: StreamStats::default(),
        last_sent_at: None,
        status: status.as_u16(),
        splitter: EventSplitter::default(),
        received: None,
    };
    tokio::spawn(relay.run(attempt, upstream));
    Response::from_parts(head, body)
}

/// Statistics of a stream, for logs and metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamStats {
    pub first_event: Option<Duration>,
    pub events: u64,
    pub resumed: u32,
    pub longest_gap: Duration,
}

/// State of a stream that is relayed.
struct StreamRelay {
    gateway: Arc<Gateway>,
    call: Call,
    progress: Progress,
    answer: OpenAnswer,
    last_event: Option<u64>,
    /// Last event that the current server was told to skip, if it produces just the rest.
    resumed_after: Option<u64>,
    /// Software version that made the events passed on so far, if known.
    software: Option<SoftwareVersion>,
    stats: StreamStats,
    last_sent_at: Option<Instant>,
    status: u16,
    /// Splits the data of the current server.
    splitter: EventSplitter,
    /// Data of the current server that arrived while another server was looked for.
    received: Option<ReceivedFrame>,
}

/// Next part of a server's answer; `None` at its end.
type ReceivedFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

impl StreamRelay {
    /// Relays events, resuming at another server where that is allowed.
    async fn run(mut self, mut attempt: Attempt, mut upstream: Incoming) {
        loop {
            let error = match self.relay_events(&mut attempt, &mut upstream).await {
                Ok(()) => return self.complete(attempt),
                Err(error) => error,
            };
            let server = attempt.instance.clone();
            let next = match error {
                BodyError::CallerLeft => return self.end_without_caller(attempt),
                BodyError::Stalled => match self.replace(&server, Some(&mut upstream)).await {
                    Err(_) if self.answer.has_caller_left() => {
                        return self.end_without_caller(attempt);
                    }
                    Err(reason) => {
                        self.log_silence(&server, reason);
                        continue;
                    }
                    Ok(answered) => {
                        self.fail(attempt, error);
                        Ok(answered)
                    }
                },
                BodyError::Unconfirmed => {
                    let found = self.replace(&server, None).await;
                    if found.is_err() {
                        let deadline = self.call.deadline;
                        match confirm_end(&attempt, &self.answer, deadline).await {
                            Ok(()) => return self.complete(attempt),
                            Err(BodyError::CallerLeft) => return self.end_without_caller(attempt),
                            Err(_) => self.progress.may_have_run += 1,
                        }
                    }
                    self.fail(attempt, error);
                    found
                }
                BodyError::Broken | BodyError::Endless => {
                    self.fail(attempt, error);
                    self.progress.may_have_run += 1;
                    self.resume(server.clone(), None).await
                }
                BodyError::Deadline | BodyError::MissingEvents | BodyError::SoftwareChanged => {
                    self.fail(attempt, error);
                    self.progress.may_have_run += 1;
                    Err(NotContinued::NotResumable)
                }
            };
            match next {
                Ok(answered) => (attempt, upstream) = self.begin_rest(answered),
                Err(reason) => {
                    self.log_end("broken_off", &server, None);
                    return self.answer.end_early(EarlyEnd::Incomplete(error), reason);
                }
            }
        }
    }

    /// Ends the answer after the server's last event.
    fn complete(self, mut attempt: Attempt) {
        let (instance, timing) = (attempt.instance.clone(), attempt.timing);
        if self.stats.resumed == 0 && self.stats.events > 1 {
            attempt.record_longest_gap(self.stats.longest_gap);
        }
        let (sent_at, end) = (attempt.sent_at, attempt.body_end);
        attempt.finish(Outcome::Answered);
        // The rest of a stream doesn't show that a server survives the whole request.
        if self.resumed_after.is_none() {
            self.gateway.record_ended(&self.call, &instance, sent_at, end);
        }
        self.log_end("answered", &instance, timing);
        self.answer.complete();
    }

    /// Ends an attempt whose answer is incomplete.
    fn fail(&self, attempt: Attempt, error: BodyError) {
        let (instance, sent_at) = (attempt.instance.clone(), attempt.sent_at);
        self.log_cut(&instance, error);
        attempt.fail(Outcome::Interrupted);
        if matches!(error, BodyError::Broken | BodyError::Unconfirmed) {
            self.gateway.record_interrupted(&self.call, &instance, sent_at);
        }
    }

    /// Goes on with the answer of another server.
    fn begin_rest(&mut self, answered: Answered) -> (Attempt, Incoming) {
        self.stats.resumed += 1;
        self.splitter = EventSplitter::default();
        self.received = None;
        (answered.attempt, answered.response.into_body())
    }

    /// Looks for a server to replace one that may have answered, or may still do so. If that one is
    /// only silent, its connection stays open and its data ends the search.
    async fn replace(
        &mut self,
        server: &InstanceId,
        silent: Option<&mut Incoming>,
    ) -> Result<Answered, NotContinued> {
        let resumed_after = self.resumed_after;
        self.progress.may_have_run += 1;
        let found = self.resume(server.clone(), silent).await;
        if found.is_err() {
            // The server still runs the request, or has run it, and is counted once that has ended.
            self.progress.may_have_run -= 1;
            self.resumed_after = resumed_after;
        }
        found
    }

    /// Resumes the stream at another server, if it is known where to go on and at which servers. Data
    /// of the silent server, if there is one, ends the search.
    async fn resume(
        &mut self,
        failed: InstanceId,
        silent: Option<&mut Incoming>,
    ) -> Result<Answered, NotContinued> {
        // Without event numbers the position to resume from is unknown.
        if self.stats.events > 0 && self.last_event.is_none() {
            return Err(NotContinued::NoPosition);
        }
        // Nor is known without a version which servers' events fit those that the caller has.
        if self.has_begun() && self.software.is_none() {
            return Err(NotContinued::UnknownSoftware);
        }
        let mut search =
            ServerSearch::new(&self.gateway, &self.call).continue_from(self.progress, failed);
        if self.has_begun() {
            search = search.with_software(self.software.clone());
        }
        self.resumed_after = self.last_event;
        let frame = async {
            match silent {
                Some(upstream) => upstream.frame().await,
                None => pending().await,
            }
        };
        let found = tokio::select! {
            found = search.run(self.last_event) => Some(found),
            frame = frame => {
                self.received = Some(frame);
                None
            }
            () = self.answer.caller_left() => None,
        };
        self.progress = search.progress_if_dropped();
        let found = match found {
            Some(found) => found.map_err(|_| search.not_continued()),
            None if self.received.is_some() => Err(NotContinued::DataArrived),
            None => Err(NotContinued::CallerLeft),
        };
        match found {
            Ok(answered) if !answered.response.status().is_success() => {
                self.progress.may_have_run += 1;
                Err(NotContinued::Failed)
            }
            found => found,
        }
    }

    fn is_resumed_by_caller(&self) -> bool {
        self.call.info.last_event.is_some()
    }

    /// Whether the caller has events of the stream, from this answer or an earlier one.
    fn has_begun(&self) -> bool {
        self.stats.events > 0 || self.is_resumed_by_caller()
    }

    fn log_silence(&self, instance: &InstanceId, reason: NotContinued) {
        log::info!(
            "event=stream_silent request={} instance={instance} last_event={:?} has_data={} \
             not_continued={}",
            self.call.id(),
            self.last_event,
            self.received.is_some(),
            reason.as_str()
        );
    }

    fn log_cut(&self, instance: &InstanceId, error: BodyError) {
        log::info!(
            "event=stream_cut request={} instance={instance} reason=\"{error}\" last_event={:?}",
            self.call.id(),
            self.last_event
        );
    }

    /// Ends the answer of a caller that has left.
    fn end_without_caller(self, attempt: Attempt) {
        let instance = attempt.instance.clone();
        drop(attempt);
        self.log_end("caller_left", &instance, None);
        self.answer.end_early(EarlyEnd::CallerLeft, NotContinued::CallerLeft);
    }

    fn log_end(&self, outcome: &str, instance: &InstanceId, timing: Option<FoundTiming>) {
        let stats = Some(&self.stats);
        log_done(&self.call, self.status, outcome, instance.as_str(), self.progress, stats, timing);
        let metrics = &self.gateway.metrics;
        metrics.count_stream(outcome, self.stats.first_event);
        metrics.gap_seconds.observe(self.stats.longest_gap.as_secs_f64());
    }
}

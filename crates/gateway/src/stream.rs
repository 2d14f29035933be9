//! Passes streams on, from one server after another where that is allowed.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use juniper_placement::Outcome;
use tokio::time::{Instant, timeout_at};

use crate::attempt::{Answered, Attempt};
use crate::body::{AnswerBody, Incomplete, PieceSender};
use crate::call::Call;
use crate::events::EventSplitter;
use crate::finish::log_done;
use crate::gateway::Gateway;
use crate::relay::BodyEnd;
use crate::retry::Progress;
use crate::search::ServerSearch;

/// Shortest pause in a stream after which its server is given up.
const LEAST_STALL: Duration = Duration::from_millis(1_800);

/// Pause, relative to the longest one in time, after which a server is given up.
const STALL_FACTOR: u32 = 3;

/// Begins to pass a stream on; the rest follows in a task of its own.
pub(crate) fn begin(
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
pub(crate) struct StreamCounts {
    pub first: Option<Duration>,
    pub events: u64,
    pub resumed: u32,
    pub longest_pause: Duration,
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
                    self.gateway.note_answered(&self.call);
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
            let sent_at = attempt.sent_at;
            attempt.fail(Outcome::Interrupted);
            if end == BodyEnd::Broken {
                self.gateway.note_cut(&self.call, &instance, sent_at);
            }
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
            let until = self.give_up_at();
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

    /// Until when the server is waited for. Where the stream can't go on elsewhere,
    /// that is the deadline.
    fn give_up_at(&self) -> Instant {
        let mut after = self.progress;
        after.may_have_run += 1;
        if !self.call.may_repeat(after) {
            return self.call.deadline;
        }
        let stall = match self.last_piece_at {
            None => self.call.objective() * 3,
            Some(_) => {
                let longest = self.call.route.max_pause_ms.unwrap_or(0);
                Duration::from_millis(longest) * STALL_FACTOR
            }
        };
        self.call.deadline.min(Instant::now() + stall.max(LEAST_STALL))
    }

    fn done(self, outcome: &str, instance: &str) {
        log_done(&self.call, self.status, outcome, instance, self.progress, Some(&self.counts));
        let metrics = &self.gateway.metrics;
        metrics.streamed(outcome, self.counts.first);
        metrics.pause_seconds.observe(self.counts.longest_pause.as_secs_f64());
    }
}

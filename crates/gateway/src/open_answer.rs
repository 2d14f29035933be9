//! Answers that are passed on in chunks. An answer ends only through [`OpenAnswer`], so that each one
//! that ends early is logged and counted with its reason, and never looks complete to the caller.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderValue;
use juniper_catalog::RouteKind;
use tokio::time::Instant;

use crate::body::{AnswerBody, ChunkSender};
use crate::call::Call;
use crate::gateway::Gateway;
use crate::relay::BodyError;
use crate::search_end::SearchEnd;

/// Why an answer ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EarlyEnd {
    /// The caller closed its connection.
    CallerLeft,
    /// What the last server sent is incomplete.
    Incomplete(BodyError),
    /// The task that passed the answer on was stopped, as at the end of the grace period.
    Aborted,
}

impl EarlyEnd {
    /// Value of `reason` in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            EarlyEnd::CallerLeft => "caller_left",
            EarlyEnd::Incomplete(error) => error.label(),
            EarlyEnd::Aborted => "aborted",
        }
    }
}

/// Why no other server continued an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotContinued {
    /// The answer is of a kind that no other server can continue after such an end.
    NotResumable,
    /// The events have no numbers, so the position to resume from is unknown.
    NoPosition,
    /// The software version that began the stream is unknown.
    UnknownSoftware,
    /// No server was found.
    Search(SearchEnd),
    /// The server that was asked for the rest answered with a failure.
    Failed,
    /// The caller left during the search.
    CallerLeft,
    /// The silent server sent data during the search.
    DataArrived,
}

impl NotContinued {
    /// Value of `not_continued` in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            NotContinued::NotResumable => "not_resumable",
            NotContinued::NoPosition => "no_position",
            NotContinued::UnknownSoftware => "unknown_software",
            NotContinued::Search(end) => end.as_str(),
            NotContinued::Failed => "server_status",
            NotContinued::CallerLeft => "caller_left",
            NotContinued::DataArrived => "data_arrived",
        }
    }
}

/// An answer whose head was passed on.
pub(crate) struct OpenAnswer {
    gateway: Arc<Gateway>,
    request: HeaderValue,
    route: String,
    kind: RouteKind,
    arrived: Instant,
    deadline: Instant,
    last_sent_at: Instant,
    chunks: ChunkSender,
    has_ended: bool,
}

impl OpenAnswer {
    /// Starts an answer to the call, and returns the body that the caller gets.
    pub(crate) fn start(gateway: &Arc<Gateway>, call: &Call) -> (Self, AnswerBody) {
        let (chunks, body) = AnswerBody::chunks();
        let answer = OpenAnswer {
            gateway: Arc::clone(gateway),
            request: call.info.id.clone(),
            route: call.route.name.clone(),
            kind: call.route.kind,
            arrived: call.arrived,
            deadline: call.deadline,
            last_sent_at: Instant::now(),
            chunks,
            has_ended: false,
        };
        (answer, body)
    }

    /// Passes on a part of the answer.
    ///
    /// # Errors
    /// Fails if the caller has left.
    pub(crate) async fn send(&mut self, data: Bytes) -> Result<(), BodyError> {
        self.chunks.send(data).await.map_err(|_| BodyError::CallerLeft)?;
        self.last_sent_at = Instant::now();
        Ok(())
    }

    /// Completes once the caller has left.
    pub(crate) async fn caller_left(&self) {
        self.chunks.closed().await;
    }

    /// Whether the caller has left.
    pub(crate) fn has_caller_left(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Ends the answer after its last part.
    pub(crate) fn complete(mut self) {
        self.has_ended = true;
        self.chunks.complete();
    }

    /// Ends the answer before its last part: the caller's connection is closed.
    pub(crate) fn end_early(mut self, end: EarlyEnd, not_continued: NotContinued) {
        self.record_early_end(end, not_continued.as_str());
    }

    fn record_early_end(&mut self, end: EarlyEnd, not_continued: &str) {
        self.has_ended = true;
        let now = Instant::now();
        log::info!(
            "event=answer_ended_early request={} route={} reason={} not_continued={not_continued} \
             after_ms={} left_ms={} silent_ms={}",
            self.request.to_str().unwrap_or("-"),
            self.route,
            end.as_str(),
            (now - self.arrived).as_millis(),
            self.deadline.saturating_duration_since(now).as_millis(),
            (now - self.last_sent_at).as_millis()
        );
        self.gateway.metrics.count_early_end(self.kind, end.as_str());
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        if !self.has_ended {
            self.record_early_end(EarlyEnd::Aborted, "-");
        }
    }
}

//! End of a request: its log line, and answers of the gateway itself.

use std::fmt::{Display, Formatter};
use std::time::Duration;

use hyper::Response;
use juniper_placement::ExpectedTiming;

use crate::answer::OwnAnswer;
use crate::body::AnswerBody;
use crate::call::Call;
use crate::gateway::Gateway;
use crate::retry::Progress;
use crate::stream::StreamStats;

/// Ends the request with an answer of the gateway itself.
pub(crate) fn own_answer(
    gateway: &Gateway,
    call: &Call,
    answer: OwnAnswer,
    progress: Progress,
) -> Response<AnswerBody> {
    log::info!(
        "event=request_done request={} route={} outcome=own_answer reason={} status={} sent={} \
         may_have_run={} unreachable={} took_ms={} {}",
        call.id(),
        call.route.name,
        answer.reason(),
        answer.status().as_u16(),
        progress.sent,
        progress.may_have_run,
        progress.unreachable,
        call.arrived.elapsed().as_millis(),
        answer.retry_fields()
    );
    if let Some(granted_charge) =
        call.granted_charge.as_ref().filter(|_| progress.may_have_run == 0)
    {
        gateway.refund(granted_charge);
    }
    gateway.metrics.count_own_answer(Some(call.route.kind), answer);
    answer.response(&*gateway.dialect, Some(&call.info.id))
}

/// Expected and observed times of the attempt that answered a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FoundTiming {
    pub expected: ExpectedTiming,
    /// Dispatch to first output.
    pub found: Duration,
}

impl FoundTiming {
    /// Observed time to first output, relative to the expected one.
    pub(crate) fn ratio(&self) -> f64 {
        self.found.as_secs_f64() * 1_000.0 / self.expected.first_output_ms.max(1.0)
    }
}

impl Display for FoundTiming {
    /// Log keys, each after a space.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let expected_ms = self.expected.first_output_ms;
        write!(formatter, " expected_ms={expected_ms:.0} found_ms={}", self.found.as_millis())?;
        match self.expected.longest_gap_ms {
            Some(gap_ms) => write!(formatter, " expected_pause_ms={gap_ms:.0}"),
            None => Ok(()),
        }
    }
}

/// Logs the end of a request that was sent to a server.
pub(crate) fn log_done(
    call: &Call,
    status: u16,
    outcome: &str,
    instance: &str,
    progress: Progress,
    stream: Option<&StreamStats>,
    timing: Option<FoundTiming>,
) {
    let stats = stream.map(|stats| {
        format!(
            " first_ms={} events={} resumed={} longest_pause_ms={}",
            stats.first_event.map_or(-1, |first| first.as_millis() as i64),
            stats.events,
            stats.resumed,
            stats.longest_gap.as_millis()
        )
    });
    log::info!(
        "event=request_done request={} route={} outcome={outcome} status={status} \
         instance={instance} sent={} may_have_run={} unreachable={} took_ms={}{}{}",
        call.id(),
        call.route.name,
        progress.sent,
        progress.may_have_run,
        progress.unreachable,
        call.arrived.elapsed().as_millis(),
        stats.unwrap_or_default(),
        timing.map(|timing| timing.to_string()).unwrap_or_default()
    );
}

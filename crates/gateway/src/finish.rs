//! The end of a request: its line in the log, and the gateway's own answers.

use hyper::Response;
use juniper_registry::InstanceId;

use crate::answer::OwnAnswer;
use crate::body::AnswerBody;
use crate::call::Call;
use crate::gateway::Gateway;
use crate::retry::Progress;
use crate::stream::StreamCounts;

/// Gives up on the request with an answer of the gateway's own.
pub(crate) fn own_answer(
    gateway: &Gateway,
    call: &Call,
    own: OwnAnswer,
    progress: Progress,
) -> Response<AnswerBody> {
    log::info!(
        "event=request_done request={} route={} outcome=own_answer reason={} status={} sent={} \
         may_have_run={} unreachable={} took_ms={}",
        call.id(),
        call.route.name,
        own.reason(),
        own.status().as_u16(),
        progress.sent,
        progress.may_have_run,
        progress.unreachable,
        call.arrived.elapsed().as_millis()
    );
    if let Some(charged) = call.charged.as_ref().filter(|_| progress.may_have_run == 0) {
        gateway.give_back(charged);
    }
    gateway.metrics.own_answer(Some(call.route.kind), own);
    own.response(&*gateway.dialect, Some(&call.facts.id))
}

/// Logs how a request that a server answered has ended.
pub(crate) fn log_done(
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

/// Tells of a caller that leaves while a server's answer is waited for: hyper then
/// drops what waits, and nobody else would write a line.
pub(crate) struct Unanswered<'a> {
    gateway: &'a Gateway,
    call: &'a Call,
    instance: &'a InstanceId,
    progress: Progress,
    is_over: bool,
}

impl<'a> Unanswered<'a> {
    /// The request waits for this server from now on.
    pub(crate) fn by(
        gateway: &'a Gateway,
        call: &'a Call,
        instance: &'a InstanceId,
        progress: Progress,
    ) -> Self {
        Unanswered { gateway, call, instance, progress, is_over: false }
    }

    /// The wait has ended with an answer or a failure.
    pub(crate) fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            log_done(self.call, 0, "caller_left", self.instance.as_str(), self.progress, None);
            self.gateway.metrics.left_unanswered(self.call.route.kind);
        }
    }
}

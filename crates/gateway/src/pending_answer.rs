//! Requests that have no answer yet. Whatever drops the work on such a request, its end is logged and
//! counted with the reason.

use std::sync::{Arc, Mutex};

use hyper::header::HeaderValue;
use juniper_catalog::RouteKind;
use juniper_registry::InstanceId;
use tokio::time::Instant;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::lifecycle::ShutdownPhase;
use crate::lock::lock;
use crate::retry::Progress;

/// A request from its arrival until the head of its answer is passed on. The HTTP library drops the
/// work on a request whose caller has left, and the end of a planned shutdown drops all work: in both
/// cases no other code would log it.
pub(crate) struct PendingAnswer {
    gateway: Arc<Gateway>,
    request: HeaderValue,
    arrived: Instant,
    /// Name and kind of the route, once known.
    route: Option<(String, RouteKind)>,
    latest: Mutex<LatestAttempt>,
    has_ended: bool,
}

/// Server that was asked last, and the attempts so far.
#[derive(Default)]
struct LatestAttempt {
    instance: Option<InstanceId>,
    progress: Progress,
}

impl PendingAnswer {
    /// Starts the wait for an answer.
    pub(crate) fn start(gateway: &Arc<Gateway>, request: &HeaderValue, arrived: Instant) -> Self {
        PendingAnswer {
            gateway: Arc::clone(gateway),
            request: request.clone(),
            arrived,
            route: None,
            latest: Mutex::default(),
            has_ended: false,
        }
    }

    /// Records the route of the request.
    pub(crate) fn set_route(&mut self, call: &Call) {
        self.route = Some((call.route.name.clone(), call.route.kind));
    }

    /// Records the latest attempt.
    pub(crate) fn record_attempt(&self, instance: Option<&InstanceId>, progress: Progress) {
        *lock(&self.latest) = LatestAttempt { instance: instance.cloned(), progress };
    }

    /// Ends the wait: the request has an answer, whose end is logged elsewhere.
    pub(crate) fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let outcome = match *self.gateway.shutdown.borrow() {
            ShutdownPhase::Stopped => "aborted",
            _ => "caller_left",
        };
        let LatestAttempt { instance, progress } = &*lock(&self.latest);
        log::info!(
            "event=request_done request={} route={} outcome={outcome} status=0 instance={} sent={} \
             may_have_run={} unreachable={} took_ms={}",
            self.request.to_str().unwrap_or("-"),
            self.route.as_ref().map_or("-", |(name, _)| name),
            instance.as_ref().map_or("-", InstanceId::as_str),
            progress.sent,
            progress.may_have_run,
            progress.unreachable,
            self.arrived.elapsed().as_millis()
        );
        let kind = self.route.as_ref().map(|(_, kind)| *kind);
        self.gateway.metrics.count_unanswered(kind, outcome);
    }
}

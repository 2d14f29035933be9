//! Answers that are passed on in pieces. Each one that ends early is logged and counted with its reason.

use std::sync::Arc;

use juniper_types::RequestId;

use crate::router_state::RouterState;

/// Reason of an answer whose caller has disconnected.
pub(crate) const CALLER_LEFT: &str = "caller_left";

/// Reason of an answer whose work was dropped, as when the process stops.
const ABORTED: &str = "aborted";

/// An answer that is passed on in pieces. It counts as aborted if it is dropped before its end.
pub(crate) struct OpenAnswer {
    state: Arc<RouterState>,
    kind: &'static str,
    request: RequestId,
    has_ended: bool,
}

impl OpenAnswer {
    /// Starts an answer to a request of this kind of traffic.
    pub(crate) fn start(state: &Arc<RouterState>, kind: &'static str, request: RequestId) -> Self {
        OpenAnswer { state: Arc::clone(state), kind, request, has_ended: false }
    }

    /// Ends the answer after its last piece.
    pub(crate) fn complete(mut self) {
        self.has_ended = true;
    }

    /// Ends the answer before its last piece.
    pub(crate) fn end_early(mut self, reason: &str) {
        self.record_early_end(reason);
    }

    fn record_early_end(&mut self, reason: &str) {
        self.has_ended = true;
        log::info!(
            "event=answer_ended_early request={} kind={} reason={reason}",
            self.request,
            self.kind
        );
        self.state.metrics.early_ends.with_label_values(&[self.kind, reason]).inc();
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        if !self.has_ended {
            self.record_early_end(ABORTED);
        }
    }
}

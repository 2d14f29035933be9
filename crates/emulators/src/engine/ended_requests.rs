//! Ids of recently ended requests, for idempotent cancellation and detection of reused ids.

use std::collections::{HashSet, VecDeque};

use juniper_types::RequestId;

/// Maximum number of ids; covers over a minute at 100 requests per second.
const CAPACITY: usize = 8_192;

#[derive(Clone, Debug, Default)]
pub(super) struct EndedRequests {
    order: VecDeque<RequestId>,
    ids: HashSet<RequestId>,
}

impl EndedRequests {
    pub(super) fn record(&mut self, id: RequestId) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
    }
}

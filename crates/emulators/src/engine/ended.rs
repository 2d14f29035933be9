//! Ids of requests that ended lately, for idempotent cancels and repeated ids.

use std::collections::{HashSet, VecDeque};

use juniper_types::RequestId;

/// Ended requests remembered; at 100 requests a second, over a minute's worth.
const REMEMBERED: usize = 8_192;

#[derive(Clone, Debug, Default)]
pub(super) struct EndedRequests {
    order: VecDeque<RequestId>,
    ids: HashSet<RequestId>,
}

impl EndedRequests {
    pub(super) fn note(&mut self, id: RequestId) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
    }
}

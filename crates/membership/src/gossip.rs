//! News waiting to be passed on, least often sent first.

use std::collections::BTreeMap;

use juniper_types::NodeId;

use crate::member::Update;

#[derive(Debug)]
struct Waiting {
    update: Update,
    sent: u32,
}

/// Updates that still have to be passed on; at most one for each member.
#[derive(Debug, Default)]
pub struct GossipQueue {
    waiting: BTreeMap<NodeId, Waiting>,
}

impl GossipQueue {
    /// Queues `update` in place of older news of the same member.
    pub fn push(&mut self, update: Update) {
        self.waiting.insert(update.member.node, Waiting { update, sent: 0 });
    }

    /// Takes up to `count` updates for one message and drops those that have
    /// then been sent `limit` times.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<Update> {
        let mut order: Vec<(u32, NodeId)> =
            self.waiting.iter().map(|(node, waiting)| (waiting.sent, *node)).collect();
        order.sort_unstable();
        let mut updates = Vec::with_capacity(count.min(order.len()));
        for (_, node) in order.into_iter().take(count) {
            let Some(waiting) = self.waiting.get_mut(&node) else { continue };
            updates.push(waiting.update.clone());
            waiting.sent += 1;
            if waiting.sent >= limit {
                self.waiting.remove(&node);
            }
        }
        updates
    }

    /// Drops everything: others know it already.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }
}

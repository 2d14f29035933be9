//! Queue of updates to be gossiped, least often sent first.

use std::collections::BTreeMap;

use juniper_types::NodeId;

use crate::member::Update;

#[derive(Debug)]
struct QueuedUpdate {
    update: Update,
    sent_count: u32,
}

/// Updates to be gossiped, at most one for each member.
#[derive(Debug, Default)]
pub struct GossipQueue {
    queued: BTreeMap<NodeId, QueuedUpdate>,
}

impl GossipQueue {
    /// Queues `update`, replacing an older one of the same member.
    pub fn push(&mut self, update: Update) {
        self.queued.insert(update.member.node, QueuedUpdate { update, sent_count: 0 });
    }

    /// Returns up to `count` updates for one message, and drops those that have then been sent
    /// `limit` times.
    pub fn take_updates(&mut self, count: usize, limit: u32) -> Vec<Update> {
        let mut order: Vec<(u32, NodeId)> =
            self.queued.iter().map(|(node, queued)| (queued.sent_count, *node)).collect();
        order.sort_unstable();
        let mut updates = Vec::with_capacity(count.min(order.len()));
        for (_, node) in order.into_iter().take(count) {
            let Some(queued) = self.queued.get_mut(&node) else { continue };
            updates.push(queued.update.clone());
            queued.sent_count += 1;
            if queued.sent_count >= limit {
                self.queued.remove(&node);
            }
        }
        updates
    }

    /// Drops all queued updates.
    pub fn clear(&mut self) {
        self.queued.clear();
    }
}

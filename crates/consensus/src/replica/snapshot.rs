//! Log compaction with snapshots, and chunked snapshot transfer.

use std::sync::Arc;

use super::Replica;
use crate::entry::{Index, Snapshot, SnapshotMeta};
use crate::error::CompactError;
use crate::identity::ReplicaId;
use crate::message::Body;
use crate::progress::Mode;

/// Partially received snapshot.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    from: ReplicaId,
    meta: SnapshotMeta,
    total: u64,
    data: Vec<u8>,
}

impl Replica {
    pub(super) fn take_snapshot(
        &mut self,
        index: Index,
        data: Vec<u8>,
    ) -> Result<(), CompactError> {
        let newer = index > self.log.snapshot_position().index && index <= self.applied;
        let meta = self.log.snapshot_meta(index).filter(|_| newer);
        let meta = meta.ok_or(CompactError::Index(index))?;
        if self.output.is_installing() || self.stop_reason().is_some() {
            return Err(CompactError::Index(index));
        }
        let snapshot = Snapshot { meta, data: Arc::new(data) };
        self.output.queue_snapshot(snapshot.clone(), false);
        self.log.compact(snapshot, self.config.retained_entries);
        Ok(())
    }

    pub(super) fn send_snapshot_chunk(&mut self, to: ReplicaId) {
        let chunk_bytes = self.config.snapshot_chunk_bytes;
        let Some(progress) = self.progress_mut(to) else { return };
        let Mode::Snapshot { snapshot, offset } = &progress.mode else { return };
        let total = snapshot.data.len();
        let start = usize::try_from(*offset).unwrap_or(total).min(total);
        let data = snapshot.data[start..total.min(start + chunk_bytes)].to_vec();
        let body = Body::SnapshotChunk {
            meta: snapshot.meta.clone(),
            total: total as u64,
            offset: start as u64,
            data,
        };
        self.send(to, body);
    }

    pub(super) fn on_snapshot_reply(&mut self, from: ReplicaId, index: Index, wanted: u64) {
        let Some(progress) = self.progress_mut(from) else { return };
        let Mode::Snapshot { snapshot, offset } = &mut progress.mode else { return };
        let total = snapshot.data.len() as u64;
        if snapshot.meta.position.index != index || wanted > total {
            return;
        }
        let duplicate = *offset == wanted;
        *offset = wanted;
        if !duplicate && wanted < total {
            self.send_snapshot_chunk(from);
        }
    }

    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        meta: SnapshotMeta,
        total: u64,
        offset: u64,
        data: Vec<u8>,
    ) {
        if self.is_leader() || total > self.config.max_snapshot_bytes {
            return;
        }
        if meta.position.index <= self.commit {
            self.incoming = None;
            self.send_when_durable(from, Body::AppendReply { matched: self.commit });
            return;
        }
        let index = meta.position.index;
        let received = self.add_chunk(from, meta, total, offset, &data);
        if received == total {
            self.install_incoming(from);
        } else {
            self.send(from, Body::SnapshotReply { index, offset: received });
        }
    }

    /// Adds a chunk and returns the number of bytes received so far. A chunk of another
    /// snapshot or from another sender replaces the partial snapshot.
    fn add_chunk(
        &mut self,
        from: ReplicaId,
        meta: SnapshotMeta,
        total: u64,
        offset: u64,
        data: &[u8],
    ) -> u64 {
        let same = |incoming: &IncomingSnapshot| {
            incoming.from == from && incoming.meta == meta && incoming.total == total
        };
        let mut incoming = match self.incoming.take().filter(same) {
            Some(incoming) => incoming,
            None => IncomingSnapshot { from, meta, total, data: Vec::new() },
        };
        let expected = incoming.data.len() as u64;
        if offset == expected && expected + data.len() as u64 <= total {
            incoming.data.extend_from_slice(data);
        }
        let received = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        received
    }

    /// Replaces the log by the complete snapshot, which is written to storage and then
    /// installed in the state machine.
    fn install_incoming(&mut self, from: ReplicaId) {
        let Some(incoming) = self.incoming.take() else { return };
        let index = incoming.meta.position.index;
        let snapshot = Snapshot { meta: incoming.meta, data: Arc::new(incoming.data) };
        self.output.queue_snapshot(snapshot.clone(), true);
        self.log.install(snapshot);
        self.advance_commit(index);
        self.send_when_durable(from, Body::AppendReply { matched: index });
    }
}

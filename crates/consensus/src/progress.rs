//! Replication progress of a follower, as tracked by the leader.

use crate::entry::{Index, Position, Snapshot};

/// Number of acknowledged heartbeats without progress after which in-flight entries are
/// considered lost.
///
/// A slow disk may delay a reply for several heartbeats; an earlier retry would only
/// add to the load on that disk.
const MAX_STALLED_HEARTBEATS: u32 = 3;

/// Mode in which entries are sent to a follower.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// The last matching position is unknown; one message is in flight at a time.
    Probe {
        /// Whether a probe is in flight.
        waiting: bool,
    },
    /// Entries are pipelined, without waiting for acknowledgements.
    Replicate,
    /// The follower needs compacted entries and receives a snapshot in chunks.
    Snapshot {
        /// Snapshot being sent, retained until the transfer ends even if a later one exists.
        snapshot: Snapshot,
        /// Offset of the next byte to send.
        offset: u64,
    },
}

/// Replication progress of a follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index known to be durable on the follower.
    pub(crate) matched: Index,
    /// Next index to send.
    pub(crate) next: Index,
    /// Mode in which entries are sent.
    pub(crate) mode: Mode,
    /// Tick of the last message from the follower.
    pub(crate) last_contact: u64,
    /// Latest read round confirmed by the follower.
    pub(crate) read_round: u64,
    /// Number of heartbeats acknowledged while in-flight entries were not.
    stalled_heartbeats: u32,
}

impl Progress {
    /// Progress of a follower whose log is unknown, tracked from tick `now`.
    pub(crate) fn new(last: Index, now: u64) -> Self {
        Progress {
            matched: 0,
            next: last + 1,
            mode: Mode::Probe { waiting: false },
            last_contact: now,
            read_round: 0,
            stalled_heartbeats: 0,
        }
    }

    /// Records that the follower's log matches up to `matched`. Returns whether `matched` advanced.
    pub(crate) fn acknowledge(&mut self, matched: Index) -> bool {
        self.stalled_heartbeats = 0;
        let finished_snapshot = match &self.mode {
            Mode::Snapshot { snapshot, .. } => matched >= snapshot.meta.position.index,
            _ => true,
        };
        if finished_snapshot {
            self.mode = Mode::Replicate;
        }
        self.next = self.next.max(matched + 1);
        let advanced = matched > self.matched;
        self.matched = self.matched.max(matched);
        advanced
    }

    /// Records that the follower lacks the entry at `previous`; the logs may match up to `common`.
    ///
    /// Returns false for a stale reply, and for a follower that lost entries it had
    /// acknowledged: no earlier entry may be sent to that follower, and an immediate
    /// retry would never end.
    pub(crate) fn reject(&mut self, previous: Index, common: Position) -> bool {
        match self.mode {
            _ if previous <= self.matched => return false,
            Mode::Replicate => {}
            Mode::Probe { .. } if previous + 1 == self.next => {}
            _ => return false,
        }
        self.stalled_heartbeats = 0;
        self.next = (common.index + 1).min(previous).max(self.matched + 1);
        self.mode = Mode::Probe { waiting: false };
        true
    }

    /// Records a heartbeat reply and allows entries that seem lost to be sent again.
    pub(crate) fn record_heartbeat_reply(&mut self) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = false,
            Mode::Replicate if self.next > self.matched + 1 => {
                self.stalled_heartbeats += 1;
                if self.stalled_heartbeats >= MAX_STALLED_HEARTBEATS {
                    self.stalled_heartbeats = 0;
                    self.next = self.matched + 1;
                    self.mode = Mode::Probe { waiting: false };
                }
            }
            _ => {}
        }
    }

    /// Maximum number of entries that may be sent now.
    pub(crate) fn window(&self, max_in_flight: u64) -> u64 {
        match self.mode {
            Mode::Probe { waiting: true } | Mode::Snapshot { .. } => 0,
            Mode::Probe { waiting: false } => max_in_flight,
            Mode::Replicate => max_in_flight.saturating_sub(self.next - 1 - self.matched),
        }
    }

    /// Records that entries up to `last` were sent.
    pub(crate) fn record_sent(&mut self, last: Index) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = true,
            _ => self.next = self.next.max(last + 1),
        }
    }
}

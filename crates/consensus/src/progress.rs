//! What a leader knows of one follower's log.

use crate::entry::{Index, Position, Snapshot};

/// Heartbeats answered without progress after which entries sent ahead count as lost.
///
/// A slow disk may hold an answer back for a few heartbeats; sending again
/// earlier would only add to its load.
const STALLED_HEARTBEATS: u32 = 3;

/// How entries are sent.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// Where the logs agree isn't known: one message at a time.
    Probe {
        /// A probe is on its way.
        waiting: bool,
    },
    /// Entries are sent ahead of the answers.
    Replicate,
    /// The follower needs entries that are gone; it gets a snapshot in chunks.
    Snapshot {
        /// The snapshot, kept until it is through even when a later one exists.
        snapshot: Snapshot,
        /// Next byte to send.
        offset: u64,
    },
}

/// A follower as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index known to be on the follower's disk.
    pub(crate) matched: Index,
    /// Next index to send.
    pub(crate) next: Index,
    /// How entries are sent.
    pub(crate) mode: Mode,
    /// Tick of the last message from the follower.
    pub(crate) heard: u64,
    /// Latest read round that the follower confirmed.
    pub(crate) read_round: u64,
    /// Heartbeats answered while entries were outstanding and no answer to them came.
    stalled: u32,
}

impl Progress {
    /// A follower about which nothing is known, from tick `now` on.
    pub(crate) fn new(last: Index, now: u64) -> Self {
        Progress {
            matched: 0,
            next: last + 1,
            mode: Mode::Probe { waiting: false },
            heard: now,
            read_round: 0,
            stalled: 0,
        }
    }

    /// The follower's log agrees up to `matched`. Returns whether that is news.
    pub(crate) fn acknowledge(&mut self, matched: Index) -> bool {
        self.stalled = 0;
        let finished_snapshot = match &self.mode {
            Mode::Snapshot { snapshot, .. } => matched >= snapshot.meta.position.index,
            _ => true,
        };
        if finished_snapshot {
            self.mode = Mode::Replicate;
        }
        self.next = self.next.max(matched + 1);
        let news = matched > self.matched;
        self.matched = self.matched.max(matched);
        news
    }

    /// The follower lacks the entry at `previous`; the logs may agree up to `common`.
    /// Returns false for an answer to an old message, and for a follower that lost
    /// what it had acknowledged: no earlier entry may be sent to it, and answering
    /// at once would go on for ever.
    pub(crate) fn reject(&mut self, previous: Index, common: Position) -> bool {
        match self.mode {
            _ if previous <= self.matched => return false,
            Mode::Replicate => {}
            Mode::Probe { .. } if previous + 1 == self.next => {}
            _ => return false,
        }
        self.stalled = 0;
        self.next = (common.index + 1).min(previous).max(self.matched + 1);
        self.mode = Mode::Probe { waiting: false };
        true
    }

    /// A heartbeat was answered: the path is open. Lets what seems lost be sent again.
    pub(crate) fn heartbeat_answered(&mut self) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = false,
            Mode::Replicate if self.next > self.matched + 1 => {
                self.stalled += 1;
                if self.stalled >= STALLED_HEARTBEATS {
                    self.stalled = 0;
                    self.next = self.matched + 1;
                    self.mode = Mode::Probe { waiting: false };
                }
            }
            _ => {}
        }
    }

    /// Most entries that may be sent now.
    pub(crate) fn window(&self, max_in_flight: u64) -> u64 {
        match self.mode {
            Mode::Probe { waiting: true } | Mode::Snapshot { .. } => 0,
            Mode::Probe { waiting: false } => max_in_flight,
            Mode::Replicate => max_in_flight.saturating_sub(self.next - 1 - self.matched),
        }
    }

    /// Entries up to `last` were sent.
    pub(crate) fn sent(&mut self, last: Index) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = true,
            _ => self.next = self.next.max(last + 1),
        }
    }
}

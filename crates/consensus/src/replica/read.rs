//! Linearizable reads, confirmed by a quorum without relying on clocks.
//!
//! The leader records the commit index of a read and then confirms its leadership with a
//! quorum. Only replies to heartbeats sent after the read arrived count, so that a leader
//! that was suspended or partitioned can't serve stale state.

use std::collections::VecDeque;
use std::mem;

use super::{Replica, State};
use crate::entry::Index;
use crate::error::ReadError;
use crate::identity::ReplicaId;
use crate::message::Body;
use crate::ready::ConfirmedRead;

/// Maximum number of members for which read rounds include learners: five voters and four standbys.
const MAX_MEMBERS_FOR_FULL_ROUNDS: usize = 9;

/// Origin of a read request.
#[derive(Clone, Copy, Debug)]
enum ReadOrigin {
    Local { context: u64 },
    Remote { id: ReplicaId, session: u64, context: u64 },
}

/// Read whose round of heartbeats isn't confirmed yet.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    origin: ReadOrigin,
    index: Index,
    round: u64,
}

/// Read forwarded to the leader for confirmation.
#[derive(Clone, Copy, Debug)]
struct ForwardedRead {
    context: u64,
    /// Tick of the request.
    requested_at: u64,
}

/// Reads that are not answered yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Reads {
    /// Random number that identifies this incarnation of the replica.
    session: u64,
    /// Reads that wait until the leader has committed an entry in its term.
    waiting: Vec<ReadOrigin>,
    /// Reads that wait for a round of heartbeats.
    pending: VecDeque<PendingRead>,
    /// Last round sent. Rounds never restart within an incarnation, and no term has two
    /// leaders, so replies are unambiguous.
    last_round_sent: u64,
    /// Last round confirmed by a quorum.
    last_round_confirmed: u64,
    /// Reads forwarded to the leader.
    forwarded: VecDeque<ForwardedRead>,
    /// Confirmed reads whose index isn't applied yet.
    unapplied: Vec<ConfirmedRead>,
    /// Contexts of abandoned reads.
    dropped: Vec<u64>,
}

impl Reads {
    pub(super) fn new(session: u64) -> Self {
        Reads { session, ..Reads::default() }
    }

    /// Read round included in heartbeats.
    pub(super) fn last_round_sent(&self) -> u64 {
        self.last_round_sent
    }

    fn count(&self) -> usize {
        self.waiting.len() + self.pending.len() + self.forwarded.len() + self.unapplied.len()
    }
}

impl Replica {
    pub(super) fn start_read(&mut self, context: u64) -> Result<(), ReadError> {
        if self.reads.count() >= self.config.max_pending_reads {
            return Err(ReadError::Overloaded);
        }
        let leader = self.leader.ok_or(ReadError::NoLeader)?;
        if self.is_leader() {
            self.start_read_as_leader(ReadOrigin::Local { context });
            return Ok(());
        }
        self.reads.forwarded.push_back(ForwardedRead { context, requested_at: self.now });
        let session = self.reads.session;
        self.send(leader, Body::ReadRequest { session, context });
        Ok(())
    }

    pub(super) fn on_read_request(&mut self, id: ReplicaId, session: u64, context: u64) {
        if self.is_leader() && self.reads.count() < self.config.max_pending_reads {
            self.start_read_as_leader(ReadOrigin::Remote { id, session, context });
        }
    }

    pub(super) fn on_read_reply(&mut self, session: u64, context: u64, index: Index) {
        if session != self.reads.session {
            return;
        }
        let found = self.reads.forwarded.iter().position(|read| read.context == context);
        if let Some(position) = found {
            self.reads.forwarded.remove(position);
            self.reads.unapplied.push(ConfirmedRead { context, index });
        }
    }

    /// Starts a read on the leader. Reads wait for the first commit of the term, because a
    /// new leader may not know the latest commit index of earlier terms.
    fn start_read_as_leader(&mut self, origin: ReadOrigin) {
        if !self.has_committed_in_term() {
            self.reads.waiting.push(origin);
            return;
        }
        let round = self.reads.last_round_sent + 1;
        self.reads.pending.push_back(PendingRead { origin, index: self.commit, round });
        self.start_round_if_idle();
    }

    pub(super) fn start_waiting_reads(&mut self) {
        for origin in mem::take(&mut self.reads.waiting) {
            self.start_read_as_leader(origin);
        }
    }

    /// Sends the next round unless one is in flight. Reads that arrive meanwhile share the next
    /// round.
    fn start_round_if_idle(&mut self) {
        let wanted =
            self.reads.pending.back().is_some_and(|read| read.round > self.reads.last_round_sent);
        if wanted && self.reads.last_round_confirmed == self.reads.last_round_sent {
            self.reads.last_round_sent += 1;
            self.send_heartbeats(&self.round_recipients());
            self.confirm_reads();
        }
    }

    /// Members that receive a read round. Learners' replies don't count, but the heartbeat
    /// conveys the commit index to them early. In large groups, learners are left out, because
    /// every member requests reads and the number of messages would be quadratic.
    fn round_recipients(&self) -> Vec<ReplicaId> {
        match self.log.membership().members.len() <= MAX_MEMBERS_FOR_FULL_ROUNDS {
            true => self.followers(),
            false => self.other_voters(),
        }
    }

    /// Finishes reads whose round is confirmed by a quorum.
    pub(super) fn confirm_reads(&mut self) {
        let State::Leader(leader_state) = &self.state else { return };
        let own = self.id();
        let membership = self.log.membership();
        let round_of = |id: ReplicaId| match id == own {
            true => self.reads.last_round_sent,
            false => leader_state.progress.get(&id).map_or(0, |progress| progress.read_round),
        };
        let confirmed = membership.reached_by_majority(round_of);
        if confirmed <= self.reads.last_round_confirmed {
            return;
        }
        self.reads.last_round_confirmed = confirmed;
        let done = self.reads.pending.partition_point(|read| read.round <= confirmed);
        for read in self.reads.pending.drain(..done).collect::<Vec<_>>() {
            self.finish_read(read);
        }
        self.start_round_if_idle();
    }

    fn finish_read(&mut self, read: PendingRead) {
        let index = read.index;
        match read.origin {
            ReadOrigin::Local { context } => {
                self.reads.unapplied.push(ConfirmedRead { context, index })
            }
            ReadOrigin::Remote { id, session, context } => {
                self.send(id, Body::ReadReply { session, context, index });
            }
        }
    }

    /// Takes the reads that may be answered and the contexts of abandoned reads.
    pub(super) fn finished_reads(&mut self) -> (Vec<ConfirmedRead>, Vec<u64>) {
        let applied = self.applied;
        let unapplied = mem::take(&mut self.reads.unapplied);
        let (ready, waiting) = unapplied.into_iter().partition(|read| read.index <= applied);
        self.reads.unapplied = waiting;
        (ready, mem::take(&mut self.reads.dropped))
    }

    /// Abandons every unconfirmed read after a change of leader.
    pub(super) fn drop_all_reads(&mut self) {
        let reads = &mut self.reads;
        let pending = reads.pending.drain(..).map(|read| read.origin);
        for origin in reads.waiting.drain(..).chain(pending) {
            if let ReadOrigin::Local { context } = origin {
                reads.dropped.push(context);
            }
        }
        reads.dropped.extend(reads.forwarded.drain(..).map(|read| read.context));
        reads.last_round_confirmed = reads.last_round_sent;
    }

    /// Abandons forwarded reads without a reply within two election timeouts.
    pub(super) fn drop_overdue_reads(&mut self) {
        let oldest = self.now.saturating_sub(2 * self.config.election_ticks);
        let reads = &mut self.reads;
        let overdue = reads.forwarded.partition_point(|read| read.requested_at < oldest);
        reads.dropped.extend(reads.forwarded.drain(..overdue).map(|read| read.context));
    }
}

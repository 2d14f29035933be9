//! The replica: its state, and the calls that its driver makes.

mod election;
mod follower;
mod leader;
mod maintain;
mod output;
mod read;
mod snapshot;
mod step;

use std::collections::BTreeMap;

use juniper_types::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::config::ReplicaConfig;
use crate::entry::{HardState, Index, Payload, Restored, Term};
use crate::error::{MembersError, ProposeError, TransferError};
use crate::identity::ReplicaId;
use crate::log::Log;
use crate::membership::MembershipChange;
use crate::progress::Progress;
use crate::ready::{Proposal, Ready, Role, Status, StopReason};

use election::Ballot;
use output::Output;
use read::Reads;
use snapshot::IncomingSnapshot;

/// Shortest time from a start to an election, in ticks: connections are made first.
const FIRST_ELECTION_TICKS: u64 = 3;

/// What a replica does, with the state that only this part needs.
#[derive(Clone, Debug)]
enum State {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Leadership),
    Stopped(StopReason),
}

/// State of a leader.
#[derive(Clone, Debug)]
struct Leadership {
    /// What is known of every other member.
    progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of this term; nothing older commits by counting.
    first_index: Index,
    /// Ticks until the next heartbeat.
    until_heartbeat: u64,
    /// Tick at which a quorum must have been heard from again.
    quorum_check_due: u64,
    /// The replica that leadership goes to, and the tick at which that is given up.
    transfer: Option<(ReplicaId, u64)>,
    /// Approximate bytes of entries that are not committed yet.
    uncommitted_bytes: usize,
    /// Voters that are about to stop, with the tick until which that counts.
    retiring: BTreeMap<ReplicaId, u64>,
}

/// A replica of the log. See the crate's documentation for how to drive it.
#[derive(Clone, Debug)]
pub struct Replica {
    config: ReplicaConfig,
    random: ChaCha8Rng,
    /// Ticks since the start.
    now: u64,
    hard_state: HardState,
    log: Log,
    state: State,
    /// The leader of the current term, if known.
    leader: Option<ReplicaId>,
    /// Tick at which the leader was last heard from.
    heard_leader: u64,
    /// Tick at which silence leads to an election.
    election_due: u64,
    /// Tick of the next request to join, if the replica has to ask.
    join_due: u64,
    /// A peer said that this replica isn't a member.
    told_not_member: bool,
    commit: Index,
    applied: Index,
    reads: Reads,
    incoming: Option<IncomingSnapshot>,
    output: Output,
}

impl Replica {
    /// A replica that starts from what its storage kept.
    ///
    /// `seed` must be random and differ between lives of the replica: it spreads
    /// elections out and tells answers to an earlier life apart.
    pub fn new(config: ReplicaConfig, restored: Restored, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let installed = restored.snapshot.clone();
        let hard_state = restored.hard_state;
        let log = Log::restore(restored);
        let snapshot_index = log.snapshot_position().index;
        let commit = hard_state.commit.clamp(snapshot_index, log.last().index);
        let mut replica = Replica {
            reads: Reads::new(random.random()),
            config,
            random,
            now: 0,
            hard_state,
            log,
            state: State::Follower,
            leader: None,
            heard_leader: 0,
            election_due: 0,
            join_due: 0,
            told_not_member: false,
            commit,
            applied: snapshot_index,
            incoming: None,
            output: Output::starting_from(installed),
        };
        replica.schedule_first_election();
        replica
    }

    /// One tick of the driver's clock has passed.
    pub fn tick(&mut self) {
        self.now += 1;
        match &self.state {
            State::Stopped(_) => return,
            State::Leader(_) => self.tick_leader(),
            _ => self.tick_follower(),
        }
        self.drop_overdue_reads();
    }

    /// Appends a command for the state machine if this replica leads.
    ///
    /// # Errors
    /// Nothing has been recorded when it fails.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<Proposal, ProposeError> {
        let limit = self.config.max_command_bytes;
        if data.len() > limit {
            return Err(ProposeError::TooLarge { limit });
        }
        self.propose_payload(Payload::Data(data))
    }

    /// Appends a change of the membership if this replica leads and the change is safe.
    ///
    /// # Errors
    /// Nothing has been recorded when it fails.
    pub fn propose_members(&mut self, change: &MembershipChange) -> Result<Proposal, MembersError> {
        self.change_members(change)
    }

    /// Asks for a linearizable read; it comes back in [`Ready::reads`] or
    /// [`Ready::dropped_reads`]. A lost message can leave a follower's read
    /// unanswered for two election timeouts, after which it is dropped.
    ///
    /// # Errors
    /// Fails when no leader is known or too many reads wait.
    pub fn read(&mut self, context: u64) -> Result<(), crate::error::ReadError> {
        self.start_read(context)
    }

    /// Hands leadership to the voter on `node`, as soon as its log is complete.
    ///
    /// # Errors
    /// Fails when this replica doesn't lead or `node` has no other voter.
    pub fn transfer_leadership(&mut self, node: NodeId) -> Result<(), TransferError> {
        self.start_transfer(node)
    }

    /// Lets a snapshot of the state machine as of the applied entry `index` stand for
    /// the log up to there.
    ///
    /// # Errors
    /// Fails when `index` isn't applied or a later snapshot stands already.
    pub fn compact(
        &mut self,
        index: Index,
        data: Vec<u8>,
    ) -> Result<(), crate::error::CompactError> {
        self.take_snapshot(index, data)
    }

    /// Asks the leader to put a standby in this replica's place, because it is
    /// about to stop. Without a standby nothing happens. Returns whether this
    /// replica still votes.
    pub fn retire(&mut self) -> bool {
        if let Some(leader) = self.leader.filter(|leader| *leader != self.id()) {
            self.send(leader, crate::message::Body::Retire);
        }
        self.log.membership().is_voter(self.id())
    }

    /// Where the replica stands.
    pub fn status(&self) -> Status {
        Status {
            id: self.config.id,
            role: self.role(),
            epoch: self.hard_state.epoch,
            term: self.hard_state.term,
            leader: self.leader,
            commit: self.commit,
            applied: self.applied,
            last: self.log.last(),
            snapshot: self.log.snapshot_position(),
            membership: self.log.membership().clone(),
            stopped: self.stop_reason(),
        }
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// Members that this leader has heard from within an election timeout, itself
    /// included; empty on other replicas.
    pub fn active_members(&self) -> Vec<ReplicaId> {
        match &self.state {
            State::Leader(leadership) => self.active_in(leadership),
            _ => Vec::new(),
        }
    }

    fn role(&self) -> Role {
        match &self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
            State::Stopped(_) => Role::Stopped,
        }
    }

    /// Why this replica has stopped for good, if it has.
    pub fn stop_reason(&self) -> Option<StopReason> {
        match &self.state {
            State::Stopped(reason) => Some(*reason),
            _ => None,
        }
    }

    fn stop(&mut self, reason: StopReason) {
        self.drop_all_reads();
        self.leader = None;
        self.state = State::Stopped(reason);
        self.output.discard();
    }

    fn id(&self) -> ReplicaId {
        self.config.id
    }

    fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Draws the time of the election after a start. It is sooner than later ones:
    /// when all replicas have started at once, nobody leads. A leader that is there
    /// isn't disturbed, because those that hear it grant no pre-vote.
    fn schedule_first_election(&mut self) {
        let latest = self.config.election_ticks / 2;
        self.election_due = FIRST_ELECTION_TICKS + self.random.random_range(0..latest.max(1));
    }

    /// Draws the time of the next election from one to two timeouts from now, so
    /// that two replicas seldom campaign at once.
    fn schedule_election(&mut self) {
        let timeout = self.config.election_ticks;
        self.election_due = self.now + timeout + self.random.random_range(0..timeout.max(1));
    }
}

impl Replica {
    /// What to do next. The driver calls it after every other call, until it is empty.
    pub fn ready(&mut self) -> Ready {
        self.take_ready()
    }

    /// The write with this number is on disk and synced.
    pub fn persisted(&mut self, number: u64) {
        self.finish_write(number);
    }
}

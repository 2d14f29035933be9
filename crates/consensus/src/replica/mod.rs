//! State of a replica and the calls made by its driver.

mod election;
mod follower;
mod leader;
mod membership;
mod output;
mod read;
mod snapshot;
mod step;

use std::collections::BTreeMap;

use juniper_types::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::config::ReplicaConfig;
use crate::entry::{HardState, Index, Payload, RestoredState, Term};
use crate::error::{MembershipChangeError, ProposeError, TransferError};
use crate::identity::ReplicaId;
use crate::log::Log;
use crate::membership::MembershipChange;
use crate::progress::Progress;
use crate::ready::{Proposal, Ready, Role, Status, StopReason};

use election::Ballot;
use output::Output;
use read::Reads;
use snapshot::IncomingSnapshot;

/// Minimum number of ticks from start to an election, to allow for connection setup.
const FIRST_ELECTION_TICKS: u64 = 3;

/// Failed campaigns that occur by chance, when replicas campaign at the same time.
const USUAL_CAMPAIGNS: u64 = 2;

/// Maximum number of doublings of the election timeout.
const MAX_DOUBLINGS: u64 = 4;

/// Role of a replica with its role-specific state.
#[derive(Clone, Debug)]
enum State {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(LeaderState),
    Stopped(StopReason),
}

/// Role-specific state of a leader.
#[derive(Clone, Debug)]
struct LeaderState {
    /// Replication progress of every other member.
    progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of this term. Older entries commit only along with this one.
    first_index: Index,
    /// Ticks until the next heartbeat.
    until_heartbeat: u64,
    /// Tick of the next check for recent contact with a quorum.
    quorum_check_due: u64,
    /// Target of a leadership transfer, and the tick at which the transfer is aborted.
    transfer: Option<(ReplicaId, u64)>,
    /// Approximate size of the uncommitted entries, in bytes.
    uncommitted_bytes: usize,
    /// Replicas that announced their shutdown, with the tick at which the announcement expires.
    retiring: BTreeMap<ReplicaId, u64>,
}

/// Replica of the log. The crate documentation describes the calls expected from the driver.
#[derive(Clone, Debug)]
pub struct Replica {
    config: ReplicaConfig,
    random: ChaCha8Rng,
    /// Ticks since the start.
    now: u64,
    hard_state: HardState,
    log: Log,
    state: State,
    /// Leader of the current term, if known.
    leader: Option<ReplicaId>,
    /// Latest term in which a leader was known; at first, the term of the start.
    latest_led_term: Term,
    /// Tick of the last message from the leader.
    last_leader_contact: u64,
    /// Tick of the next election unless the leader makes contact before.
    election_due: u64,
    /// Tick of the next join request, if one is needed.
    join_due: u64,
    /// Whether a peer reported that this replica isn't a member.
    reported_as_non_member: bool,
    commit: Index,
    applied: Index,
    reads: Reads,
    incoming: Option<IncomingSnapshot>,
    output: Output,
}

impl Replica {
    /// Creates a replica from its persistent state.
    ///
    /// `seed` must be random and differ between incarnations of the replica. It randomizes
    /// election timeouts and identifies replies to an earlier incarnation.
    pub fn new(config: ReplicaConfig, restored: RestoredState, seed: u64) -> Self {
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
            latest_led_term: hard_state.term,
            last_leader_contact: 0,
            election_due: 0,
            join_due: 0,
            reported_as_non_member: false,
            commit,
            applied: snapshot_index,
            incoming: None,
            output: Output::with_installed(installed),
        };
        replica.schedule_first_election();
        replica
    }

    /// Advances the replica's time by one tick.
    pub fn tick(&mut self) {
        self.now += 1;
        match &self.state {
            State::Stopped(_) => return,
            State::Leader(_) => self.tick_leader(),
            _ => self.tick_follower(),
        }
        self.drop_overdue_reads();
    }

    /// Appends a command for the state machine.
    ///
    /// # Errors
    /// Fails if this replica can't accept the command; nothing is appended.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<Proposal, ProposeError> {
        let limit = self.config.max_command_bytes;
        if data.len() > limit {
            return Err(ProposeError::TooLarge { limit });
        }
        self.propose_payload(Payload::Data(data))
    }

    /// Appends a membership change.
    ///
    /// # Errors
    /// Fails if this replica isn't the leader or the change isn't safe; nothing is appended.
    pub fn propose_membership_change(
        &mut self,
        change: &MembershipChange,
    ) -> Result<Proposal, MembershipChangeError> {
        self.change_members(change)
    }

    /// Requests a linearizable read. The result appears in [`Ready::reads`] or
    /// [`Ready::dropped_reads`]. If a message is lost, a follower's read is dropped after
    /// two election timeouts.
    ///
    /// # Errors
    /// Fails if no leader is known or too many reads are unanswered.
    pub fn read(&mut self, context: u64) -> Result<(), crate::error::ReadError> {
        self.start_read(context)
    }

    /// Transfers leadership to the voter on `node` once that voter's log is complete.
    ///
    /// # Errors
    /// Fails if this replica isn't the leader or `node` runs no other voter.
    pub fn transfer_leadership(&mut self, node: NodeId) -> Result<(), TransferError> {
        self.start_transfer(node)
    }

    /// Replaces the log up to the applied entry `index` by a snapshot of the state machine.
    ///
    /// # Errors
    /// Fails if `index` isn't applied or the latest snapshot covers it already.
    pub fn compact(
        &mut self,
        index: Index,
        data: Vec<u8>,
    ) -> Result<(), crate::error::CompactError> {
        self.take_snapshot(index, data)
    }

    /// Announces to the leader that this replica is about to stop, so that a standby, if
    /// available, replaces it. Returns whether this replica is still a voter.
    pub fn retire(&mut self) -> bool {
        if let Some(leader) = self.leader.filter(|leader| *leader != self.id()) {
            self.send(leader, crate::message::Body::Retire);
        }
        self.log.membership().is_voter(self.id())
    }

    /// Current status of the replica.
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

    /// Whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// Members in contact with this leader within the last election timeout, including
    /// the leader. Empty on other replicas.
    pub fn active_members(&self) -> Vec<ReplicaId> {
        match &self.state {
            State::Leader(leader_state) => self.recently_active(leader_state),
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

    /// Reason for a permanent stop, if this replica has stopped.
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

    /// Schedules the first election after a start, with a short timeout because there is
    /// no leader if all replicas have started together. An active leader isn't disturbed:
    /// replicas in contact with the leader grant no pre-vote.
    fn schedule_first_election(&mut self) {
        let latest = self.config.election_ticks / 2;
        self.election_due = FIRST_ELECTION_TICKS + self.random.random_range(0..latest.max(1));
    }

    /// Number of terms since the latest one with a leader.
    fn failed_campaigns(&self) -> u64 {
        self.term().saturating_sub(self.latest_led_term)
    }

    /// Schedules the next election after a random delay of one to two election timeouts,
    /// so that replicas rarely campaign at the same time.
    ///
    /// The timeout doubles with each further term without a leader, as when the disks take
    /// longer to write the votes than an election timeout.
    fn schedule_election(&mut self) {
        let doublings = self.failed_campaigns().saturating_sub(USUAL_CAMPAIGNS).min(MAX_DOUBLINGS);
        let timeout = self.config.election_ticks << doublings;
        self.election_due = self.now + timeout + self.random.random_range(0..timeout.max(1));
    }
}

impl Replica {
    /// Returns pending work. The driver calls this after every other call, until the result
    /// is empty.
    pub fn ready(&mut self) -> Ready {
        self.take_ready()
    }

    /// Records that the write with this number is synced to disk.
    pub fn persisted(&mut self, number: u64) {
        self.finish_write(number);
    }
}

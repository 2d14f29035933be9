//! Settings of a replica, with durations in ticks of the driver's clock.

use juniper_types::{NodeId, ZoneName};

use crate::identity::ReplicaId;

/// Settings of a replica.
///
/// The defaults assume a tick of 50 ms: a heartbeat every 100 ms and an election after
/// 0.5 to 1 s without contact to a leader. This tolerates delays of many round trips
/// between zones and replaces a crashed leader within 2 s.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Identity of this replica, with `disk` read from the data folder.
    pub id: ReplicaId,
    /// Zone of this replica.
    pub zone: ZoneName,
    /// Nodes that may run replicas. A replica that isn't a member sends them join requests.
    pub peers: Vec<NodeId>,
    /// Whether any node may join. The driver must then authenticate senders.
    pub admits_any_node: bool,
    /// Whether standbys replace live voters to spread the voters over zones.
    pub spreads_zones: bool,
    /// Number of voters that the leader maintains by promoting learners: 3 or 5.
    pub target_voters: usize,
    /// Ticks between heartbeats.
    pub heartbeat_ticks: u64,
    /// Minimum election timeout, in ticks. The randomized timeout is less than twice as long.
    pub election_ticks: u64,
    /// Ticks without contact after which a voter is considered lost and replaced by a standby.
    pub lost_voter_ticks: u64,
    /// Ticks without contact after which a learner is removed.
    pub lost_learner_ticks: u64,
    /// Maximum size of the entries in one message, in bytes.
    pub max_append_bytes: usize,
    /// Maximum size of a snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Maximum size of a snapshot accepted from a peer, in bytes.
    pub max_snapshot_bytes: u64,
    /// Maximum number of entries sent to a follower and not yet acknowledged.
    pub max_in_flight_entries: u64,
    /// Maximum size of uncommitted entries before proposals are rejected, in bytes.
    pub max_uncommitted_bytes: usize,
    /// Maximum size of a command, in bytes.
    pub max_command_bytes: usize,
    /// Number of entries covered by the snapshot that stay in memory for lagging followers.
    pub retained_entries: usize,
    /// Maximum number of unanswered reads.
    pub max_pending_reads: usize,
}

impl ReplicaConfig {
    /// Default settings for a replica.
    pub fn new(id: ReplicaId, zone: ZoneName, peers: Vec<NodeId>) -> Self {
        ReplicaConfig {
            id,
            zone,
            peers,
            admits_any_node: false,
            spreads_zones: true,
            target_voters: 3,
            heartbeat_ticks: 2,
            election_ticks: 10,
            lost_voter_ticks: 600,
            lost_learner_ticks: 72_000,
            max_append_bytes: 1 << 20,
            snapshot_chunk_bytes: 256 << 10,
            max_snapshot_bytes: 1 << 30,
            max_in_flight_entries: 4_096,
            max_uncommitted_bytes: 16 << 20,
            max_command_bytes: 4 << 20,
            retained_entries: 4_096,
            max_pending_reads: 16_384,
        }
    }
}

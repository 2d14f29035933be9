//! Settings of a replica, counted in ticks of the driver's clock.

use juniper_types::{NodeId, ZoneName};

use crate::identity::ReplicaId;

/// Settings of one replica.
///
/// Times are in ticks. The defaults assume a tick of 50 ms, which gives a
/// heartbeat every 100 ms and an election after 0.5 to 1 s of silence. One-way
/// latency between zones is somewhat over 1 ms, so that a heartbeat can be late
/// by many round trips before an election starts, and a dead leader is still
/// replaced well within 2 s.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This replica; `disk` comes from its data folder.
    pub id: ReplicaId,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Nodes that may hold replicas; a replica that isn't a member asks them to let it join.
    pub peers: Vec<NodeId>,
    /// Whether any node may join. Who may speak at all is then up to the driver.
    pub admits_any_node: bool,
    /// Whether standbys replace voters only to spread them over zones.
    pub spreads_zones: bool,
    /// Voters that the leader keeps up, from the learners it has: 3 or 5.
    pub target_voters: usize,
    /// Ticks between heartbeats.
    pub heartbeat_ticks: u64,
    /// Shortest silence before an election, in ticks. The longest is just under twice as much.
    pub election_ticks: u64,
    /// Silence after which a voter counts as lost and a standby takes its place, in ticks.
    pub lost_voter_ticks: u64,
    /// Silence after which a learner is taken out, in ticks.
    pub lost_learner_ticks: u64,
    /// Most bytes of entries in one message.
    pub max_append_bytes: usize,
    /// Most bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Largest snapshot taken from a peer, in bytes.
    pub max_snapshot_bytes: u64,
    /// Most entries sent ahead of a follower's answers.
    pub max_in_flight_entries: u64,
    /// Most bytes of entries proposed and not yet committed.
    pub max_uncommitted_bytes: usize,
    /// Largest command, in bytes.
    pub max_command_bytes: usize,
    /// Entries kept in memory behind a snapshot, for followers that are a little behind.
    pub keep_entries: usize,
    /// Most reads waiting for confirmation.
    pub max_pending_reads: usize,
}

impl ReplicaConfig {
    /// The default settings for a replica.
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
            keep_entries: 4_096,
            max_pending_reads: 16_384,
        }
    }
}

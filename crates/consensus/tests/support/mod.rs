//! In-memory cluster with instant message delivery and disk writes, partitions and restarts.

// Each test program uses only a part of this module.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use juniper_consensus::{
    ClusterEpoch, DiskIdentity, Entry, HardState, Membership, Message, Payload, Replica,
    ReplicaConfig, ReplicaId, RestoredState, Write,
};
use juniper_types::{NodeId, ZoneName};

/// Ticks within which a connected quorum elects a leader.
pub const ELECTION_TICKS: u64 = 60;

/// Limit on delivered messages, to detect endless exchanges between replicas.
const MAX_MESSAGES: usize = 100_000;

/// Node with a replica, its disk, and the applied commands and read results.
pub struct Node {
    pub replica: Replica,
    pub disk: RestoredState,
    pub applied: Vec<Vec<u8>>,
    pub reads: Vec<u64>,
    pub dropped_reads: Vec<u64>,
    pub pending_write: Option<Write>,
    /// Tick at which the pending write is done, if writes take time.
    write_due: u64,
}

/// Nodes and the messages in flight between them.
pub struct Cluster {
    pub nodes: BTreeMap<u64, Node>,
    /// Nodes whose messages are dropped in both directions.
    pub partitioned: BTreeSet<u64>,
    /// Nodes whose disk writes don't finish.
    pub stalled_disks: BTreeSet<u64>,
    /// Ticks that a disk write takes.
    pub write_ticks: u64,
    now: u64,
    /// All delivered messages.
    pub delivered: Vec<Message>,
    /// Peers known to started nodes. If set, any node may join.
    pub seeds: Option<Vec<NodeId>>,
    messages: VecDeque<Message>,
    seed: u64,
}

pub fn id(node: u64, disk: u128) -> ReplicaId {
    ReplicaId { node: NodeId(node), disk: DiskIdentity::from_random(disk) }
}

pub fn zone(node: u64) -> ZoneName {
    ZoneName::new(format!("zone-{}", node % 3)).unwrap()
}

pub fn config(id: ReplicaId) -> ReplicaConfig {
    let peers = (1..=5).map(NodeId).collect();
    let mut config = ReplicaConfig::new(id, zone(id.node.0), peers);
    (config.lost_voter_ticks, config.retained_entries, config.snapshot_chunk_bytes) = (100, 2, 16);
    config
}

/// Initial disk content of a voter in a new cluster.
pub fn initial_disk(membership: &Membership) -> RestoredState {
    let hard_state = HardState { epoch: membership.epoch, term: 1, vote: None, commit: 1 };
    let payload = Payload::Membership(membership.clone());
    RestoredState {
        hard_state,
        snapshot: None,
        entries: vec![Entry { term: 1, index: 1, payload }],
    }
}

impl Cluster {
    pub fn of_voters(count: u64) -> Self {
        Self::with_seeds(count, None)
    }

    /// Cluster of `count` voters that admits any node if `seeds` are given.
    pub fn with_seeds(count: u64, seeds: Option<Vec<NodeId>>) -> Self {
        let voters = (1..=count).map(|node| (id(node, u128::from(node)), zone(node)));
        let membership = Membership::of_voters(ClusterEpoch::first(7), voters);
        let mut cluster = Cluster {
            nodes: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            stalled_disks: BTreeSet::new(),
            write_ticks: 0,
            now: 0,
            delivered: Vec::new(),
            seeds,
            messages: VecDeque::new(),
            seed: 0,
        };
        (1..=count)
            .for_each(|node| cluster.start(id(node, node.into()), initial_disk(&membership)));
        cluster
    }

    pub fn start(&mut self, id: ReplicaId, disk: RestoredState) {
        self.seed += 1;
        let mut config = config(id);
        if let Some(seeds) = &self.seeds {
            (config.admits_any_node, config.spreads_zones) = (true, false);
            config.peers = seeds.clone();
        }
        let replica = Replica::new(config, disk.clone(), self.seed);
        let (applied, reads, dropped_reads) = Default::default();
        let (pending_write, write_due) = (None, 0);
        let node = Node { replica, disk, applied, reads, dropped_reads, pending_write, write_due };
        self.nodes.insert(id.node.0, node);
    }

    /// Starts all replicas again with other random numbers.
    pub fn restart_with_seed(&mut self, seed: u64) {
        self.seed = seed * 1_000;
        let disks: Vec<_> = self.nodes.values().map(|node| node.disk.clone()).collect();
        for (disk, node) in disks.into_iter().zip(1..) {
            self.start(id(node, node.into()), disk);
        }
    }

    pub fn node(&mut self, node: u64) -> &mut Node {
        self.nodes.get_mut(&node).unwrap()
    }

    pub fn tick(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += 1;
            self.nodes.values_mut().for_each(|node| node.replica.tick());
            self.run_until_idle();
        }
    }

    /// Processes pending work and messages of all nodes until none is left.
    pub fn run_until_idle(&mut self) {
        loop {
            self.process_ready();
            let Some(message) = self.messages.pop_front() else { return };
            let (from, to) = (message.from.node.0, message.to.0);
            if self.partitioned.contains(&from) || self.partitioned.contains(&to) {
                continue;
            }
            self.delivered.push(message.clone());
            assert!(self.delivered.len() < MAX_MESSAGES, "too many messages were delivered");
            if let Some(node) = self.nodes.get_mut(&to) {
                node.replica.step(message);
            }
        }
    }

    fn process_ready(&mut self) {
        for (number, node) in &mut self.nodes {
            let disk_stalled = self.stalled_disks.contains(number);
            let (now, done) = (self.now, self.now + self.write_ticks);
            while node.process_ready(&mut self.messages, disk_stalled, now, done) {}
        }
    }

    pub fn leader(&mut self) -> u64 {
        let leads = |(number, node): (&u64, &Node)| node.replica.is_leader().then_some(*number);
        let leaders: Vec<u64> = self.nodes.iter().filter_map(leads).collect();
        *leaders
            .iter()
            .find(|leader| !self.partitioned.contains(leader))
            .expect("a connected leader")
    }

    /// Runs the cluster for the time of an election and returns the leader.
    pub fn elect(&mut self) -> u64 {
        self.tick(ELECTION_TICKS);
        self.leader()
    }

    pub fn propose(&mut self, node: u64, data: &[u8]) {
        self.node(node).replica.propose(data.to_vec()).expect("the proposal was rejected");
        self.run_until_idle();
    }
}

impl Node {
    /// Processes the replica's pending work once. Returns whether there was any.
    fn process_ready(
        &mut self,
        messages: &mut VecDeque<Message>,
        disk_stalled: bool,
        now: u64,
        done: u64,
    ) -> bool {
        let ready = self.replica.ready();
        let had_work = !ready.is_empty();
        messages.extend(ready.messages);
        if let Some(snapshot) = ready.installed {
            self.applied = vec![snapshot.data.to_vec()];
        }
        self.applied.extend(ready.committed.into_iter().filter_map(|entry| match entry.payload {
            Payload::Data(data) => Some(data),
            _ => None,
        }));
        self.reads.extend(ready.reads.iter().map(|read| read.context));
        self.dropped_reads.extend(ready.dropped_reads);
        if ready.write.is_some() {
            (self.pending_write, self.write_due) = (ready.write, done);
        }
        let is_written = !disk_stalled && now >= self.write_due;
        if is_written && let Some(write) = self.pending_write.take() {
            apply_write(&mut self.disk, &write);
            self.replica.persisted(write.number);
            return true;
        }
        had_work
    }
}

/// Applies a write to the disk content.
fn apply_write(disk: &mut RestoredState, write: &Write) {
    disk.hard_state = write.hard_state.unwrap_or(disk.hard_state);
    if let Some(snapshot) = &write.snapshot {
        let end = snapshot.meta.position;
        let agrees = disk.entries.iter().any(|entry| entry.position() == end);
        disk.entries.retain(|entry| agrees && entry.index > end.index);
        disk.snapshot = Some(snapshot.clone());
    }
    if let Some(first) = write.entries.first() {
        disk.entries.retain(|entry| entry.index < first.index);
        disk.entries.extend(write.entries.iter().cloned());
    }
}

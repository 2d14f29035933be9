//! End-to-end recovery from a lost quorum: storage, recovery plan and restarted replicas.

use std::collections::{BTreeMap, VecDeque};

use juniper_consensus::{
    ClusterEpoch, DiskIdentity, Membership, Message, Payload, Replica, ReplicaConfig, ReplicaId,
    StopReason,
};
use juniper_simulation::{Random, SimulatedDisk};
use juniper_storage::{Storage, apply, format, inspect, plan, wipe};
use juniper_types::{NodeId, ZoneName};

const VOTERS: u64 = 5;
const REJOIN_TICKS: u64 = 400;

struct Node {
    replica: Replica,
    storage: Storage<SimulatedDisk>,
    applied: Vec<Vec<u8>>,
}

#[derive(Default)]
struct Cluster {
    disks: BTreeMap<u64, SimulatedDisk>,
    nodes: BTreeMap<u64, Node>,
    messages: VecDeque<Message>,
    starts: u64,
}

fn replica_id(node: u64, disk: u128) -> ReplicaId {
    ReplicaId { node: NodeId(node), disk: DiskIdentity::from_random(disk) }
}

fn zone(node: u64) -> ZoneName {
    ZoneName::new(format!("zone-{}", node % 3)).unwrap()
}

impl Cluster {
    fn create() -> Self {
        let voters = (1..=VOTERS).map(|node| (replica_id(node, node.into()), zone(node)));
        let membership = Membership::of_voters(ClusterEpoch::first(3), voters);
        let mut cluster = Cluster::default();
        for node in 1..=VOTERS {
            let mut disk = SimulatedDisk::new(Random::new(node));
            format(&mut disk, replica_id(node, node.into()), Some(&membership)).unwrap();
            cluster.disks.insert(node, disk);
            cluster.start(node);
        }
        cluster
    }

    fn start(&mut self, node: u64) {
        let (storage, restored) = Storage::open(self.disks[&node].clone(), NodeId(node)).unwrap();
        let peers = (1..=VOTERS).map(NodeId).collect();
        let config = ReplicaConfig::new(storage.id(), zone(node), peers);
        self.starts += 1;
        let replica = Replica::new(config, restored, self.starts);
        self.nodes.insert(node, Node { replica, storage, applied: Vec::new() });
    }

    fn stop(&mut self, node: u64) {
        self.nodes.remove(&node);
        self.disks[&node].lose_power();
    }

    fn tick(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.nodes.values_mut().for_each(|node| node.replica.tick());
            self.deliver_messages();
        }
    }

    fn deliver_messages(&mut self) {
        loop {
            for node in self.nodes.values_mut() {
                node.process_ready(&mut self.messages);
            }
            let Some(message) = self.messages.pop_front() else { return };
            if let Some(node) = self.nodes.get_mut(&message.to.0) {
                node.replica.step(message);
            }
        }
    }

    fn propose(&mut self, data: u8) {
        let leader = self.nodes.values_mut().find(|node| node.replica.is_leader());
        leader.expect("the cluster has no leader").replica.propose(vec![data]).unwrap();
        self.deliver_messages();
    }

    fn replica(&self, node: u64) -> &Replica {
        &self.nodes[&node].replica
    }
}

impl Node {
    fn process_ready(&mut self, messages: &mut VecDeque<Message>) {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                return;
            }
            if let Some(write) = ready.write {
                self.storage.save(&write).unwrap();
                self.replica.persisted(write.number);
            }
            messages.extend(ready.messages);
            self.applied.extend(ready.committed.into_iter().filter_map(
                |entry| match entry.payload {
                    Payload::Data(data) => Some(data),
                    _ => None,
                },
            ));
        }
    }
}

#[test]
fn recovery_continues_from_the_latest_survivor_and_fences_all_other_disks() {
    let mut cluster = Cluster::create();
    cluster.tick(60);
    cluster.propose(1);
    cluster.stop(5);
    cluster.propose(2);
    let committed_before: Vec<Vec<u8>> = vec![vec![1], vec![2]];
    // Three of five voters are lost; node 1 later returns with its old disk.
    (1..=4).for_each(|node| cluster.stop(node));

    let survivors = [4, 5].map(|node| inspect(&mut cluster.disks[&node].clone()).unwrap());
    let recovery = plan(survivors.to_vec(), 99).unwrap();
    assert_eq!(recovery.chosen.id, replica_id(4, 4), "node 5 missed the last change");
    assert_eq!(recovery.discarded[0].id, replica_id(5, 5));
    assert_eq!((recovery.missing_voters.len(), recovery.is_complete), (3, false));
    apply(cluster.disks[&4].clone(), &recovery).unwrap();

    cluster.start(4);
    cluster.tick(60);
    cluster.propose(3);
    for excluded in [5, 1] {
        cluster.start(excluded);
        cluster.tick(REJOIN_TICKS);
        let reason = cluster.replica(excluded).stop_reason();
        assert_eq!(reason, Some(StopReason::Fenced), "node {excluded}");
        assert!(cluster.replica(4).is_leader());
        cluster.stop(excluded);
        wipe(&mut cluster.disks[&excluded].clone()).unwrap();
        let new = replica_id(excluded, 100 + u128::from(excluded));
        format(&mut cluster.disks[&excluded].clone(), new, None).unwrap();
        cluster.start(excluded);
    }
    cluster.tick(REJOIN_TICKS);
    cluster.propose(4);
    let membership = cluster.replica(4).status().membership;
    assert_eq!(membership.voters().count(), 3, "{membership:?}");
    let expected = [committed_before, vec![vec![3], vec![4]]].concat();
    assert!([1, 4, 5].iter().all(|node| cluster.nodes[node].applied == expected));
}

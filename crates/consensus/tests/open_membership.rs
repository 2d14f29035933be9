//! Clusters that any node may join: joins, replacement of stopping voters, and elections
//! after a start.

mod support;

use juniper_consensus::RestoredState;
use juniper_types::NodeId;
use support::{Cluster, ELECTION_TICKS, id};

/// Ticks within which a lost voter is replaced.
const REPLACEMENT_TICKS: u64 = 400;

/// Node that is not an initial member.
const NEWCOMER: u64 = 9;

fn follower(cluster: &mut Cluster) -> u64 {
    let leader = cluster.leader();
    cluster.nodes.keys().copied().find(|node| *node != leader).unwrap()
}

fn voters(cluster: &mut Cluster) -> Vec<u64> {
    let leader = cluster.leader();
    let membership = cluster.node(leader).replica.status().membership;
    membership.voters().map(|member| member.id.node.0).collect()
}

/// Cluster of three voters that admits any node.
fn open_cluster() -> Cluster {
    Cluster::with_seeds(3, Some((1..=3).map(NodeId).collect()))
}

/// Cluster of three voters and a standby that has caught up.
fn with_standby() -> Cluster {
    let mut cluster = open_cluster();
    let leader = cluster.elect();
    cluster.propose(leader, b"one");
    cluster.start(id(NEWCOMER, 99), RestoredState::default());
    cluster.tick(ELECTION_TICKS);
    let newcomer = id(NEWCOMER, 99);
    assert!(cluster.node(leader).replica.status().membership.contains(newcomer));
    cluster
}

#[test]
fn a_follower_forwards_a_join_request_to_the_leader() {
    let mut cluster = open_cluster();
    let leader = cluster.elect();
    let follower = follower(&mut cluster);
    cluster.seeds = Some(vec![NodeId(follower)]);
    cluster.start(id(NEWCOMER, 99), RestoredState::default());
    cluster.tick(ELECTION_TICKS);
    let membership = cluster.node(leader).replica.status().membership;
    assert!(membership.contains(id(NEWCOMER, 99)), "{membership:?}");
}

#[test]
fn an_unlisted_node_cannot_join_a_closed_cluster() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    cluster.start(id(NEWCOMER, 99), RestoredState::default());
    cluster.tick(ELECTION_TICKS);
    assert_eq!(cluster.node(leader).replica.status().membership.members.len(), 3);
}

#[test]
fn a_standby_replaces_a_retiring_voter() {
    let mut cluster = with_standby();
    let leaving = follower(&mut cluster);
    cluster.node(leaving).replica.retire();
    cluster.tick(ELECTION_TICKS);
    let voters = voters(&mut cluster);
    assert_eq!(voters.len(), 3, "{voters:?}");
    assert!(voters.contains(&NEWCOMER) && !voters.contains(&leaving), "{voters:?}");
    // The cluster tolerates the loss of another voter immediately after that.
    cluster.partitioned.insert(leaving);
    let lost = voters.iter().copied().find(|node| *node != NEWCOMER).unwrap();
    cluster.partitioned.insert(lost);
    cluster.tick(ELECTION_TICKS);
    let leader = cluster.leader();
    cluster.propose(leader, b"two");
    assert_eq!(cluster.node(NEWCOMER).applied, [b"one", b"two"]);
}

#[test]
fn a_retiring_voter_keeps_its_vote_without_a_standby() {
    let mut cluster = open_cluster();
    cluster.elect();
    let leaving = follower(&mut cluster);
    assert!(cluster.node(leaving).replica.retire(), "the retiring replica is no longer a voter");
    cluster.tick(ELECTION_TICKS);
    assert_eq!(voters(&mut cluster).len(), 3);
}

#[test]
fn a_standby_replaces_a_lost_voter() {
    let mut cluster = with_standby();
    let gone = follower(&mut cluster);
    cluster.partitioned.insert(gone);
    cluster.tick(REPLACEMENT_TICKS);
    let voters = voters(&mut cluster);
    assert!(voters.contains(&NEWCOMER) && !voters.contains(&gone), "{voters:?}");
}

/// Limits the time without a leader after a restart of the whole cluster.
#[test]
fn replicas_that_start_together_elect_a_leader_quickly() {
    for attempt in 0..20 {
        let mut cluster = Cluster::of_voters(3);
        cluster.seeds = None;
        for node in 1..=3 {
            let disk = cluster.node(node).disk.clone();
            cluster.start(id(node, node.into()), disk);
        }
        cluster.tick(12);
        let leads = cluster.nodes.values().filter(|node| node.replica.is_leader()).count();
        assert_eq!(leads, 1, "attempt {attempt}");
    }
}

#[test]
fn a_restarted_replica_does_not_depose_an_active_leader() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let term = cluster.node(leader).replica.status().term;
    let restarted = follower(&mut cluster);
    let disk = cluster.node(restarted).disk.clone();
    cluster.start(id(restarted, restarted.into()), disk);
    cluster.tick(ELECTION_TICKS);
    assert_eq!(cluster.leader(), leader);
    assert_eq!(cluster.node(leader).replica.status().term, term);
}

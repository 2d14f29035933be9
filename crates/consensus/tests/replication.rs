//! Elections, replication, reads and snapshots.

mod support;

use juniper_consensus::{Body, ProposeError, Role};
use support::{Cluster, ELECTION_TICKS};

fn restart(cluster: &mut Cluster, node: u64) {
    let (id, disk) = (cluster.node(node).replica.status().id, cluster.node(node).disk.clone());
    cluster.start(id, disk);
}

#[test]
fn one_leader_is_elected_and_replicates_commands() {
    for voters in [1, 3, 5] {
        let mut cluster = Cluster::of_voters(voters);
        let leader = cluster.elect();
        cluster.propose(leader, b"one");
        let leaders = cluster.nodes.values().filter(|node| node.replica.is_leader()).count();
        assert_eq!(leaders, 1);
        assert!(cluster.nodes.values().all(|node| node.applied == [b"one"]));
    }
}

#[test]
fn a_partitioned_leader_commits_nothing_and_steps_down() {
    let mut cluster = Cluster::of_voters(3);
    let old = cluster.elect();
    cluster.partitioned.insert(old);
    cluster.propose(old, b"lost");
    let new = cluster.elect();
    assert_ne!(new, old);
    assert!(!cluster.node(old).replica.is_leader());
    let rejected = cluster.node(old).replica.propose(b"x".to_vec());
    assert!(matches!(rejected, Err(ProposeError::NotLeader { leader: None })));
    cluster.propose(new, b"kept");
    cluster.partitioned.clear();
    cluster.tick(ELECTION_TICKS);
    assert!(cluster.nodes.values().all(|node| node.applied == [b"kept"]));
}

#[test]
fn a_replica_returning_from_a_partition_does_not_depose_the_leader() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let partitioned = cluster.nodes.keys().copied().find(|node| *node != leader).unwrap();
    let term = cluster.node(leader).replica.status().term;
    cluster.partitioned.insert(partitioned);
    cluster.tick(5 * ELECTION_TICKS);
    cluster.partitioned.clear();
    cluster.tick(ELECTION_TICKS);
    assert_eq!(cluster.leader(), leader);
    assert_eq!(cluster.node(partitioned).replica.status().term, term);
}

#[test]
fn votes_and_acknowledgements_wait_for_the_disk() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let followers: Vec<u64> = cluster.nodes.keys().copied().filter(|n| *n != leader).collect();
    cluster.stalled_disks.extend(&followers);
    cluster.delivered.clear();
    cluster.propose(leader, b"one");
    let acknowledged = |body: &Body| matches!(body, Body::AppendReply { .. });
    assert!(!cluster.delivered.iter().any(|message| acknowledged(&message.body)));
    assert!(cluster.node(leader).applied.is_empty());
    cluster.partitioned.insert(leader);
    cluster.tick(ELECTION_TICKS);
    let voted = |body: &Body| matches!(body, Body::VoteRequest { .. } | Body::VoteReply { .. });
    assert!(!cluster.delivered.iter().any(|message| voted(&message.body)));
    cluster.stalled_disks.clear();
    let new = cluster.elect();
    assert_eq!(cluster.node(new).applied, [b"one"]);
}

#[test]
fn the_leader_counts_its_own_entry_only_once_durable() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let followers: Vec<u64> = cluster.nodes.keys().copied().filter(|n| *n != leader).collect();
    cluster.partitioned.insert(followers[0]);
    cluster.stalled_disks.insert(leader);
    cluster.propose(leader, b"one");
    assert!(cluster.node(leader).applied.is_empty());
    cluster.stalled_disks.clear();
    cluster.run_until_idle();
    assert_eq!(cluster.node(leader).applied, [b"one"]);
}

#[test]
fn restarted_replicas_retain_committed_entries_and_their_term() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    cluster.propose(leader, b"one");
    let before = cluster.node(leader).disk.hard_state;
    (1..=3).for_each(|node| restart(&mut cluster, node));
    assert_eq!(cluster.node(leader).disk.hard_state, before);
    let new = cluster.elect();
    assert!(cluster.node(new).replica.status().term > before.term);
    cluster.propose(new, b"two");
    assert!(cluster.nodes.values().all(|node| node.applied == [&b"one"[..], b"two"]));
}

#[test]
fn reads_are_confirmed_on_all_replicas_and_dropped_without_a_quorum() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    for node in 1..=3 {
        cluster.node(node).replica.read(node).unwrap();
        cluster.run_until_idle();
        assert_eq!(cluster.node(node).reads, [node]);
    }
    cluster.partitioned.insert(leader);
    cluster.node(leader).replica.read(9).unwrap();
    cluster.tick(ELECTION_TICKS);
    assert_eq!(cluster.node(leader).dropped_reads, [9]);
    assert!(!cluster.node(leader).reads.contains(&9));
}

#[test]
fn a_lagging_replica_receives_the_snapshot_in_chunks() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let partitioned = cluster.nodes.keys().copied().find(|node| *node != leader).unwrap();
    cluster.partitioned.insert(partitioned);
    (0..20).for_each(|number| cluster.propose(leader, &[number]));
    let applied = cluster.node(leader).replica.status().applied;
    let state = vec![5; 100];
    cluster.node(leader).replica.compact(applied, state.clone()).unwrap();
    cluster.propose(leader, b"after");
    cluster.partitioned.clear();
    cluster.tick(ELECTION_TICKS);
    assert_eq!(cluster.node(partitioned).applied, [state, b"after".to_vec()]);
    restart(&mut cluster, partitioned);
    cluster.tick(ELECTION_TICKS);
    assert_eq!(cluster.node(partitioned).replica.status().snapshot.index, applied);
    assert_eq!(cluster.node(partitioned).applied.len(), 2);
}

#[test]
fn a_follower_that_lost_acknowledged_entries_causes_no_endless_retries() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let broken = cluster.nodes.keys().copied().find(|node| *node != leader).unwrap();
    let early = cluster.node(broken).disk.clone();
    (0..5).for_each(|number| cluster.propose(leader, &[number]));
    cluster.node(broken).disk = early;
    restart(&mut cluster, broken);
    cluster.propose(leader, b"after");
    cluster.delivered.clear();
    cluster.tick(ELECTION_TICKS);
    assert!(cluster.delivered.len() < 10 * ELECTION_TICKS as usize, "{}", cluster.delivered.len());
}

#[test]
fn leadership_is_transferred_without_an_election_timeout() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let target = cluster.nodes.keys().copied().find(|node| *node != leader).unwrap();
    let node = juniper_types::NodeId(target);
    cluster.node(leader).replica.transfer_leadership(node).unwrap();
    cluster.run_until_idle();
    assert_eq!(cluster.leader(), target);
    assert_eq!(cluster.node(leader).replica.status().role, Role::Follower);
}

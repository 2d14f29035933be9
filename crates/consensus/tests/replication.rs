//! Elections, replication, reads and snapshots.

mod support;

use juniper_consensus::{Body, ProposeError, Role};
use support::{Cluster, ELECTION};

fn restart(cluster: &mut Cluster, node: u64) {
    let (id, disk) = (cluster.node(node).replica.status().id, cluster.node(node).disk.clone());
    cluster.start(id, disk);
}

#[test]
fn one_leader_is_elected_and_its_command_reaches_every_replica() {
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
fn nothing_commits_without_a_quorum_and_a_cut_off_leader_steps_down() {
    let mut cluster = Cluster::of_voters(3);
    let old = cluster.elect();
    cluster.cut.insert(old);
    cluster.propose(old, b"lost");
    let new = cluster.elect();
    assert_ne!(new, old);
    assert!(!cluster.node(old).replica.is_leader());
    let refused = cluster.node(old).replica.propose(b"x".to_vec());
    assert!(matches!(refused, Err(ProposeError::NotLeader { leader: None })));
    cluster.propose(new, b"kept");
    cluster.cut.clear();
    cluster.tick(ELECTION);
    assert!(cluster.nodes.values().all(|node| node.applied == [b"kept"]));
}

#[test]
fn a_replica_that_was_cut_off_does_not_depose_the_leader_when_it_returns() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let away = cluster.nodes.keys().copied().find(|node| *node != leader).unwrap();
    let term = cluster.node(leader).replica.status().term;
    cluster.cut.insert(away);
    cluster.tick(5 * ELECTION);
    cluster.cut.clear();
    cluster.tick(ELECTION);
    assert_eq!(cluster.leader(), leader);
    assert_eq!(cluster.node(away).replica.status().term, term);
}

#[test]
fn no_vote_and_no_acknowledgement_leaves_before_the_disk_is_done() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let followers: Vec<u64> = cluster.nodes.keys().copied().filter(|n| *n != leader).collect();
    cluster.stuck.extend(&followers);
    cluster.heard.clear();
    cluster.propose(leader, b"one");
    let acknowledged = |body: &Body| matches!(body, Body::AppendReply { .. });
    assert!(!cluster.heard.iter().any(|message| acknowledged(&message.body)));
    assert!(cluster.node(leader).applied.is_empty());
    cluster.cut.insert(leader);
    cluster.tick(ELECTION);
    let voted = |body: &Body| matches!(body, Body::VoteRequest { .. } | Body::VoteReply { .. });
    assert!(!cluster.heard.iter().any(|message| voted(&message.body)));
    cluster.stuck.clear();
    let new = cluster.elect();
    assert_eq!(cluster.node(new).applied, [b"one"]);
}

#[test]
fn an_own_write_counts_for_the_leader_only_when_it_is_on_disk() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let followers: Vec<u64> = cluster.nodes.keys().copied().filter(|n| *n != leader).collect();
    cluster.cut.insert(followers[0]);
    cluster.stuck.insert(leader);
    cluster.propose(leader, b"one");
    assert!(cluster.node(leader).applied.is_empty());
    cluster.stuck.clear();
    cluster.settle();
    assert_eq!(cluster.node(leader).applied, [b"one"]);
}

#[test]
fn restarted_replicas_keep_what_was_committed_and_vote_once_a_term() {
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
fn reads_are_confirmed_on_every_replica_and_dropped_without_a_quorum() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    for node in 1..=3 {
        cluster.node(node).replica.read(node).unwrap();
        cluster.settle();
        assert_eq!(cluster.node(node).reads, [node]);
    }
    cluster.cut.insert(leader);
    cluster.node(leader).replica.read(9).unwrap();
    cluster.tick(ELECTION);
    assert_eq!(cluster.node(leader).dropped_reads, [9]);
    assert!(!cluster.node(leader).reads.contains(&9));
}

#[test]
fn a_replica_far_behind_gets_the_snapshot_in_chunks() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let away = cluster.nodes.keys().copied().find(|node| *node != leader).unwrap();
    cluster.cut.insert(away);
    (0..20).for_each(|number| cluster.propose(leader, &[number]));
    let applied = cluster.node(leader).replica.status().applied;
    let state = vec![5; 100];
    cluster.node(leader).replica.compact(applied, state.clone()).unwrap();
    cluster.propose(leader, b"after");
    cluster.cut.clear();
    cluster.tick(ELECTION);
    assert_eq!(cluster.node(away).applied, [state, b"after".to_vec()]);
    restart(&mut cluster, away);
    cluster.tick(ELECTION);
    assert_eq!(cluster.node(away).replica.status().snapshot.index, applied);
    assert_eq!(cluster.node(away).applied.len(), 2);
}

#[test]
fn a_follower_that_lost_what_it_acknowledged_does_not_keep_the_leader_busy() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let broken = cluster.nodes.keys().copied().find(|node| *node != leader).unwrap();
    let early = cluster.node(broken).disk.clone();
    (0..5).for_each(|number| cluster.propose(leader, &[number]));
    cluster.node(broken).disk = early;
    restart(&mut cluster, broken);
    cluster.propose(leader, b"after");
    cluster.heard.clear();
    cluster.tick(ELECTION);
    assert!(cluster.heard.len() < 10 * ELECTION as usize, "{}", cluster.heard.len());
}

#[test]
fn leadership_is_handed_over_without_a_wait() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let target = cluster.nodes.keys().copied().find(|node| *node != leader).unwrap();
    let node = juniper_types::NodeId(target);
    cluster.node(leader).replica.transfer_leadership(node).unwrap();
    cluster.settle();
    assert_eq!(cluster.leader(), target);
    assert_eq!(cluster.node(leader).replica.status().role, Role::Follower);
}

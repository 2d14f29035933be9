//! Number of messages in large clusters: linear in the number of members.

mod support;

use juniper_consensus::{Body, RestoredState};
use juniper_types::NodeId;
use support::{Cluster, ELECTION_TICKS, id};

/// Cluster of five voters, with learners up to `members` in total.
fn large_cluster(members: u64) -> (Cluster, u64) {
    let mut cluster = Cluster::with_seeds(5, Some((1..=5).map(NodeId).collect()));
    let leader = cluster.elect();
    for node in 6..=members {
        cluster.start(id(node, u128::from(node)), RestoredState::default());
        cluster.tick(2);
    }
    cluster.tick(ELECTION_TICKS);
    let count = cluster.node(leader).replica.status().membership.members.len() as u64;
    assert_eq!(count, members, "not all replicas have joined");
    assert!(cluster.node(leader).replica.is_leader());
    (cluster, leader)
}

/// Messages per member and tick without requests.
fn idle_messages(members: u64) -> f64 {
    const TICKS: u64 = 100;
    let (mut cluster, _) = large_cluster(members);
    cluster.delivered.clear();
    cluster.tick(TICKS);
    cluster.delivered.len() as f64 / (members * TICKS) as f64
}

/// Messages per read, with one read on each member in turn.
fn messages_per_read(members: u64) -> f64 {
    let (mut cluster, _) = large_cluster(members);
    cluster.delivered.clear();
    for node in 1..=members {
        cluster.node(node).replica.read(node).expect("the read was rejected");
        cluster.run_until_idle();
        assert_eq!(cluster.node(node).reads.last(), Some(&node), "the read is not confirmed");
    }
    cluster.delivered.len() as f64 / members as f64
}

/// Messages per member for one entry.
fn messages_per_entry(members: u64) -> f64 {
    let (mut cluster, leader) = large_cluster(members);
    cluster.delivered.clear();
    cluster.propose(leader, b"one");
    let appends =
        cluster.delivered.iter().filter(|message| matches!(message.body, Body::Append { .. }));
    let appends = appends.count();
    assert!(appends as u64 >= members - 1);
    cluster.delivered.len() as f64 / members as f64
}

#[test]
fn idle_messages_are_linear_in_the_number_of_members() {
    let counts = [10, 20, 40].map(idle_messages);
    assert!(counts.iter().all(|count| *count <= 1.1), "{counts:?}");
}

/// Fails if every read sends a round of heartbeats to all members.
#[test]
fn messages_per_read_do_not_depend_on_the_number_of_members() {
    let counts = [10, 20, 40].map(messages_per_read);
    assert!(counts.iter().all(|count| *count <= 12.0), "{counts:?}");
}

#[test]
fn messages_per_entry_are_linear_in_the_number_of_members() {
    let counts = [10, 20, 40].map(messages_per_entry);
    assert!(counts.iter().all(|count| *count <= 5.0), "{counts:?}");
}

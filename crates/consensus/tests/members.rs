//! Lost disks, standbys, membership changes, and fencing after a recovery.

mod support;

use juniper_consensus::{
    Body, ClusterEpoch, Entry, Membership, MembershipChange, MembershipChangeError,
    MembershipError, Message, Payload, RestoredState, StopReason,
};
use juniper_types::NodeId;
use support::{Cluster, ELECTION_TICKS, id, initial_disk, zone};

/// Ticks within which a lost voter is replaced.
const REPLACEMENT_TICKS: u64 = 400;

/// Ticks without contact after which a member is considered inactive.
const INACTIVITY_TICKS: u64 = 10;

fn follower(cluster: &mut Cluster) -> u64 {
    let leader = cluster.leader();
    cluster.nodes.keys().copied().find(|node| *node != leader).unwrap()
}

fn voters(cluster: &mut Cluster) -> Vec<String> {
    let leader = cluster.leader();
    let membership = cluster.node(leader).replica.status().membership;
    membership.voters().map(|member| member.id.to_string()).collect()
}

#[test]
fn a_replica_with_a_wiped_disk_rejoins_as_a_learner_and_is_promoted_once_caught_up() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    cluster.propose(leader, b"one");
    let wiped = follower(&mut cluster);
    let new = id(wiped, 99);
    cluster.start(new, RestoredState::default());
    assert!(!cluster.node(wiped).replica.status().membership.is_voter(new));
    cluster.tick(REPLACEMENT_TICKS);
    let membership = cluster.node(leader).replica.status().membership;
    assert!(membership.is_voter(new), "{membership:?}");
    assert_eq!(membership.members.len(), 3, "the lost disk is still a member: {membership:?}");
    assert_eq!(cluster.node(wiped).applied, [b"one"]);
}

#[test]
fn a_replica_with_a_wiped_disk_neither_votes_nor_wins_an_election() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let wiped = follower(&mut cluster);
    cluster.start(id(wiped, 99), RestoredState::default());
    let third = (1..=3).find(|node| *node != leader && *node != wiped).unwrap();
    cluster.partitioned.insert(leader);
    cluster.tick(REPLACEMENT_TICKS);
    assert!(cluster.nodes.values().filter(|node| node.replica.is_leader()).count() == 0);
    let status = cluster.node(third).replica.status();
    assert!(status.leader.is_none());
}

#[test]
fn no_data_is_lost_if_a_second_voter_fails_before_a_wiped_one_has_caught_up() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    cluster.propose(leader, b"one");
    let first = follower(&mut cluster);
    let second = (1..=3).find(|node| *node != leader && *node != first).unwrap();
    cluster.start(id(first, 99), RestoredState::default());
    cluster.partitioned.insert(second);
    cluster.tick(REPLACEMENT_TICKS);
    assert!(
        !cluster.node(leader).replica.is_leader(),
        "the leader has no quorum, but did not step down"
    );
    cluster.partitioned.clear();
    cluster.tick(REPLACEMENT_TICKS);
    let leader = cluster.leader();
    cluster.propose(leader, b"two");
    assert!(cluster.nodes.values().all(|node| node.applied == [&b"one"[..], b"two"]));
}

#[test]
fn a_standby_replaces_a_lost_voter() {
    let mut cluster = Cluster::of_voters(3);
    cluster.elect();
    cluster.start(id(4, 4), RestoredState::default());
    cluster.tick(REPLACEMENT_TICKS);
    let lost = follower(&mut cluster);
    cluster.partitioned.insert(lost);
    cluster.tick(REPLACEMENT_TICKS);
    let voters = voters(&mut cluster);
    assert_eq!(voters.len(), 3);
    assert!(!voters.contains(&id(lost, lost.into()).to_string()), "{voters:?}");
}

/// Loses the standby at various times after the start of a replacement. The other two
/// voters have every committed entry and must stay available.
#[test]
fn the_quorum_survives_the_loss_of_the_standby_during_a_replacement() {
    for lost_after in 0..12 {
        let mut cluster = Cluster::of_voters(3);
        let leader = cluster.elect();
        cluster.start(id(4, 4), RestoredState::default());
        cluster.tick(ELECTION_TICKS);
        cluster.propose(leader, b"one");
        let lost = follower(&mut cluster);
        cluster.partitioned.insert(lost);
        let becomes_voter = |cluster: &mut Cluster| {
            cluster.node(leader).replica.status().membership.is_voter(id(4, 4))
        };
        // With `lost_after` 0, the standby is lost before it acknowledges its own promotion.
        while !becomes_voter(&mut cluster) {
            cluster.node(leader).replica.tick();
            if becomes_voter(&mut cluster) && lost_after == 0 {
                cluster.partitioned.insert(4);
            }
            cluster.run_until_idle();
        }
        cluster.tick(lost_after);
        cluster.partitioned.insert(4);
        cluster.tick(REPLACEMENT_TICKS);
        let leader = cluster.leader();
        cluster.propose(leader, b"two");
        let intact: Vec<u64> = (1..=3).filter(|node| *node != lost).collect();
        for node in intact {
            assert_eq!(cluster.node(node).applied, [b"one", b"two"], "lost after {lost_after}");
        }
    }
}

/// If the standby that replaces a second voter were lost as well, only one of three voters
/// would be left.
#[test]
fn no_voter_is_replaced_while_the_new_majority_depends_on_the_standby() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    cluster.start(id(4, 4), RestoredState::default());
    cluster.tick(ELECTION_TICKS);
    let inactive = follower(&mut cluster);
    let third = (1..=3).find(|node| *node != leader && *node != inactive).unwrap();
    cluster.partitioned.insert(inactive);
    cluster.tick(2 * INACTIVITY_TICKS);
    let voter = id(third, third.into());
    let replace = MembershipChange::Replace { voter, standby: id(4, 4) };
    let rejected = cluster.node(leader).replica.propose_membership_change(&replace);
    assert_eq!(rejected, Err(MembershipChangeError::Unsafe));
    cluster.partitioned.clear();
    cluster.tick(2);
    cluster.node(leader).replica.propose_membership_change(&replace).unwrap();
}

#[test]
fn a_joint_membership_requires_majorities_of_both_voter_sets() {
    let voters = (1..=3).map(|node| (id(node, node.into()), zone(node)));
    let membership = Membership::of_voters(ClusterEpoch::first(7), voters);
    let standby = MembershipChange::AddLearner { id: id(4, 4), zone: zone(4) };
    let replace = MembershipChange::Replace { voter: id(3, 3), standby: id(4, 4) };
    let joint = membership.with_change(&standby).unwrap().with_change(&replace).unwrap();
    let has_majority = |nodes: &[u64]| joint.has_majority(|id| nodes.contains(&id.node.0));
    assert!(joint.is_joint() && joint.voters().count() == 4);
    assert!(has_majority(&[1, 2]) && has_majority(&[1, 3, 4]));
    assert!(!has_majority(&[1, 3]) && !has_majority(&[2, 4]) && !has_majority(&[3, 4]));
    let rejected = joint.with_change(&MembershipChange::Remove(id(1, 1)));
    assert_eq!(rejected, Err(MembershipError::ReplacementInProgress));
    let next = joint.with_change(&MembershipChange::FinishReplacement).unwrap();
    let votes = |node: u64| next.is_voter(id(node, node.into()));
    assert!(!next.is_joint() && votes(1) && votes(2) && votes(4) && !votes(3));
    let again = next.with_change(&MembershipChange::FinishReplacement);
    assert_eq!(again, Err(MembershipError::NoReplacement));
}

#[test]
fn changes_without_an_active_quorum_are_rejected() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let inactive = follower(&mut cluster);
    let third = (1..=3).find(|node| *node != leader && *node != inactive).unwrap();
    let replica = |cluster: &mut Cluster, node| cluster.node(node).replica.status().id;
    let own = replica(&mut cluster, leader);
    let rejected =
        cluster.node(leader).replica.propose_membership_change(&MembershipChange::Remove(own));
    assert_eq!(rejected, Err(MembershipChangeError::IsLeader));
    cluster.partitioned.insert(inactive);
    cluster.tick(15);
    let change = MembershipChange::Remove(replica(&mut cluster, third));
    let rejected = cluster.node(leader).replica.propose_membership_change(&change);
    assert_eq!(rejected, Err(MembershipChangeError::Unsafe));
    let newcomer = MembershipChange::AddLearner { id: id(5, 5), zone: zone(5) };
    cluster.node(leader).replica.propose_membership_change(&newcomer).unwrap();
    let again = cluster.node(leader).replica.propose_membership_change(&newcomer);
    assert_eq!(again, Err(MembershipChangeError::Pending));
}

#[test]
fn a_voter_required_by_the_target_number_cannot_be_demoted() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let lost = follower(&mut cluster);
    let third = (1..=3).find(|node| *node != leader && *node != lost).unwrap();
    // The leader has not detected the loss of this disk yet.
    cluster.partitioned.insert(lost);
    let change = MembershipChange::Demote(id(third, third.into()));
    let rejected = cluster.node(leader).replica.propose_membership_change(&change);
    assert_eq!(rejected, Err(MembershipChangeError::Unsafe));
    cluster.start(id(lost, 99), RestoredState::default());
    cluster.partitioned.clear();
    cluster.tick(REPLACEMENT_TICKS);
    let status = cluster.node(leader).replica.status();
    assert!(status.is_leader() && status.membership.is_voter(id(lost, 99)));
}

#[test]
fn the_quorum_survives_the_repeated_loss_of_the_same_disk() {
    for noticed_after in 1..12 {
        let mut cluster = Cluster::of_voters(3);
        let leader = cluster.elect();
        let wiped = follower(&mut cluster);
        let repaired = id(wiped, 99);
        cluster.start(repaired, RestoredState::default());
        while !cluster.node(leader).replica.status().membership.contains(repaired) {
            cluster.tick(1);
        }
        cluster.tick(noticed_after);
        cluster.partitioned.insert(wiped);
        cluster.tick(REPLACEMENT_TICKS);
        assert!(
            cluster.node(leader).replica.is_leader(),
            "the leader stepped down despite two voters out of three"
        );
        cluster.start(id(wiped, 100), RestoredState::default());
        cluster.partitioned.clear();
        cluster.tick(REPLACEMENT_TICKS);
        let membership = cluster.node(leader).replica.status().membership;
        assert!(membership.is_voter(id(wiped, 100)), "{membership:?}");
    }
}

#[test]
fn a_replica_with_an_uncommitted_demotion_is_elected_and_then_steps_down() {
    let voters = (1..=4).map(|node| (id(node, node.into()), zone(node)));
    let membership = Membership::of_voters(ClusterEpoch::first(7), voters);
    let demoted = membership.with_change(&MembershipChange::Demote(id(1, 1))).unwrap();
    let disk = initial_disk(&membership);
    let mut ahead = disk.clone();
    let payload = Payload::Membership(demoted);
    ahead.entries.push(Entry { term: 1, index: 2, payload });
    let mut cluster = Cluster::of_voters(0);
    // Node 4, the former leader, is lost. Nodes 2 and 3 can't win without the vote of
    // node 1, whose log is longer than theirs.
    cluster.start(id(1, 1), ahead);
    cluster.start(id(2, 2), disk.clone());
    cluster.start(id(3, 3), disk);
    cluster.tick(3 * ELECTION_TICKS);
    let leader = cluster.leader();
    cluster.propose(leader, b"one");
    assert_ne!(leader, 1, "the demoted replica is still the leader");
    assert!(cluster.nodes.values().all(|node| node.applied == [b"one"]));
}

#[test]
fn replicas_excluded_by_a_recovery_are_fenced() {
    let mut cluster = Cluster::of_voters(3);
    cluster.elect();
    let epoch = cluster.node(2).disk.hard_state.epoch.recovered(11);
    let recovered = Membership::of_voters(epoch, [(id(1, 1), zone(1))]);
    cluster.start(id(1, 1), initial_disk(&recovered));
    cluster.tick(ELECTION_TICKS);
    for excluded in [2, 3] {
        let status = cluster.node(excluded).replica.status();
        assert_eq!(status.stopped, Some(StopReason::Fenced));
    }
    assert_eq!(cluster.leader(), 1);
}

#[test]
fn messages_of_another_cluster_are_ignored() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let status = cluster.node(leader).replica.status();
    cluster.node(leader).replica.step(Message {
        from: id(2, 2),
        to: NodeId(leader),
        to_disk: Some(status.id.disk),
        epoch: ClusterEpoch { cluster: 8, number: 9, token: 9 },
        term: 99,
        body: Body::Heartbeat { commit: 0, read_round: 0 },
    });
    assert_eq!(cluster.node(leader).replica.status(), status);
}

//! Selection of the replicas that a router follows: all of a small group, a few of a large one.

use std::collections::{BTreeMap, BTreeSet};

use juniper_feed::{FOLLOWED_REPLICAS, FollowRequest, MAX_FULLY_FOLLOWED};
use juniper_types::{NodeId, ZoneName};

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("valid zone name")
}

/// Group of `count` replicas, spread over the zones.
fn group(count: usize) -> BTreeMap<NodeId, Option<ZoneName>> {
    let member =
        |number: usize| (NodeId(number as u64 + 1), Some(zone(ZONES[number % ZONES.len()])));
    (0..count).map(member).collect()
}

fn followed(
    router: u64,
    members: &BTreeMap<NodeId, Option<ZoneName>>,
    unreachable: &BTreeSet<NodeId>,
    is_unconfirmed: bool,
) -> Vec<NodeId> {
    let zone = zone(ZONES[router as usize % ZONES.len()]);
    FollowRequest {
        router: NodeId(1_000 + router),
        zone: &zone,
        members,
        unreachable,
        is_unconfirmed,
    }
    .select()
}

#[test]
fn every_replica_of_a_small_group_is_followed() {
    let members = group(MAX_FULLY_FOLLOWED);
    assert_eq!(followed(1, &members, &BTreeSet::new(), false).len(), MAX_FULLY_FOLLOWED);
}

#[test]
fn of_a_large_group_two_replicas_in_the_own_zone_and_one_elsewhere_are_followed() {
    let members = group(25);
    for router in 0..50 {
        let replicas = followed(router, &members, &BTreeSet::new(), false);
        let own = zone(ZONES[router as usize % ZONES.len()]);
        let is_in_own_zone = |node: &NodeId| members[node].as_ref() == Some(&own);
        let in_own_zone: Vec<bool> = replicas.iter().map(is_in_own_zone).collect();
        assert_eq!(in_own_zone, [true, true, false]);
    }
}

#[test]
fn unreachable_replicas_are_followed_only_if_no_others_are_left() {
    let members = group(25);
    let before = followed(3, &members, &BTreeSet::new(), false);
    let unreachable = BTreeSet::from([before[0]]);
    let after = followed(3, &members, &unreachable, false);
    assert!(!after.contains(&before[0]) && after.contains(&before[1]), "{before:?} {after:?}");
    let all: BTreeSet<NodeId> = members.keys().copied().collect();
    assert_eq!(followed(3, &members, &all, false).len(), FOLLOWED_REPLICAS);
}

/// If all followed replicas may be partitioned from the quorum, more are followed besides them.
#[test]
fn without_confirmations_more_replicas_are_followed_and_none_is_dropped() {
    let members = group(25);
    let before = followed(7, &members, &BTreeSet::new(), false);
    let more = followed(7, &members, &BTreeSet::new(), true);
    assert!(before.iter().all(|node| more.contains(node)) && more.len() > before.len());
}

#[test]
fn replicas_with_unknown_zones_count_as_outside_the_own_zone() {
    let mut members = group(25);
    members.values_mut().for_each(|zone| *zone = None);
    assert_eq!(followed(2, &members, &BTreeSet::new(), false).len(), FOLLOWED_REPLICAS);
}

/// Guards against connections and confirmation requests that grow with the square of the fleet.
#[test]
fn the_number_of_followed_replicas_is_constant_and_routers_are_spread_evenly() {
    for replicas in [10, 20, 40] {
        let members = group(replicas);
        let routers = replicas as u64 * 40;
        let mut followers: BTreeMap<NodeId, usize> = BTreeMap::new();
        for router in 0..routers {
            let followed = followed(router, &members, &BTreeSet::new(), false);
            assert_eq!(followed.len(), FOLLOWED_REPLICAS, "{replicas} replicas");
            followed.into_iter().for_each(|node| *followers.entry(node).or_default() += 1);
        }
        let even = 40 * FOLLOWED_REPLICAS;
        let maximum = followers.values().max().copied().unwrap_or(0);
        assert!(
            followers.len() == replicas && maximum <= even * 3 / 2,
            "{replicas}: {maximum} of {even}"
        );
    }
}

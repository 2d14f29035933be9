//! Selection of the replica that relays updates between routers.

use std::collections::BTreeMap;

use juniper_feed::select_relay;
use juniper_types::{NodeId, ZoneName};

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a name")
}

fn selected(followed: &[(u64, &str)], own: &str) -> Option<u64> {
    let followed: BTreeMap<_, _> =
        followed.iter().map(|(node, name)| (NodeId(*node), zone(name))).collect();
    select_relay(&followed, &zone(own)).map(|node| node.0)
}

#[test]
fn a_replica_in_the_own_zone_is_preferred_as_relay() {
    assert_eq!(selected(&[(1, "south"), (2, "north"), (3, "east")], "north"), Some(2));
}

#[test]
fn without_a_replica_in_the_own_zone_any_other_is_selected() {
    assert_eq!(selected(&[(1, "south"), (3, "east")], "north"), Some(1));
    assert_eq!(selected(&[], "north"), None);
}

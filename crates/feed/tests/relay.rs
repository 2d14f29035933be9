//! The replica through which a router tells the others and hears from them.

use std::collections::BTreeMap;

use juniper_feed::relay_among;
use juniper_types::{NodeId, ZoneName};

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a name")
}

fn chosen(followed: &[(u64, &str)], own: &str) -> Option<u64> {
    let followed: BTreeMap<_, _> =
        followed.iter().map(|(node, name)| (NodeId(*node), zone(name))).collect();
    relay_among(&followed, &zone(own)).map(|node| node.0)
}

#[test]
fn a_replica_of_the_own_zone_passes_on_what_routers_tell() {
    assert_eq!(chosen(&[(1, "south"), (2, "north"), (3, "east")], "north"), Some(2));
}

#[test]
fn while_the_own_zone_has_none_any_other_does() {
    assert_eq!(chosen(&[(1, "south"), (3, "east")], "north"), Some(1));
    assert_eq!(chosen(&[], "north"), None);
}

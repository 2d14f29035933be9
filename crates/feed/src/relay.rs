//! Which replica passes on what routers tell each other.

use std::collections::BTreeMap;

use juniper_types::{NodeId, ZoneName};

/// The replica that a router in `own_zone` tells and listens to, among those that it follows: one
/// of its own zone, if there is one, so that what routers tell each other crosses to each zone
/// once.
pub fn relay_among(followed: &BTreeMap<NodeId, ZoneName>, own_zone: &ZoneName) -> Option<NodeId> {
    let near = followed.iter().find(|(_, zone)| *zone == own_zone);
    near.or_else(|| followed.iter().next()).map(|(node, _)| *node)
}

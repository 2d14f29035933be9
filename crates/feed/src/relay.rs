//! Selection of the replica that relays updates between routers.

use std::collections::BTreeMap;

use juniper_types::{NodeId, ZoneName};

/// Selects the replica through which a router in `own_zone` publishes its updates and receives
/// those of other routers. A replica of the router's own zone is preferred, so that each update
/// crosses into a zone only once.
pub fn select_relay(followed: &BTreeMap<NodeId, ZoneName>, own_zone: &ZoneName) -> Option<NodeId> {
    let same_zone = followed.iter().find(|(_, zone)| *zone == own_zone);
    same_zone.or_else(|| followed.iter().next()).map(|(node, _)| *node)
}

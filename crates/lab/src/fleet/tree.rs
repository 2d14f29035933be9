//! The settings tree of a fleet.

use juniper_emulators::trace::Profile;
use juniper_settings::{
    ApiKeyHash, BackEnd, Edit, Overrides, SettingsNode, SettingsPath, TrafficKind,
};
use juniper_types::{ChangeId, ServiceName, TenantName, ZoneName};
use serde::Serialize;

use super::FleetError;
use crate::load::arguments::KEY_PREFIX;

/// Service of listings, in every profile.
pub const LISTING_SERVICE: &str = "board";

/// Service of previews, in every profile.
pub const PREVIEW_SERVICE: &str = "previews";

/// Weight of what a user cares for most in the routing cost.
const PREFERRED_WEIGHT: f64 = 2.0;

/// A change as the operators' face takes it.
#[derive(Clone, Debug, Serialize)]
pub struct SettingsChange {
    /// Revision that the change starts from.
    pub base_revision: u64,
    /// Chosen by the writer; a resent change keeps it.
    pub change_id: ChangeId,
    /// What is changed.
    pub edits: Vec<Edit>,
}

/// One zone with its back ends.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneBackEnds {
    /// The zone.
    pub zone: ZoneName,
    /// Its back ends.
    pub back_ends: Vec<BackEnd>,
}

impl ZoneBackEnds {
    /// The edit that puts the zone as it is.
    pub fn edit(&self) -> Edit {
        let node = SettingsNode { back_ends: self.back_ends.clone(), ..SettingsNode::default() };
        Edit::Put { path: SettingsPath::Zone(self.zone.clone()), node: Box::new(node) }
    }
}

/// Edits that build the whole tree of `profile` on `zones`.
///
/// # Errors
/// Never for the profiles of this build: their names are checked constants.
pub fn whole_tree(profile: Profile, zones: &[ZoneBackEnds]) -> Result<Vec<Edit>, FleetError> {
    let names = profile.names()?;
    let root = SettingsNode { overrides: preferences(profile), ..SettingsNode::default() };
    let mut edits = vec![Edit::Put { path: SettingsPath::Root, node: Box::new(root) }];
    edits.extend(zones.iter().map(ZoneBackEnds::edit));
    let services = [
        (names.heavy, TrafficKind::Chat),
        (names.light, TrafficKind::Chat),
        (names.at_most_once, TrafficKind::AtMostOnce),
        (ServiceName::new(LISTING_SERVICE)?, TrafficKind::Repeatable),
        (ServiceName::new(PREVIEW_SERVICE)?, TrafficKind::Preview),
    ];
    for (tenant, home) in names.tenants.iter().zip(zones.iter().cycle()) {
        edits.push(tenant_edit(&home.zone, tenant));
        for (service, traffic) in &services {
            edits.push(service_edit(&home.zone, tenant, service, *traffic));
        }
    }
    Ok(edits)
}

/// Granite Ledger minds recomputed tokens more, Pryderi the time to first token.
fn preferences(profile: Profile) -> Overrides {
    let weight = Some(PREFERRED_WEIGHT);
    match profile {
        Profile::GraniteLedger => Overrides { waste_weight: weight, ..Overrides::default() },
        Profile::Pryderi => Overrides { latency_weight: weight, ..Overrides::default() },
    }
}

fn tenant_edit(zone: &ZoneName, tenant: &TenantName) -> Edit {
    let key = ApiKeyHash::of(&format!("{KEY_PREFIX}{tenant}"));
    let node = SettingsNode { api_keys: vec![key], ..SettingsNode::default() };
    Edit::Put { path: SettingsPath::Tenant(zone.clone(), tenant.clone()), node: Box::new(node) }
}

fn service_edit(
    zone: &ZoneName,
    tenant: &TenantName,
    service: &ServiceName,
    traffic: TrafficKind,
) -> Edit {
    let overrides = Overrides { traffic: Some(traffic), ..Overrides::default() };
    let node = SettingsNode { overrides, ..SettingsNode::default() };
    Edit::Put {
        path: SettingsPath::Service(zone.clone(), tenant.clone(), service.clone()),
        node: Box::new(node),
    }
}

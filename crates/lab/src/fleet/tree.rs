//! Settings tree of a fleet.

use juniper_emulators::trace::Profile;
use juniper_settings::{
    ApiKeyHash, BackEnd, Edit, Overrides, SettingsNode, SettingsPath, TrafficKind,
};
use juniper_types::{ChangeId, ServiceName, TenantName, ZoneName};
use serde::Serialize;

use super::FleetError;
use crate::load::arguments::KEY_PREFIX;

/// Listing service of all profiles.
pub const LISTING_SERVICE: &str = "board";

/// Preview service of all profiles.
pub const PREVIEW_SERVICE: &str = "previews";

/// Routing cost weight of a profile's more important term.
const PREFERRED_WEIGHT: f64 = 2.0;

/// Request body of a settings change in the operator API.
#[derive(Clone, Debug, Serialize)]
pub struct SettingsChange {
    /// Revision that the change is based on.
    pub base_revision: u64,
    /// Id chosen by the submitter; retries carry the same id.
    pub change_id: ChangeId,
    /// Edits of the change.
    pub edits: Vec<Edit>,
}

/// Zone with its back ends.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneBackEnds {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Back ends in the zone.
    pub back_ends: Vec<BackEnd>,
}

impl ZoneBackEnds {
    /// Returns the edit that writes the zone with its current back ends.
    pub fn edit(&self) -> Edit {
        let node = SettingsNode { back_ends: self.back_ends.clone(), ..SettingsNode::default() };
        Edit::Put { path: SettingsPath::Zone(self.zone.clone()), node: Box::new(node) }
    }
}

/// Returns the edits that create the settings tree of `profile` for `zones`.
///
/// # Errors
/// Fails when a name of the profile is invalid; the built-in names are valid.
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

/// Granite Ledger weights recomputed tokens higher, Pryderi the time to first token.
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

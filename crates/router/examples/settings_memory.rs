//! Measures the resident memory of many tenants' settings in a router, and the time to
//! apply one change.
//!
//! `cargo run --release -p juniper-router --example settings_memory -- TENANTS`

use std::time::Instant;

use juniper_protocol::{Push, SettingsDelta};
use juniper_router::in_force::SettingsInForce;
use juniper_settings::{
    ApiKeyHash, ChangeSet, Edit, Overrides, SettingsNode, SettingsPath, SettingsTree,
};
use juniper_types::{NameError, Revision, ServiceName, TenantName, ZoneName};

/// Number of zones over which the tenants are spread.
const ZONES: usize = 14;

/// Number of changes over which the mean time is taken.
const CHANGES: u64 = 20;

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) * 1_024
}

fn tenant_edits(number: usize) -> Result<[Edit; 2], NameError> {
    let zone = ZoneName::new(format!("zone-{:02}", number % ZONES))?;
    let tenant = TenantName::new(format!("tenant-{number:05}"))?;
    let api_keys = vec![ApiKeyHash::of(&format!("key-{number}"))];
    let node = SettingsNode { api_keys, ..SettingsNode::default() };
    let service = SettingsPath::Service(zone.clone(), tenant.clone(), ServiceName::new("chat")?);
    let overrides = Overrides { rate_per_second: Some(number as f64), ..Overrides::default() };
    let service_node = SettingsNode { overrides, ..SettingsNode::default() };
    Ok([
        Edit::Put { path: SettingsPath::Tenant(zone, tenant), node: Box::new(node) },
        Edit::Put { path: service, node: Box::new(service_node) },
    ])
}

fn main() -> Result<(), NameError> {
    let argument = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let tenants: usize = argument.unwrap_or(31_000);
    let before = resident_bytes();
    let mut tree = SettingsTree::default();
    for number in 0..tenants {
        ChangeSet { edits: tenant_edits(number)?.to_vec() }.apply_to(&mut tree);
    }
    let mut in_force = SettingsInForce::new(Revision(1), tree);
    let resident = resident_bytes() - before;
    let started = Instant::now();
    for revision in 2..2 + CHANGES {
        let change = ChangeSet { edits: tenant_edits(revision as usize)?.to_vec() };
        let delta = SettingsDelta { revision: Revision(revision), change };
        if let Ok(Some(next)) = in_force.after_push(Push::Delta(delta)) {
            in_force = next;
        }
    }
    let mean_time = started.elapsed() / CHANGES as u32;
    let peak = resident_bytes() - before;
    println!(
        "tenants={tenants} resident_bytes={resident} bytes_per_tenant={} peak_bytes={peak} \
         change_us={}",
        resident / tenants as u64,
        mean_time.as_micros()
    );
    Ok(())
}

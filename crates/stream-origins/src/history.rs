//! Software versions that a service's servers have run recently.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_registry::{Instance, InstanceMap, InstanceName, SoftwareVersion};
use juniper_types::Timestamp;

use crate::served::{ServedVersion, ServedVersions};

/// Time after which a version that no server runs any more is forgotten.
const RETENTION: Duration = Duration::from_secs(120);

/// Time within which all servers have reported to a replica or router that has just started. They send
/// a heartbeat every 1.2 s.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// Servers of a service that run one version.
#[derive(Clone, Copy, Debug)]
struct Presence {
    servers: usize,
    /// When a server of the version was last removed.
    removed_at: Timestamp,
}

impl Presence {
    fn is_kept(&self, now: Timestamp) -> bool {
        self.servers > 0 || now.since(self.removed_at) < RETENTION
    }

    fn gone_ms(&self, now: Timestamp) -> Option<u64> {
        let gone = now.since(self.removed_at).as_millis();
        (self.servers == 0).then(|| u64::try_from(gone).unwrap_or(u64::MAX))
    }
}

/// From when on a history holds all versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Completeness {
    /// The servers are not followed.
    #[default]
    Incomplete,
    From(Timestamp),
    /// No server has served before.
    Always,
}

/// Versions by service; `None` for servers of unknown version.
type Versions = BTreeMap<Option<SoftwareVersion>, Presence>;

/// History of the software versions of all services, of one router or replica.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// Servers at the latest update.
    servers: InstanceMap,
    services: BTreeMap<String, Versions>,
    completeness: Completeness,
}

impl SoftwareHistory {
    /// Records that no server has served any service yet.
    pub fn mark_founded(&mut self) {
        self.completeness = Completeness::Always;
    }

    /// Records that servers may have come and gone unnoticed until now.
    pub fn interrupt(&mut self, now: Timestamp) {
        self.completeness = Completeness::From(now.after(REPORT_TIME));
    }

    /// Applies the current list of servers.
    pub fn update(&mut self, servers: &InstanceMap, now: Timestamp) {
        if self.completeness == Completeness::Incomplete {
            self.interrupt(now);
        }
        let changes = servers.changes_from(&self.servers);
        for name in &changes.removed {
            self.remove_former(name, now);
        }
        for server in &changes.changed {
            self.remove_former(server.id.name(), now);
            self.presence_of(server, now).servers += 1;
        }
        self.servers = servers.clone();
        if !changes.removed.is_empty() || !changes.changed.is_empty() {
            self.services.values_mut().for_each(|versions| {
                versions.retain(|_, presence| presence.is_kept(now));
            });
            self.services.retain(|_, versions| !versions.is_empty());
        }
    }

    /// Versions that have served a service, and for how long all of them are known: at most for the
    /// retention time.
    pub fn served(&self, service: &str, now: Timestamp) -> ServedVersions {
        let known = match self.completeness {
            Completeness::Incomplete => Duration::ZERO,
            Completeness::From(from) => now.since(from).min(RETENTION),
            Completeness::Always => RETENTION,
        };
        let known_ms = u64::try_from(known.as_millis()).unwrap_or(u64::MAX);
        let versions = self.services.get(service).into_iter().flatten();
        let served = |(software, presence): (&Option<SoftwareVersion>, &Presence)| ServedVersion {
            software: software.clone(),
            gone_ms: presence.gone_ms(now),
        };
        ServedVersions { known_ms, versions: versions.map(served).collect() }
    }

    fn remove_former(&mut self, name: &InstanceName, now: Timestamp) {
        let Some(former) = self.servers.get(name).cloned() else { return };
        let presence = self.presence_of(&former, now);
        presence.servers = presence.servers.saturating_sub(1);
        presence.removed_at = now;
    }

    fn presence_of(&mut self, server: &Instance, now: Timestamp) -> &mut Presence {
        let versions = self.services.entry(server.report.service.clone()).or_default();
        let version = server.report.software.clone();
        versions.entry(version).or_insert(Presence { servers: 0, removed_at: now })
    }
}

//! Software versions that a service's servers have run recently.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_registry::{Instance, InstanceMap, InstanceName, SoftwareVersion};
use juniper_types::Timestamp;
use minicbor::{Decode, Encode};

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
    /// Servers come and go unnoticed.
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
    /// Number of changes that a snapshot shows.
    changes: u64,
}

/// Software versions that have served a service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceHistory {
    /// Name of the service.
    #[n(0)]
    pub service: String,
    /// Its versions.
    #[n(1)]
    pub versions: Vec<ServedVersion>,
}

/// History of all services at one time, from which it can be restored after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct HistorySnapshot {
    /// Time for which all versions are known, in milliseconds; negative if they will be known after
    /// that time, and `None` if servers come and go unnoticed.
    #[n(0)]
    pub known_ms: Option<i64>,
    /// Known versions.
    #[n(1)]
    pub services: Vec<ServiceHistory>,
}

impl SoftwareHistory {
    /// Records that no server has served any service yet.
    pub fn mark_founded(&mut self) {
        self.set_completeness(Completeness::Always);
    }

    /// Records that servers come and go unnoticed.
    pub fn interrupt(&mut self) {
        self.set_completeness(Completeness::Incomplete);
    }

    /// Records that servers are noticed from now on.
    pub fn resume(&mut self, now: Timestamp) {
        if self.completeness == Completeness::Incomplete {
            self.set_completeness(Completeness::From(now.after(REPORT_TIME)));
        }
    }

    fn set_completeness(&mut self, completeness: Completeness) {
        self.changes += u64::from(self.completeness != completeness);
        self.completeness = completeness;
    }

    /// Number of changes that a snapshot shows.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// State for a restart.
    pub fn snapshot(&self, now: Timestamp) -> HistorySnapshot {
        let service = |service: &String| ServiceHistory {
            service: service.clone(),
            versions: self.served(service, now).versions,
        };
        let services = self.services.keys().map(service).collect();
        let known_ms = match self.completeness {
            Completeness::Incomplete => None,
            Completeness::From(from) => {
                Some(signed_ms(now.since(from)) - signed_ms(from.since(now)))
            }
            Completeness::Always => Some(signed_ms(RETENTION)),
        };
        HistorySnapshot { known_ms, services }
    }

    /// Restores the state of `elapsed` ago. Servers of that time may have served until all have
    /// reported again. Only other replicas can have noticed servers since then.
    pub fn restore(&mut self, snapshot: &HistorySnapshot, elapsed: Duration, now: Timestamp) {
        if let Some(known_ms) = snapshot.known_ms {
            let known = Duration::from_millis(known_ms.unsigned_abs());
            let written_at = now.before(elapsed);
            let from = match known_ms < 0 {
                true => written_at.after(known),
                false => written_at.before(known),
            };
            self.set_completeness(Completeness::From(from));
        }
        for ServiceHistory { service, versions } in &snapshot.services {
            for ServedVersion { software, gone_ms } in versions {
                let removed_at = match gone_ms {
                    Some(gone_ms) => now.before(Duration::from_millis(*gone_ms) + elapsed),
                    None => now.after(REPORT_TIME),
                };
                let versions = self.services.entry(service.clone()).or_default();
                versions.entry(software.clone()).or_insert(Presence { servers: 0, removed_at });
            }
        }
        self.changes += 1;
    }

    /// Applies the current list of servers.
    pub fn update(&mut self, servers: &InstanceMap, now: Timestamp) {
        let changes = servers.changes_from(&self.servers);
        for name in &changes.removed {
            self.remove_former(name, now);
        }
        for server in &changes.changed {
            self.remove_former(server.id.name(), now);
            let presence = self.presence_of(server, now);
            presence.servers += 1;
            let is_new = presence.servers == 1;
            self.changes += u64::from(is_new);
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
        let versions = self.services.get(service).into_iter().flatten();
        let served = |(software, presence): (&Option<SoftwareVersion>, &Presence)| ServedVersion {
            software: software.clone(),
            gone_ms: presence.gone_ms(now),
        };
        let known_ms = self.known_ms(now);
        ServedVersions { known_ms, versions: versions.map(served).collect() }
    }

    fn known_ms(&self, now: Timestamp) -> u64 {
        let known = match self.completeness {
            Completeness::Incomplete => Duration::ZERO,
            Completeness::From(from) => now.since(from).min(RETENTION),
            Completeness::Always => RETENTION,
        };
        u64::try_from(known.as_millis()).unwrap_or(u64::MAX)
    }

    fn remove_former(&mut self, name: &InstanceName, now: Timestamp) {
        let Some(former) = self.servers.get(name).cloned() else { return };
        let presence = self.presence_of(&former, now);
        presence.servers = presence.servers.saturating_sub(1);
        // A restored version may have been recorded as served for longer.
        presence.removed_at = presence.removed_at.max(now);
        let is_gone = presence.servers == 0;
        self.changes += u64::from(is_gone);
    }

    fn presence_of(&mut self, server: &Instance, now: Timestamp) -> &mut Presence {
        let versions = self.services.entry(server.report.service.clone()).or_default();
        let version = server.report.software.clone();
        versions.entry(version).or_insert(Presence { servers: 0, removed_at: now })
    }
}

fn signed_ms(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}

//! Software versions that engines have run, and since when they are the same.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_types::{EngineId, SoftwareVersion, Timestamp};

/// Latest reported version of each engine, also of those that are down.
#[derive(Clone, Debug, Default)]
pub(crate) struct SoftwareLog {
    latest: BTreeMap<EngineId, Option<SoftwareVersion>>,
    /// When an engine last reported another version than before, or reported for the first time.
    changed_at: Option<Timestamp>,
    /// Whether an engine was removed since.
    has_removed: bool,
}

impl SoftwareLog {
    /// Records the version in a load report.
    pub(crate) fn record(
        &mut self,
        engine: EngineId,
        software: &Option<SoftwareVersion>,
        now: Timestamp,
    ) {
        let is_same = self.latest.get(&engine) == Some(software);
        if is_same && !self.has_removed {
            return;
        }
        self.has_removed = false;
        self.changed_at = Some(now);
        if !is_same {
            self.latest.insert(engine, software.clone());
        }
    }

    /// Removes an engine. Its version may have begun answers until now.
    pub(crate) fn remove(&mut self, engine: EngineId) {
        self.has_removed |= self.latest.remove(&engine).is_some();
    }

    /// The version of all engines that have reported, if none of them has changed within `window`.
    pub(crate) fn sole_version(
        &self,
        window: Duration,
        now: Timestamp,
    ) -> Option<&SoftwareVersion> {
        let changed_at = self.changed_at.filter(|_| !self.has_removed)?;
        let mut versions = self.latest.values();
        let first = versions.next()?.as_ref()?;
        let is_sole = versions.all(|version| version.as_ref() == Some(first));
        (is_sole && now.since(changed_at) >= window).then_some(first)
    }
}

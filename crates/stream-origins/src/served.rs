//! Statements of what has served a service, and what follows from several of them.

use std::collections::BTreeSet;
use std::time::Duration;

use juniper_registry::SoftwareVersion;
use minicbor::{Decode, Encode};

/// Software version that has served a service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServedVersion {
    /// The version; `None` for servers of unknown version.
    #[n(0)]
    pub software: Option<SoftwareVersion>,
    /// Time since its last server was removed, in milliseconds; `None` while there is one.
    #[n(1)]
    pub gone_ms: Option<u64>,
}

impl ServedVersion {
    fn is_recent(&self, window: Duration) -> bool {
        self.gone_ms.is_none_or(|gone_ms| Duration::from_millis(gone_ms) < window)
    }
}

/// Software versions that have served a service, as one router or replica knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ServedVersions {
    /// Time for which all versions are known, in milliseconds; zero if the observer has just started.
    #[n(0)]
    pub known_ms: u64,
    /// Known versions.
    #[n(1)]
    pub versions: Vec<ServedVersion>,
}

impl ServedVersions {
    /// Whether all versions within the window are known.
    pub fn covers(&self, window: Duration) -> bool {
        Duration::from_millis(self.known_ms) >= window
    }
}

/// The only version that has served within `window`. `None` if there were several, if one was unknown,
/// or if no statement covers the window: a version may have gone before its observer started.
pub fn sole_version(statements: &[ServedVersions], window: Duration) -> Option<SoftwareVersion> {
    if !statements.iter().any(|statement| statement.covers(window)) {
        return None;
    }
    let versions = statements.iter().flat_map(|statement| &statement.versions);
    let recent = versions.filter(|version| version.is_recent(window));
    let recent: BTreeSet<&Option<SoftwareVersion>> =
        recent.map(|version| &version.software).collect();
    let mut recent = recent.into_iter();
    recent.next().filter(|_| recent.next().is_none())?.clone()
}

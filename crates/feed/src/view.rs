//! State of the fleet as known to one node.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use juniper_catalog::CatalogIndex;
use juniper_protocol::message::KnownVersion;
use juniper_registry::{InstanceId, InstanceMap};
use juniper_types::{RequestFingerprint, Timestamp};

/// Versions of a model's weights that the fleet should run.
///
/// Each version is kept with the time of its announcement, as far as known, since the deadline after
/// which older versions may not be used any more runs separately for each. This node may have started
/// later, so the replicas report for how long they have known a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WantedWeights {
    announced: VecDeque<(u64, Timestamp)>,
}

/// Smallest correction of the time of an announcement that changes the view.
const MIN_CORRECTION: Duration = Duration::from_millis(100);

/// Maximum number of versions kept per model.
const MAX_ANNOUNCED_VERSIONS: usize = 16;

impl WantedWeights {
    /// Records that a version had been announced at `at`. Returns whether that was not known: of
    /// several times the earliest is the closest one, since news is never early.
    pub fn record_version(&mut self, version: u64, at: Timestamp) -> bool {
        match self.announced.binary_search_by_key(&version, |(announced, _)| *announced) {
            Ok(index) => {
                let known = &mut self.announced[index].1;
                let is_earlier = known.since(at) > MIN_CORRECTION;
                if is_earlier {
                    *known = at;
                }
                is_earlier
            }
            Err(index) => {
                self.announced.insert(index, (version, at));
                if self.announced.len() > MAX_ANNOUNCED_VERSIONS {
                    self.announced.pop_front();
                }
                true
            }
        }
    }

    /// Latest announced version; zero if none.
    pub fn version(&self) -> u64 {
        self.announced.back().map_or(0, |(version, _)| *version)
    }

    /// Time at which the latest version was announced.
    pub fn since(&self) -> Option<Timestamp> {
        self.announced.back().map(|(_, since)| *since)
    }

    /// Latest version that was announced at least `after` ago; zero if none.
    pub fn floor(&self, now: Timestamp, after: Duration) -> u64 {
        let old = self.announced.iter().rev().find(|(_, since)| now.since(*since) >= after);
        old.map_or(0, |(version, _)| *version)
    }

    /// Time at which the first version above `version` was announced.
    pub fn overdue_since(&self, version: u64) -> Option<Timestamp> {
        self.announced.iter().find(|(announced, _)| *announced > version).map(|(_, since)| *since)
    }
}

/// State of the fleet as known to one node. Views are monotonic: a later view has the same or a
/// newer configuration, and a departed server isn't added again.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Log index up to which the view is complete.
    pub revision: u64,
    /// Catalog in force, if one has been received.
    pub catalog: Option<Arc<CatalogIndex>>,
    /// Wanted weights by model.
    pub weights: BTreeMap<String, WantedWeights>,
    /// Usable servers, each in its latest incarnation. Departing and departed servers are excluded,
    /// and so are those whose address another server has taken over.
    pub instances: InstanceMap,
    /// Servers that get no new requests during a rollout of new weights.
    pub renewing: Arc<BTreeSet<InstanceId>>,
    /// Versions of weights that servers have loaded but not reported themselves yet.
    pub versions: Arc<Vec<KnownVersion>>,
    /// Requests that may be sent to no server because servers crashed under them.
    pub quarantined: Arc<BTreeSet<RequestFingerprint>>,
}

impl FleetView {
    /// Version of the catalog in force; zero if none.
    pub fn catalog_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |index| index.catalog().version)
    }
}

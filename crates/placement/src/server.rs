//! One server as a router knows it.

use std::sync::Arc;
use std::time::Duration;

use juniper_limits::ServerLimit;
use juniper_registry::Instance;
use juniper_types::Timestamp;

use crate::fleet_load::FleetLoad;
use crate::health::Health;
use crate::kept_parts::KeptParts;
use crate::load::Load;
use crate::memory::MemoryTurnover;
use crate::reports::Reports;

/// What is known of a server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) instance: Arc<Instance>,
    /// Its place in the list of its service.
    pub(crate) place: usize,
    pub(crate) hash: u64,
    pub(crate) health: Health,
    /// What other routers say of it.
    pub(crate) reports: Reports,
    pub(crate) load: Load,
    /// What all routers together have sent to it.
    pub(crate) fleet_load: FleetLoad,
    /// Highest version of weights that it answered with.
    pub(crate) seen_version: u64,
    /// It takes no new requests, because it is given new weights.
    pub(crate) renewing: bool,
    /// It has asked a router for a rest, which may be over.
    pub(crate) has_asked_for_rest: bool,
    /// It has said in an answer that it leaves.
    pub(crate) is_leaving: bool,
    /// What it takes from all routers together, if it states that.
    pub(crate) limit: Option<ServerLimit>,
    pub(crate) turnover: MemoryTurnover,
    /// What it should keep of what all routers have sent.
    pub(crate) kept: KeptParts,
}

impl Server {
    /// A server of which nothing is known but its report.
    pub(crate) fn new(instance: Arc<Instance>, place: usize) -> Self {
        let hash = hash_of(instance.id.as_str());
        let (health, load) = (Health::default(), Load::default());
        Server {
            instance,
            place,
            hash,
            health,
            reports: Reports::default(),
            load,
            fleet_load: FleetLoad::default(),
            seen_version: 0,
            renewing: false,
            has_asked_for_rest: false,
            is_leaving: false,
            limit: None,
            turnover: MemoryTurnover::default(),
            kept: KeptParts::default(),
        }
    }

    /// Time until it takes a request again; `None` if it takes one now.
    pub(crate) fn pause(&self, now: Timestamp) -> Option<Duration> {
        self.limit.as_ref()?.remaining_wait(now)
    }

    /// Version of the model's weights that it is known to have; zero for none.
    pub(crate) fn version_of(&self, model: &str) -> u64 {
        self.instance.report.version_of(model).unwrap_or(0).max(self.seen_version)
    }
}

/// FNV-1a, the same in every process and version.
fn hash_of(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

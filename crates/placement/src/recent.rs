//! Where shared parts were sent lately, by this router and the others.

use std::collections::HashMap;
use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

/// Time after which a server may have let the parts go.
const KEPT_FOR: Duration = Duration::from_secs(25);

/// Beginnings of chains remembered; long unused ones make room.
const MAX_CHAINS: usize = 8_192;

/// Servers remembered for each; the one used longest ago makes room.
const MAX_HOLDERS: usize = 4;

/// Shared parts of a prompt that were sent to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainSighting {
    /// The server.
    pub instance: InstanceId,
    /// Version of its weights.
    pub version: u64,
    /// Names each beginning of the chain.
    pub keys: Vec<u64>,
    /// Tokens that the server had to read or fetch.
    pub tokens: u32,
    /// Tokens among those that it had to read.
    pub read_tokens: u32,
}

#[derive(Clone, Debug)]
struct Holder {
    instance: InstanceId,
    version: u64,
    at: Timestamp,
}

/// Servers that should have the beginnings of chains.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentChains(HashMap<u64, Vec<Holder>>);

impl RecentChains {
    /// Takes a sighting in.
    pub(crate) fn record(&mut self, sighting: &ChainSighting, now: Timestamp) {
        for key in &sighting.keys {
            self.record_key(*key, sighting, now);
        }
    }

    fn record_key(&mut self, key: u64, sighting: &ChainSighting, now: Timestamp) {
        if self.0.len() >= MAX_CHAINS && !self.0.contains_key(&key) {
            self.0.retain(|_, holders| holders.iter().any(|known| now.since(known.at) < KEPT_FOR));
            if self.0.len() >= MAX_CHAINS {
                return;
            }
        }
        let holders = self.0.entry(key).or_default();
        holders.retain(|known| known.instance != sighting.instance);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        let (instance, version) = (sighting.instance.clone(), sighting.version);
        holders.push(Holder { instance, version, at: now });
    }

    /// The servers that should have this beginning under weights of `version`, the
    /// one used last first.
    pub(crate) fn holders(
        &self,
        key: u64,
        version: u64,
        now: Timestamp,
    ) -> impl Iterator<Item = &InstanceId> {
        let known = self.0.get(&key).into_iter().flatten().rev();
        let fits =
            move |known: &&Holder| known.version == version && now.since(known.at) < KEPT_FOR;
        known.filter(fits).map(|known| &known.instance)
    }
}

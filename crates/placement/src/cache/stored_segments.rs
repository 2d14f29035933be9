//! Model of the prefix segments in the KV stores.
//!
//! Stores don't publish their contents, and a query per request would delay the first output. Each
//! router applies the saves that all routers request to a model of each store. Dispatch reports
//! don't state whether a save was requested; [`is_worth_storing`] derives it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_prefix_index::rendezvous;
use juniper_types::Timestamp;

use crate::cache::cached_segments::DispatchedPrompt;
use crate::choice::KvStore;
use crate::homes::ChainKeys;
use crate::server::fnv1a;

/// Maximum number of recorded uses in all stores together: about 2 MB. Stores of 3.7 million tokens
/// hold 400 prompts of 9,000 tokens, which are some thousand uses.
const MAX_USES: usize = 24_576;

/// Age after which a segment that was neither saved nor fetched counts as evicted. A store may have
/// restarted or evicted segments for saves that weren't reported.
const MAX_UNCONFIRMED_AGE: Duration = Duration::from_secs(30);

/// Number of successive misses after which a store counts as empty. A single late first output can
/// also come from a slow server.
const MISSES_OF_EMPTY_STORE: u32 = 4;

/// Whether a prompt should be saved in a store after its prefill. The server saves the whole prompt
/// including its unshared end, which takes up bandwidth and space of the store. So shared segments
/// must be computed, and they must be most of the prompt.
pub(crate) fn is_worth_storing(prefill_tokens: u32, own_tokens: u32, shared_tokens: u32) -> bool {
    prefill_tokens > own_tokens && own_tokens < shared_tokens
}

/// Scope of segment keys: other services and other versions of the weights can't use the segments.
pub(crate) fn scope_of(service: &str, version: u64) -> u64 {
    rendezvous::score(fnv1a(service), version)
}

/// A fetch of segments from a store. Whether it succeeded shows in the time to first output.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StoreFetch {
    pub store: SocketAddrV4,
    /// Scope of the keys.
    pub scope: u64,
    /// Keys of the prompt's shared prefixes.
    pub keys: Vec<u64>,
    /// Time to first output up to which the store probably had the segments.
    pub hit_time: Duration,
    /// Time to first output from which it probably didn't have them.
    pub miss_time: Duration,
}

/// Segments that the stores are expected to hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredSegments {
    stores: HashMap<SocketAddrV4, StoreContents>,
}

/// Segments that one store is expected to hold.
#[derive(Clone, Debug)]
struct StoreContents {
    store: KvStore,
    segments: HashMap<u64, StoredSegment>,
    /// Uses, the most recent last. Only the most recent use of a segment counts.
    uses: VecDeque<Use>,
    /// Total tokens of the stored segments.
    tokens: u64,
    next_use: u64,
    /// Successive fetches that the store didn't serve.
    misses: u32,
}

/// State of a stored segment.
#[derive(Clone, Copy, Debug)]
struct StoredSegment {
    last_use: u64,
    tokens: u32,
    /// Expected end of the first save.
    stored_at: Timestamp,
    /// Expected end of the last save or fetch.
    confirmed_at: Timestamp,
    /// Whether the last fetch seems to have failed. A slow server looks the same.
    is_missing: bool,
}

/// A use of a segment.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// Scoped key of the segment; `None` for the unshared end of a prompt.
    key: Option<u64>,
    tokens: u32,
    number: u64,
}

impl StoredSegments {
    /// Sets the stores of the configuration. The contents of a store that was removed or changed
    /// are dropped.
    pub(crate) fn set_stores<'a>(&mut self, stores: impl Iterator<Item = &'a KvStore>) {
        let mut former = std::mem::take(&mut self.stores);
        for store in stores {
            if self.stores.contains_key(&store.address) {
                continue;
            }
            let known = former.remove(&store.address).filter(|known| known.store == *store);
            let contents = known.unwrap_or_else(|| StoreContents::new(store.clone()));
            self.stores.insert(store.address, contents);
        }
    }

    /// Records that a server was asked to save the prompt in the store; `saved_at` is the expected
    /// end of the prefill.
    pub(crate) fn record_save(
        &mut self,
        store: SocketAddrV4,
        scope: u64,
        prompt: DispatchedPrompt<'_>,
    ) {
        let max_uses = MAX_USES / self.stores.len().max(1);
        let Some(contents) = self.stores.get_mut(&store) else { return };
        let tokens: u32 = prompt.tokens.iter().sum::<u32>().saturating_add(prompt.own_tokens);
        let upload_ms = f64::from(tokens) * contents.store.transfer_ms_per_token;
        let stored_at = prompt.computed_at.after(Duration::from_secs_f64(upload_ms / 1_000.0));
        for (key, tokens) in prompt.keys.iter().zip(prompt.tokens) {
            contents.record_use(Some(rendezvous::score(scope, *key)), *tokens, stored_at);
        }
        contents.record_use(None, prompt.own_tokens, stored_at);
        contents.evict_least_recently_used(max_uses);
    }

    /// Records the time to first output of a prompt whose segments were fetched from a store. If it
    /// is as long as without the store, twice in a row, the segments are removed, and after more
    /// misses, all: the store has restarted.
    pub(crate) fn record_fetch(&mut self, fetch: &StoreFetch, took: Duration, now: Timestamp) {
        let is_hit = took <= fetch.hit_time;
        if !is_hit && took < fetch.miss_time {
            return;
        }
        let max_uses = MAX_USES / self.stores.len().max(1);
        let Some(contents) = self.stores.get_mut(&fetch.store) else { return };
        contents.misses = if is_hit { 0 } else { contents.misses + 1 };
        if contents.misses >= MISSES_OF_EMPTY_STORE {
            *contents = StoreContents::new(contents.store.clone());
            return;
        }
        for key in fetch.keys.iter().map(|key| rendezvous::score(fetch.scope, *key)) {
            let Some(known) = contents.segments.get_mut(&key) else { continue };
            let was_missing = std::mem::replace(&mut known.is_missing, !is_hit);
            if is_hit {
                let tokens = known.tokens;
                contents.record_use(Some(key), tokens, now);
            } else if was_missing {
                contents.remove(key);
            }
        }
        contents.evict_least_recently_used(max_uses);
    }

    /// The store of the configuration with this address.
    pub(crate) fn store(&self, address: SocketAddrV4) -> Option<&KvStore> {
        self.stores.get(&address).map(|contents| &contents.store)
    }

    /// For each store that holds shared segments of the prompt, the tokens of the longest prefix.
    pub(crate) fn holders(
        &self,
        scope: u64,
        chain: &ChainKeys,
        now: Timestamp,
    ) -> Vec<(&KvStore, u32)> {
        let held = |contents: &StoreContents| {
            let mut longest_first = chain.keys.iter().zip(&chain.tokens).rev();
            let held = longest_first
                .find(|(key, _)| contents.holds(rendezvous::score(scope, **key), now))?;
            Some(*held.1)
        };
        let stores = self.stores.values();
        stores.filter_map(|contents| Some((&contents.store, held(contents)?))).collect()
    }
}

impl StoreContents {
    fn new(store: KvStore) -> Self {
        let (segments, uses) = (HashMap::new(), VecDeque::new());
        StoreContents { store, segments, uses, tokens: 0, next_use: 0, misses: 0 }
    }

    fn holds(&self, key: u64, now: Timestamp) -> bool {
        self.segments.get(&key).is_some_and(|known| {
            known.stored_at <= now && now.since(known.confirmed_at) < MAX_UNCONFIRMED_AGE
        })
    }

    fn record_use(&mut self, key: Option<u64>, tokens: u32, confirmed_at: Timestamp) {
        let number = self.next_use;
        self.next_use += 1;
        self.uses.push_back(Use { key, tokens, number });
        if let Some(known) = key.and_then(|key| self.segments.get_mut(&key)) {
            let has_expired = confirmed_at.since(known.confirmed_at) >= MAX_UNCONFIRMED_AGE;
            known.last_use = number;
            known.is_missing = false;
            known.confirmed_at = known.confirmed_at.max(confirmed_at);
            if has_expired {
                known.stored_at = confirmed_at;
            }
            return;
        }
        self.tokens += u64::from(tokens);
        if let Some(key) = key {
            let (last_use, stored_at) = (number, confirmed_at);
            let is_missing = false;
            let segment = StoredSegment { last_use, tokens, stored_at, confirmed_at, is_missing };
            self.segments.insert(key, segment);
        }
    }

    fn remove(&mut self, key: u64) {
        if let Some(removed) = self.segments.remove(&key) {
            self.tokens = self.tokens.saturating_sub(u64::from(removed.tokens));
        }
    }

    /// Evicts the least recently used segments until the rest fits.
    fn evict_least_recently_used(&mut self, max_uses: usize) {
        let capacity = self.store.capacity_tokens;
        while (self.uses.len() > max_uses || (capacity > 0 && self.tokens > capacity))
            && let Some(oldest) = self.uses.pop_front()
        {
            match oldest.key {
                None => self.tokens = self.tokens.saturating_sub(u64::from(oldest.tokens)),
                Some(key) => {
                    let known = self.segments.get(&key);
                    if known.is_some_and(|known| known.last_use == oldest.number) {
                        self.remove(key);
                    }
                }
            }
        }
    }
}

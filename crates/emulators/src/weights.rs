//! Model of the weight store, whose bandwidth is shared by concurrent loads.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_types::Timestamp;

/// Maximum rate of one load, in bytes per second: 16 Gbit/s of a machine's link.
pub const LOAD_BYTES_PER_SECOND: u64 = 2_000_000_000;

/// Concurrent loads that the store serves at the full rate (Granite Ledger; Pryderi has two).
pub const FULL_RATE_LOADS: u32 = 3;

/// Id of a load within one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadId(pub u64);

/// Loads in progress. Each runs at the full rate up to the limit of concurrent loads, at an equal
/// share of the total bandwidth beyond that.
#[derive(Clone, Debug)]
pub struct WeightStore {
    bytes_per_second: f64,
    full_rate_loads: u32,
    updated_at: Timestamp,
    started: u64,
    remaining: BTreeMap<LoadId, f64>,
}

impl WeightStore {
    /// Creates a store that serves `full_rate_loads` loads at `bytes_per_second` each.
    pub fn new(bytes_per_second: u64, full_rate_loads: u32) -> Self {
        WeightStore {
            bytes_per_second: bytes_per_second as f64,
            full_rate_loads: full_rate_loads.max(1),
            updated_at: Timestamp::ZERO,
            started: 0,
            remaining: BTreeMap::new(),
        }
    }

    /// Current rate of each load, in bytes per second.
    fn rate(&self) -> f64 {
        let active = self.remaining.len().max(1) as f64;
        self.bytes_per_second * (f64::from(self.full_rate_loads) / active).min(1.0)
    }

    /// Starts a load of `bytes`.
    pub fn start(&mut self, bytes: u64, now: Timestamp) -> LoadId {
        self.advance(now);
        self.started += 1;
        let id = LoadId(self.started);
        self.remaining.insert(id, bytes as f64);
        id
    }

    /// Aborts a load and releases its share of the bandwidth.
    pub fn abandon(&mut self, id: LoadId, now: Timestamp) {
        self.advance(now);
        self.remaining.remove(&id);
    }

    /// Returns whether the load is still in progress at `now`.
    pub fn is_running(&mut self, id: LoadId, now: Timestamp) -> bool {
        self.advance(now);
        self.remaining.contains_key(&id)
    }

    /// Time when the next load completes if no other starts; `None` without loads.
    pub fn next_end(&self) -> Option<Timestamp> {
        let shortest = self.remaining.values().copied().fold(f64::INFINITY, f64::min);
        let micros = (shortest / self.rate() * 1e6).ceil();
        micros.is_finite().then(|| self.updated_at.after(Duration::from_micros(micros as u64)))
    }

    /// Number of loads in progress.
    pub fn active(&self) -> usize {
        self.remaining.len()
    }

    /// Advances all loads to `now`; a load that completes releases its share to the others.
    fn advance(&mut self, now: Timestamp) {
        while let Some(end) = self.next_end().filter(|end| *end <= now) {
            self.transfer_until(end);
            // Completion times are rounded up to microseconds, so less than this may remain.
            let tolerance = self.bytes_per_second / 1e6;
            self.remaining.retain(|_, bytes| *bytes > tolerance);
        }
        self.transfer_until(now);
    }

    fn transfer_until(&mut self, at: Timestamp) {
        let bytes = self.rate() * at.since(self.updated_at).as_secs_f64();
        self.remaining
            .values_mut()
            .for_each(|remaining| *remaining = (*remaining - bytes).max(0.0));
        self.updated_at = self.updated_at.max(at);
    }
}

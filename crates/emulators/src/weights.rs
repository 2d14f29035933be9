//! The weight store: loads share its rate beyond a number of loads at once.

use std::collections::BTreeMap;

use juniper_types::Timestamp;

/// Fastest that one load runs, in bytes a second: 16 Gbit/s of a machine's link.
pub const LOAD_BYTES_PER_SECOND: u64 = 2_000_000_000;

/// Loads at once that the store serves at the full rate (Granite Ledger; Pryderi has two).
pub const FULL_RATE_LOADS: u32 = 3;

/// Number of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadId(pub u64);

/// Loads under way. Each has the full rate while there are few, an equal share otherwise.
#[derive(Clone, Debug)]
pub struct WeightStore {
    bytes_per_second: f64,
    full_rate_loads: u32,
    last: Timestamp,
    started: u64,
    remaining: BTreeMap<LoadId, f64>,
}

impl WeightStore {
    /// A store that serves `full_rate_loads` loads at `bytes_per_second` each.
    pub fn new(bytes_per_second: u64, full_rate_loads: u32) -> Self {
        WeightStore {
            bytes_per_second: bytes_per_second as f64,
            full_rate_loads: full_rate_loads.max(1),
            last: Timestamp::ZERO,
            started: 0,
            remaining: BTreeMap::new(),
        }
    }

    /// Bytes a second that each load gets at this moment.
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

    /// Gives up a load, so that it no longer takes its share.
    pub fn abandon(&mut self, id: LoadId, now: Timestamp) {
        self.advance(now);
        self.remaining.remove(&id);
    }

    /// Whether the load has not ended by `now`.
    pub fn is_running(&mut self, id: LoadId, now: Timestamp) -> bool {
        self.advance(now);
        self.remaining.contains_key(&id)
    }

    /// When the next load ends if no other starts; `None` while there are none.
    pub fn next_end(&self) -> Option<Timestamp> {
        let least = self.remaining.values().copied().fold(f64::INFINITY, f64::min);
        let micros = (least / self.rate() * 1e6).ceil();
        micros.is_finite().then(|| Timestamp(self.last.0 + micros as u64))
    }

    /// Loads under way.
    pub fn active(&self) -> usize {
        self.remaining.len()
    }

    /// Runs all loads until `now`; those that end on the way leave their share to the rest.
    fn advance(&mut self, now: Timestamp) {
        while let Some(end) = self.next_end().filter(|end| *end <= now) {
            self.run_until(end);
            // Rounding leaves at most a microsecond's worth.
            let rest = self.bytes_per_second / 1e6;
            self.remaining.retain(|_, bytes| *bytes > rest);
        }
        self.run_until(now);
    }

    fn run_until(&mut self, at: Timestamp) {
        let bytes = self.rate() * at.since(self.last).as_secs_f64();
        self.remaining.values_mut().for_each(|left| *left = (*left - bytes).max(0.0));
        self.last = self.last.max(at);
    }
}

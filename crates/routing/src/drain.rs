//! Tracking of departing back ends.
//!
//! A back end gets no new work while at least one source reports it as
//! departing. Sources can disagree because the platform's list lags, so a source
//! that withdraws its report doesn't override the others.

use std::collections::HashMap;
use std::hash::Hash;

use juniper_types::EngineId;

/// Source of a report that a back end is departing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DepartureSource {
    /// The platform's list of live and departing machines.
    Platform,
    /// The settings tree.
    Settings,
    /// The back end itself, in a load report or an answer.
    Engine,
}

impl DepartureSource {
    fn bit(self) -> u8 {
        match self {
            DepartureSource::Platform => 1,
            DepartureSource::Settings => 2,
            DepartureSource::Engine => 4,
        }
    }
}

/// Set of the sources that report a back end as departing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DepartureSources(u8);

impl DepartureSources {
    pub(crate) fn set(&mut self, source: DepartureSource, leaving: bool) {
        if leaving {
            self.0 |= source.bit();
        } else {
            self.0 &= !source.bit();
        }
    }

    pub(crate) fn contains(self, source: DepartureSource) -> bool {
        self.0 & source.bit() != 0
    }

    pub(crate) fn any(self) -> bool {
        self.0 != 0
    }
}

/// Departing back ends other than engines. [`crate::EngineTable`] tracks engines.
#[derive(Clone, Debug)]
pub struct DrainTracker<K = EngineId> {
    leaving: HashMap<K, DepartureSources>,
}

impl<K> Default for DrainTracker<K> {
    fn default() -> Self {
        DrainTracker { leaving: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> DrainTracker<K> {
    /// Creates a tracker without departing back ends.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether `source` reports `back_end` as departing.
    pub fn set_leaving(&mut self, back_end: K, source: DepartureSource, leaving: bool) {
        let sources = self.leaving.entry(back_end).or_default();
        sources.set(source, leaving);
        if !sources.any() {
            self.leaving.remove(&back_end);
        }
    }

    /// Whether any source reports `back_end` as departing.
    pub fn is_leaving(&self, back_end: K) -> bool {
        self.leaving.contains_key(&back_end)
    }

    /// Removes a back end that no longer exists.
    pub fn remove(&mut self, back_end: K) {
        self.leaving.remove(&back_end);
    }
}

//! Which back ends are leaving, and who says so.
//!
//! A back end gets no new work while any source says that it is leaving. The
//! sources contradict each other now and then, because the platform's list
//! lags; one that takes its word back doesn't overrule the others.

use std::collections::HashMap;
use std::hash::Hash;

use juniper_types::EngineId;

/// Who says that a back end is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeavingSource {
    /// The platform's list of live and leaving machines.
    Platform,
    /// The settings tree.
    Settings,
    /// The back end itself, in a load report or an answer.
    Engine,
}

impl LeavingSource {
    fn bit(self) -> u8 {
        match self {
            LeavingSource::Platform => 1,
            LeavingSource::Settings => 2,
            LeavingSource::Engine => 4,
        }
    }
}

/// A set of sources that say so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeavingSources(u8);

impl LeavingSources {
    pub(crate) fn set(&mut self, source: LeavingSource, leaving: bool) {
        if leaving {
            self.0 |= source.bit();
        } else {
            self.0 &= !source.bit();
        }
    }

    pub(crate) fn says(self, source: LeavingSource) -> bool {
        self.0 & source.bit() != 0
    }

    pub(crate) fn any(self) -> bool {
        self.0 != 0
    }
}

/// Which back ends are leaving; for back ends other than engines, which
/// [`crate::EngineTable`] tracks itself.
#[derive(Clone, Debug)]
pub struct DrainTracker<K = EngineId> {
    leaving: HashMap<K, LeavingSources>,
}

impl<K> Default for DrainTracker<K> {
    fn default() -> Self {
        DrainTracker { leaving: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> DrainTracker<K> {
    /// Nobody is leaving.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes what `source` says about `back_end`.
    pub fn set_leaving(&mut self, back_end: K, source: LeavingSource, leaving: bool) {
        let sources = self.leaving.entry(back_end).or_default();
        sources.set(source, leaving);
        if !sources.any() {
            self.leaving.remove(&back_end);
        }
    }

    /// Whether any source says that `back_end` is leaving.
    pub fn is_leaving(&self, back_end: K) -> bool {
        self.leaving.contains_key(&back_end)
    }

    /// Forgets a back end that is gone.
    pub fn remove(&mut self, back_end: K) {
        self.leaving.remove(&back_end);
    }
}

//! Addresses of all back ends, and the choice among application and preview servers.
//!
//! Model engines are chosen by the decision crates (`crate::engines`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use juniper_settings::BackEndKind;
use juniper_types::{EngineId, ZoneName};

use crate::in_force::InForce;

/// A back end picked for one attempt.
#[derive(Clone, Debug)]
pub struct Target {
    /// The back end.
    pub id: EngineId,
    /// Its address.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct BackEndState {
    kind: BackEndKind,
    address: SocketAddr,
    zone: ZoneName,
    leaving: bool,
    in_flight: u32,
    failures: u32,
}

/// Back ends of the settings in force.
#[derive(Debug, Default)]
pub struct BackEnds {
    table: Mutex<BTreeMap<EngineId, BackEndState>>,
    /// Set once the back ends of some settings in force were taken over.
    followed: AtomicBool,
}

/// Counts one request against a back end until it is dropped.
#[derive(Debug)]
pub struct Lease {
    back_ends: Arc<BackEnds>,
    /// The back end.
    pub target: Target,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(state) = self.back_ends.lock().get_mut(&self.target.id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

impl Lease {
    /// Notes that the back end failed, so that others are preferred.
    pub fn failed(&self) {
        if let Some(state) = self.back_ends.lock().get_mut(&self.target.id) {
            state.failures = state.failures.saturating_add(1);
        }
    }

    /// Notes that the back end answered.
    pub fn answered(&self) {
        if let Some(state) = self.back_ends.lock().get_mut(&self.target.id) {
            state.failures = 0;
        }
    }
}

impl BackEnds {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<EngineId, BackEndState>> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes over the back ends of new settings; work in flight stays counted.
    pub fn follow(&self, in_force: &InForce) {
        let mut table = self.lock();
        let mut next = BTreeMap::new();
        for (zone, back_end) in in_force.back_ends() {
            let known = table.get(&back_end.id).filter(|old| old.address == back_end.address);
            let state = BackEndState {
                kind: back_end.kind,
                address: back_end.address,
                zone: zone.clone(),
                leaving: back_end.leaving,
                in_flight: known.map_or(0, |old| old.in_flight),
                failures: known.map_or(0, |old| old.failures),
            };
            next.insert(back_end.id, state);
        }
        *table = next;
        if in_force.revision.0 > 0 {
            self.followed.store(true, Ordering::Release);
        }
    }

    /// Whether the back ends of some settings in force were taken over.
    pub fn has_followed(&self) -> bool {
        self.followed.load(Ordering::Acquire)
    }

    /// Whether the settings say that the back end is leaving, or don't name it any more.
    pub fn is_leaving(&self, id: EngineId) -> bool {
        self.lock().get(&id).is_none_or(|state| state.leaving)
    }

    /// Where the back end is reached.
    pub fn address(&self, id: EngineId) -> Option<SocketAddr> {
        self.lock().get(&id).map(|state| state.address)
    }

    /// Picks the least busy back end of `kind`, own zone first among equals,
    /// passing over those in `excluded`.
    pub fn choose(
        self: &Arc<Self>,
        kind: BackEndKind,
        zone: &ZoneName,
        excluded: &[EngineId],
    ) -> Option<Lease> {
        let mut table = self.lock();
        let (id, state) = table
            .iter_mut()
            .filter(|(id, state)| state.kind == kind && !state.leaving && !excluded.contains(id))
            .min_by_key(|(_, state)| (state.failures, state.in_flight, state.zone != *zone))?;
        state.in_flight += 1;
        let target = Target { id: *id, address: state.address };
        Some(Lease { back_ends: Arc::clone(self), target })
    }
}

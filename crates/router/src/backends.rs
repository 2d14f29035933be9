//! Addresses of all back ends, and load balancing over application and preview servers.
//!
//! Model engines are chosen in [`crate::engines`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use juniper_settings::BackEndKind;
use juniper_types::{EngineId, ZoneName};

use crate::in_force::SettingsInForce;

/// Back end chosen for one attempt.
#[derive(Clone, Debug)]
pub struct Target {
    /// Id of the back end.
    pub id: EngineId,
    /// Address of the back end.
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
    /// Set once back ends from a nonzero settings revision were applied.
    has_settings: AtomicBool,
}

/// Counts one request as in flight at a back end until dropped.
#[derive(Debug)]
pub struct Lease {
    back_ends: Arc<BackEnds>,
    /// Chosen back end.
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
    /// Records a failure of the back end, so that others are preferred.
    pub fn record_failure(&self) {
        if let Some(state) = self.back_ends.lock().get_mut(&self.target.id) {
            state.failures = state.failures.saturating_add(1);
        }
    }

    /// Records an answer of the back end and resets its failure count.
    pub fn record_success(&self) {
        if let Some(state) = self.back_ends.lock().get_mut(&self.target.id) {
            state.failures = 0;
        }
    }
}

impl BackEnds {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<EngineId, BackEndState>> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Applies the back ends of new settings and keeps the counts of requests in flight.
    pub fn apply_settings(&self, in_force: &SettingsInForce) {
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
            self.has_settings.store(true, Ordering::Release);
        }
    }

    /// Whether back ends from a nonzero settings revision were applied.
    pub fn has_applied_settings(&self) -> bool {
        self.has_settings.load(Ordering::Acquire)
    }

    /// Whether the back end is marked as leaving in the settings or removed from them.
    pub fn is_leaving(&self, id: EngineId) -> bool {
        self.lock().get(&id).is_none_or(|state| state.leaving)
    }

    /// Returns the address of the back end.
    pub fn address(&self, id: EngineId) -> Option<SocketAddr> {
        self.lock().get(&id).map(|state| state.address)
    }

    /// Chooses the back end of `kind` with the fewest failures and requests in flight,
    /// preferring `zone` among equals and skipping those in `excluded`.
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

//! Updates of the loss watches and transfers of tight services.

use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::cache::stored_segments::{StoreFetch, scope_of};
use crate::choice::Choice;
use crate::placement::Placement;

/// Minimum prefill time that a fetch from a store saves, in milliseconds, for the time to first
/// output to show whether it succeeded. Delays of the network and of decode steps reach this much.
const MIN_SHOWN_MS: f64 = 40.0;

impl Placement {
    /// Records that an incarnation became usable or unusable.
    pub(crate) fn record_usability(&mut self, id: &InstanceId, is_usable: bool, now: Timestamp) {
        let Some(server) = self.server(id) else { return };
        let (service, hash) = (server.instance.report.service.as_str(), server.hash);
        if !self.profile(service).is_tight {
            return;
        }
        let (service, servers) =
            (service.to_owned(), self.services.get(service).map_or(0, Vec::len));
        let losses = self.losses.entry(service).or_default();
        if is_usable {
            losses.record_recovered(hash, servers);
        } else {
            losses.record_lost(hash, servers, now);
        }
    }

    /// Records the KV transfer that a server was asked to make. Returns the fetch if it is from a
    /// store and its success will be visible.
    pub(crate) fn begin_transfer(&mut self, choice: &Choice, now: Timestamp) -> Option<StoreFetch> {
        let server = self.server(&choice.instance)?;
        let service = server.instance.report.service.as_str();
        let profile = self.profile(service);
        let source = choice.source?;
        let tokens = choice.inserted_tokens.saturating_sub(choice.prefill_tokens);
        if !profile.is_tight || tokens == 0 {
            return None;
        }
        let store = self.stored.store(source);
        let store_ms = store.map_or(0.0, |store| store.transfer_ms_per_token);
        let transfer_ms = f64::from(tokens) * profile.transfer_ms_per_token.max(store_ms);
        let wait_ms = self.transfers.wait_ms(source, now);
        let speed = self.speeds.get(service).copied().unwrap_or_default();
        let is_shown = !choice.is_late && speed.ms_for(f64::from(tokens)) >= MIN_SHOWN_MS;
        let queued = server.fleet_load.queued_tokens(speed, now);
        let miss_ms = speed.ms_for(queued + f64::from(tokens)) + wait_ms;
        let fetch = store.filter(|_| is_shown).map(|store| StoreFetch {
            store: store.address,
            scope: scope_of(service, choice.version),
            keys: choice.keys.clone(),
            miss_time: Duration::from_secs_f64(miss_ms / 1_000.0),
        });
        self.transfers.add(source, Duration::from_secs_f64(transfer_ms / 1_000.0), now);
        fetch
    }
}

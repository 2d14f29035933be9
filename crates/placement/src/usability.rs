//! Which servers can be reached, and in tight services losses of servers and expected transfers.

use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::cache::stored_segments::{StoreFetch, scope_of};
use crate::choice::Choice;
use crate::placement::{Placement, incarnation_mut};
use crate::reachability_reports::Reporter;

/// Minimum prefill time that a fetch from a store saves, in milliseconds, for the time to first
/// output to show whether it succeeded. Delays of the network and of decode steps reach this much.
const MIN_SHOWN_MS: f64 = 40.0;

impl Placement {
    /// Records that an incarnation became usable or unusable.
    pub(crate) fn record_usability(&mut self, id: &InstanceId, is_usable: bool, now: Timestamp) {
        let Some(server) = self.server(id) else { return };
        let (service, hash) = (server.instance.report.service.as_str(), server.hash);
        // A server that another router reaches may still be unreachable for this one.
        let is_unreachable = server.health.is_unreachable();
        if !self.profile(service).is_tight {
            return;
        }
        let (service, servers) =
            (service.to_owned(), self.services.get(service).map_or(0, Vec::len));
        let losses = self.losses.entry(service).or_default();
        if is_usable && !is_unreachable {
            losses.record_recovered(hash, servers);
        } else if !is_usable {
            losses.record_lost(hash, servers, now);
        }
    }

    /// Records another router's report on whether it can reach the server. Returns whether the
    /// report changes the server to unreachable for this router.
    pub fn apply_peer_reachability(
        &mut self,
        reporter: Reporter<'_>,
        instance: &InstanceId,
        reached: bool,
        now: Timestamp,
    ) -> bool {
        let Some(server) = incarnation_mut(&mut self.servers, instance) else { return false };
        if reached {
            server.unreachable_reports.clear();
            self.record_usability(instance, true, now);
            return false;
        }
        let was_confirmed = server.unreachable_reports.is_confirmed(&self.zone, now);
        server.unreachable_reports.add(reporter, now);
        let is_confirmed = server.unreachable_reports.is_confirmed(&self.zone, now);
        if is_confirmed {
            self.record_usability(instance, false, now);
        }
        !was_confirmed && is_confirmed
    }

    /// Takes the unreachable servers whose next probe is due, with their addresses. Until a probe
    /// succeeds, they only get requests if no other server is available.
    pub fn take_due_probes(&mut self, now: Timestamp) -> Vec<(InstanceId, SocketAddrV4)> {
        let due = self.servers.values_mut().filter_map(|server| {
            let is_due = server.health.take_due_probe(now);
            is_due.then(|| (server.instance.id.clone(), server.instance.report.address))
        });
        due.collect()
    }

    /// Records a successful probe of the server.
    pub fn record_probe_success(&mut self, instance: &InstanceId) {
        if let Some(server) = self.server_mut(instance) {
            server.health.mark_reachable();
            server.unreachable_reports.clear();
            self.record_usability(instance, true, self.last_event);
        }
    }

    /// Records the KV transfer that a server was asked to make. Returns the fetch if it is from a
    /// store and its success will be visible.
    pub(crate) fn begin_transfer(&mut self, choice: &Choice, now: Timestamp) -> Option<StoreFetch> {
        let server = self.server(&choice.instance)?;
        let service = server.instance.report.service.as_str();
        let profile = self.profile(service);
        let source = choice.source?;
        let tokens = f64::from(choice.inserted_tokens.saturating_sub(choice.prefill_tokens));
        if !profile.is_tight || tokens == 0.0 {
            return None;
        }
        let store = self.stored.store(source);
        let store_ms = store.map_or(0.0, |store| store.transfer_ms_per_token);
        let transfer_ms = tokens * profile.transfer_ms_per_token.max(store_ms);
        let saved_ms = self.timing_model(service, now).prefill_ms(tokens);
        let is_shown = !choice.is_late && saved_ms >= MIN_SHOWN_MS;
        let expected = choice.expected.filter(|_| is_shown);
        let fetch = store.zip(expected).map(|(store, expected)| {
            // A miss replaces the transfer by the prefill.
            let difference_ms = saved_ms - choice.transfer_ms;
            let time = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1_000.0);
            StoreFetch {
                store: store.address,
                scope: scope_of(service, choice.version),
                keys: choice.keys.clone(),
                hit_time: time(expected.first_output_ms + difference_ms / 2.0),
                miss_time: time(expected.first_output_ms + difference_ms.max(saved_ms / 2.0)),
            }
        });
        self.transfers.add(source, Duration::from_secs_f64(transfer_ms / 1_000.0), now);
        fetch
    }
}

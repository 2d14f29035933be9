//! Concurrency limits of calls without prompts.

use std::collections::HashMap;

use juniper_admission::{ConcurrencyLimit, Resource, ServerCalls};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::admission::{Overload, Shortage, StartEstimate};
use crate::choice::Ticket;
use crate::health::Outcome;
use crate::placement::Placement;
use crate::request::ServerRequest;
use crate::server::Server;

/// Concurrency limits by service.
pub(crate) type CallLimits = HashMap<String, ConcurrencyLimit>;

impl Placement {
    /// Whether calls without prompts to the service are limited by concurrency.
    pub(crate) fn limits_calls(&self, service: &str) -> bool {
        let profile = self.profile(service);
        profile.is_tight && profile.cache_tokens == 0
    }

    /// Calls in flight at the server, if the concurrency of its service is measured.
    pub(crate) fn calls_at(&self, instance: &InstanceId, now: Timestamp) -> Option<ServerCalls> {
        let server = self.server(instance)?;
        self.limits_calls(&server.instance.report.service).then(|| server_calls(server, now))
    }

    /// Records the latency of a completed call.
    pub(crate) fn record_call(&mut self, ticket: &Ticket, outcome: Outcome, now: Timestamp) {
        let Some(calls) = ticket.calls.filter(|_| outcome == Outcome::Answered) else { return };
        let Some(server) = self.server(&ticket.instance) else { return };
        let service = server.instance.report.service.clone();
        let limit = self.call_limits.entry(service).or_default();
        limit.record(calls, now.since(ticket.started_at));
    }

    /// Returns why a call without prompt isn't sent to the chosen one of `servers`, if so.
    pub(crate) fn call_overload(
        &self,
        request: &ServerRequest<'_>,
        servers: &[&Server],
        chosen: usize,
        now: Timestamp,
    ) -> Option<Overload> {
        let limit = self.call_limits.get(request.service)?;
        limit.decide([server_calls(servers[chosen], now)].into_iter(), request.time_left).err()?;
        let calls = servers.iter().map(|server| server_calls(server, now));
        let overload = limit.decide(calls, request.time_left).err()?;
        let expected_ms = overload.expected.as_secs_f64() * 1_000.0;
        Some(Overload {
            estimate: StartEstimate { first_output_ms: expected_ms, wait_ms: expected_ms },
            lower_quartile_wait_ms: expected_ms,
            limit_ms: overload.time_limit.as_secs_f64() * 1_000.0,
            shortage: Some(Shortage {
                resource: Resource::Calls,
                size_class: None,
                share: overload.limit / overload.in_flight.max(1.0),
            }),
        })
    }
}

fn server_calls(server: &Server, now: Timestamp) -> ServerCalls {
    let in_flight = server.fleet_load.requests(now).max(server.load.requests as usize);
    ServerCalls { in_flight: in_flight as f64, slots: server.instance.report.slots }
}

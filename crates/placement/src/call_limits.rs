//! Concurrency limits of calls without prompts.

use std::collections::HashMap;

use juniper_admission::{ConcurrencyLimit, ServerCalls};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::admission::{Overload, Resource, StartEstimate};
use crate::choice::Ticket;
use crate::cost::ServerView;
use crate::health::Outcome;
use crate::load::Load;
use crate::placement::Placement;
use crate::search::Considered;
use crate::server::Server;

/// Concurrency limits by service.
pub(crate) type CallLimits = HashMap<String, ConcurrencyLimit>;

/// Cost by which a server without its load may exceed the cheapest one to be drawn, relative to the
/// objective. Keeps calls from servers that fail or were full.
const MAX_IDLE_COST: f64 = 0.25;

/// Number from 0 to 1, from the upper 32 bits of a random number.
fn fraction(random: u64) -> f64 {
    (random >> 32) as f64 / f64::from(u32::MAX)
}

/// Draws an index by weight; `None` if all weights are zero.
fn draw(weights: &[f64], random: f64) -> Option<usize> {
    let mut left = weights.iter().sum::<f64>() * random;
    let has_weight = |(_, weight): &(usize, &f64)| **weight > 0.0;
    let mut last = None;
    for (index, weight) in weights.iter().enumerate().filter(has_weight) {
        last = Some(index);
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}

impl Placement {
    /// Whether calls without prompts to the service are limited by concurrency.
    pub(crate) fn limits_calls(&self, service: &str) -> bool {
        let profile = self.profile(service);
        profile.is_tight && profile.cache_tokens == 0
    }

    /// Draws a server for a call, with its cost: the less loaded of two drawn by the calls that they
    /// can still answer in time. Returns `None` if no server can answer another call in time, or if
    /// calls to the service aren't limited.
    ///
    /// Routers learn of each other's calls 15 to 60 ms late and would all send to the same server
    /// until then: of 1,200 calls per second from 24 routers, 488 were in time, of 600 that the
    /// servers can process.
    pub(crate) fn spread_call(&self, considered: &Considered<'_>) -> Option<(f64, usize)> {
        let Considered { request, servers, work, context, random } = *considered;
        if request.prompt.is_some() || !self.limits_calls(request.service) {
            return None;
        }
        let limit = self.call_limits.get(request.service).copied().unwrap_or_default();
        let view = |index: usize| self.server_view(servers[index], work[index], context);
        let idle_cost = |index: usize| {
            let load = Load::default();
            context.cost_ms(&ServerView { load, fleet_requests: 0.0, ..view(index) })
        };
        let costs: Vec<f64> = (0..servers.len()).map(idle_cost).collect();
        let least_cost = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let max_cost = least_cost + MAX_IDLE_COST * request.objective.as_secs_f64() * 1_000.0;
        let room = |(server, cost): (&&Server, &f64)| match *cost <= max_cost {
            true => limit.room(server_calls(server, context.now), request.time_left),
            false => 0.0,
        };
        let room: Vec<f64> = servers.iter().zip(&costs).map(room).collect();
        let drawn = [random.rotate_left(21), random.rotate_left(42)].into_iter();
        let drawn = drawn.filter_map(|bits| draw(&room, fraction(bits)));
        let index = drawn.max_by(|one, other| room[*one].total_cmp(&room[*other]))?;
        Some((context.cost_ms(&view(index)), index))
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
        considered: &Considered<'_>,
        chosen: usize,
    ) -> Option<Overload> {
        let Considered { request, servers, context, random, .. } = *considered;
        if !self.limits_calls(request.service) {
            return None;
        }
        let now = context.now;
        let limit = self.call_limits.get(request.service)?;
        let draw = fraction(random);
        let chosen = [server_calls(servers[chosen], now)].into_iter();
        limit.decide(chosen, request.time_left, draw).err()?;
        let calls = servers.iter().map(|server| server_calls(server, now));
        let overload = limit.decide(calls, request.time_left, draw).err()?;
        let expected_ms = overload.expected.as_secs_f64() * 1_000.0;
        Some(Overload {
            estimate: StartEstimate { first_output_ms: expected_ms, wait_ms: expected_ms },
            lower_quartile_wait_ms: expected_ms,
            limit_ms: overload.time_limit.as_secs_f64() * 1_000.0,
            resource: Resource::Calls,
        })
    }
}

fn server_calls(server: &Server, now: Timestamp) -> ServerCalls {
    let in_flight = server.fleet_load.requests(now).max(server.load.requests as usize);
    ServerCalls { in_flight: in_flight as f64, slots: server.instance.report.slots }
}

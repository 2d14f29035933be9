//! Search for the server with the lowest expected cost.

use std::time::Duration;

use juniper_prefix_index::rendezvous;
use juniper_types::Timestamp;

use crate::admission::{Overload, StartEstimate};
use crate::candidates::{is_usable, last_resort};
use crate::choice::{Choice, ChoiceError, ExpectedTiming, ServiceProfile};
use crate::cost::{CostContext, ServerView};
use crate::homes::ChainKeys;
use crate::placement::Placement;
use crate::prompt_work::PromptWork;
use crate::request::ServerRequest;
use crate::server::Server;
use crate::weights::ModelKey;

/// Costs that differ by less than this many milliseconds count as equal.
const TIE_MARGIN_MS: f64 = 1.0;

/// Bits by which the random number is rotated from one server to the next, to break ties
/// differently for each.
const TIE_ROTATION: u32 = 7;

/// Profile of an unknown service.
static DEFAULT_PROFILE: ServiceProfile = ServiceProfile {
    transfer_ms_per_token: 0.0,
    cache_tokens: 0,
    stores: Vec::new(),
    is_tight: false,
};

/// Time within which the longest queue of a server counts for the gaps of a new stream. Streams take
/// about that long.
const RECENT_PEAK_TIME: Duration = Duration::from_secs(1);

/// Maximum cost of a cold server, in milliseconds.
const MAX_COLD_COST_MS: f64 = 400.0;

impl Placement {
    /// Chooses a server for the request.
    ///
    /// # Errors
    /// Returns a [`ChoiceError`] if no server may be used.
    pub fn choose(
        &self,
        request: &ServerRequest<'_>,
        now: Timestamp,
        random: u64,
    ) -> Result<Choice, ChoiceError> {
        let members = self.services.get(request.service).map_or(&[][..], Vec::as_slice);
        if members.is_empty() {
            return Err(ChoiceError::NoServer);
        }
        let candidates = self.candidates(members, request, now)?;
        let usable = candidates.iter().copied().filter(|server| is_usable(server, request, now));
        let usable: Vec<&Server> = usable.collect();
        if usable.is_empty() {
            return Ok(last_resort(&candidates, request, random));
        }
        // If other routers can reach no server or are rejected by all, this router may still
        // succeed.
        let reachable =
            prefer_matching(usable, |server| !server.is_reported_unreachable(&self.zone, now));
        let preferred =
            prefer_matching(reachable, |server| !self.is_backing_off_from_peers(server, now));
        self.choose_cheapest(&preferred, request, now, random)
    }

    /// Chooses the server with the lowest cost; `random` breaks ties.
    fn choose_cheapest(
        &self,
        servers: &[&Server],
        request: &ServerRequest<'_>,
        now: Timestamp,
        random: u64,
    ) -> Result<Choice, ChoiceError> {
        let context = CostContext {
            timing: self.timing_model(request.service, now),
            objective: request.objective,
            max_gap: request.max_gap,
            mean_failure_rate: mean_failure_rate(servers, now),
            now,
        };
        let chain = request.prompt.map(|prompt| ChainKeys::of(prompt, request.sharing_key));
        let chain = chain.unwrap_or_default();
        let work_by_server = self.prompt_work(servers, request, &chain, now);
        let mut best: Option<(f64, u64, usize)> = None;
        for (index, server) in servers.iter().enumerate() {
            let cost = context.cost_ms(&self.server_view(server, work_by_server[index], &context));
            let tie = random.rotate_left(index as u32 * TIE_ROTATION) ^ server.hash;
            let is_better = best.is_none_or(|(least, least_tie, _)| {
                cost < least - TIE_MARGIN_MS || (cost < least + TIE_MARGIN_MS && tie < least_tie)
            });
            if is_better {
                best = Some((cost, tie, index));
            }
        }
        let (cost_ms, _, index) = best.ok_or(ChoiceError::NoServer)?;
        let considered =
            Considered { request, servers, work: &work_by_server, context: &context, random };
        let (cost_ms, index) = self.spread_call(&considered).unwrap_or((cost_ms, index));
        let model = request.prompt.map_or("", |prompt| prompt.model.as_str());
        let source = work_by_server[index]
            .source
            .map(|holder| pick_source(servers, &work_by_server, index, holder, (model, random)));
        let work = PromptWork { source, ..work_by_server[index] };
        let view = self.server_view(servers[index], work, &context);
        let expected = context.expected(&view);
        let first_output_ms = expected.first_output_ms;
        let estimate = StartEstimate { first_output_ms, wait_ms: context.wait_ms(&view) };
        if request.may_be_refused {
            let overload = self.overload(&considered, index, estimate);
            if let Some(overload) = overload {
                return Err(ChoiceError::Overloaded(overload));
            }
        }
        let cheapest = Cheapest { index, work, cost_ms, expected };
        Ok(self.build_choice(servers, request, chain, cheapest))
    }

    /// Returns why the request isn't sent to the chosen server, if so, where it is expected to start
    /// after `estimate`.
    fn overload(
        &self,
        considered: &Considered<'_>,
        chosen: usize,
        estimate: StartEstimate,
    ) -> Option<Overload> {
        let Considered { request, servers, work, context, .. } = *considered;
        if request.prompt.is_none() {
            return self.call_overload(considered, chosen);
        }
        if !context.timing.may_refuse() {
            return None;
        }
        let lower_quartile_wait_ms = || self.lower_quartile_wait_ms(servers, work, context);
        estimate.overload(request.rank, request.time_left, lower_quartile_wait_ms)
    }

    /// Lower quartile of the servers' queueing times. There is spare capacity while a quarter of
    /// the servers have short queues.
    fn lower_quartile_wait_ms(
        &self,
        servers: &[&Server],
        work_by_server: &[PromptWork],
        context: &CostContext,
    ) -> f64 {
        let waits = servers.iter().zip(work_by_server);
        let mut waits: Vec<f64> = waits
            .map(|(server, work)| context.wait_ms(&self.server_view(server, *work, context)))
            .collect();
        let quartile = waits.len() / 4;
        waits.select_nth_unstable_by(quartile, f64::total_cmp);
        waits[quartile]
    }

    /// Builds the choice of the server that was found.
    fn build_choice(
        &self,
        servers: &[&Server],
        request: &ServerRequest<'_>,
        chain: ChainKeys,
        cheapest: Cheapest,
    ) -> Choice {
        let Cheapest { index, work, cost_ms, expected } = cheapest;
        let is_late = expected.first_output_ms > request.time_left.as_secs_f64() * 1_000.0;
        let server = servers[index];
        let model = request.prompt.map_or("", |prompt| prompt.model.as_str());
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let version = server.version_of(model);
        let profile = self.profile(request.service);
        let store = profile.store_of(&chain).filter(|_| work.can_transfer);
        let source = work.source.map(|source| servers[source].instance.report.address);
        Choice {
            instance: server.instance.id.clone(),
            address: server.instance.report.address,
            reason: work.reason,
            cost_ms,
            is_late: is_late && request.prompt.is_some(),
            expected: request.prompt.map(|_| expected),
            transfer_ms: work.transfer_ms,
            cached_tokens: tokens.saturating_sub(work.prefill_tokens),
            prefill_tokens: work.prefill_tokens,
            candidates: servers.len(),
            model: request.prompt.map(|prompt| ModelKey::of(&prompt.model)),
            cache_model: server.cache_model(model),
            version,
            software: server.instance.report.software.clone(),
            source: source.or(store).filter(|_| work.can_transfer),
            store: store.filter(|_| work.should_store(tokens, chain.all_tokens())),
            segment_tokens: chain.segment_tokens(),
            own_tokens: tokens.saturating_sub(chain.all_tokens()),
            keys: chain.keys,
            inserted_tokens: work.inserted_tokens,
        }
    }

    /// KV transfer costs and cache capacity of the service.
    pub(crate) fn profile(&self, service: &str) -> &ServiceProfile {
        self.profiles.get(service).unwrap_or(&DEFAULT_PROFILE)
    }

    /// Cost inputs of the server for one request.
    pub(crate) fn server_view<'a>(
        &self,
        server: &'a Server,
        work: PromptWork,
        context: &CostContext,
    ) -> ServerView<'a> {
        let report = &server.instance.report;
        let recent = context.now.before(RECENT_PEAK_TIME);
        ServerView {
            health: &server.health,
            pace: context.timing.pace(&server.health, &server.factor, context.now),
            load: server.load,
            fleet_queued_tokens: server.fleet_load.queued_tokens(&context.timing, context.now),
            recent_peak_tokens: server.fleet_load.peak_tokens_since(recent),
            fleet_requests: server.fleet_load.requests(context.now) as f64,
            slots: report.slots,
            same_zone: report.zone == self.zone,
            silent: server.instance.silent,
            cold_ms: (report.cold_remaining_ms as f64).min(MAX_COLD_COST_MS),
            prefill_tokens: work.prefill_tokens,
            recomputed_tokens: work.recomputed_tokens,
            transfer_ms: work.transfer_ms,
            other_lane: work.other_lane,
            utilization: server.limit.as_ref().map_or(0.0, |limit| limit.used_share(context.now)),
            evicted_tokens: f64::from(work.inserted_tokens) * work.eviction_loss,
        }
    }
}

/// Picks the server that `reader` fetches segments from, among those that have as much of the
/// prompt cached as `holder`.
///
/// A server's KV transfers run one after another, and would queue if all routers picked the same
/// source. So the source is drawn at random, preferring the reader's zone, where a transfer takes
/// half the time.
fn pick_source(
    servers: &[&Server],
    work_by_server: &[PromptWork],
    reader: usize,
    holder: usize,
    (model, random): (&str, u64),
) -> usize {
    let version = servers[holder].version_of(model);
    let zone = &servers[reader].instance.report.zone;
    let has_as_much = |other: &usize| {
        work_by_server[*other].ready_tokens == work_by_server[holder].ready_tokens
            && servers[*other].version_of(model) == version
    };
    let rank = |other: &usize| {
        let is_far = servers[*other].instance.report.zone != *zone;
        (is_far, rendezvous::score(random, servers[*other].hash))
    };
    (0..servers.len()).filter(has_as_much).min_by_key(rank).unwrap_or(holder)
}

/// Keeps the servers that satisfy `condition`, or all if none does.
pub(crate) fn prefer_matching(
    servers: Vec<&Server>,
    condition: impl Fn(&Server) -> bool,
) -> Vec<&Server> {
    let preferred: Vec<&Server> =
        servers.iter().copied().filter(|server| condition(server)).collect();
    if preferred.is_empty() { servers } else { preferred }
}

/// A request and the servers that are considered for it.
pub(crate) struct Considered<'a> {
    pub request: &'a ServerRequest<'a>,
    pub servers: &'a [&'a Server],
    /// Work that the request causes on each server.
    pub work: &'a [PromptWork],
    pub context: &'a CostContext,
    pub random: u64,
}

/// The server with the lowest cost.
struct Cheapest {
    index: usize,
    work: PromptWork,
    cost_ms: f64,
    expected: ExpectedTiming,
}

fn mean_failure_rate(servers: &[&Server], now: Timestamp) -> f64 {
    let sum: f64 = servers.iter().map(|server| server.health.failure_rate(now)).sum();
    sum / servers.len().max(1) as f64
}

//! The search for the server that costs least.

use juniper_prefix_index::rendezvous;
use juniper_types::Timestamp;

use crate::admission::Prospect;
use crate::candidates::{is_usable, last_resort};
use crate::choice::{Choice, NoChoice, ServiceProfile};
use crate::cost::{CostContext, ServerView};
use crate::homes::ChainKeys;
use crate::placement::Placement;
use crate::prompt_work::PromptWork;
use crate::request::ServerRequest;
use crate::server::Server;

/// Costs that differ by less count as equal, in milliseconds.
const NEAR_EQUAL_MS: f64 = 1.0;

/// Bits by which the random number is turned for each server, so that ties fall
/// differently among them.
const TIE_ROTATION: u32 = 7;

/// The profile of a service of which nothing is known.
static NO_MOVES: ServiceProfile =
    ServiceProfile { move_ms: 0.0, cache_tokens: 0, stores: Vec::new() };

/// What a server that is cold costs more, in milliseconds, at most.
const MAX_COLD_MS: f64 = 400.0;

impl Placement {
    /// Chooses a server for the request.
    ///
    /// # Errors
    /// A [`NoChoice`] when none may be used.
    pub fn choose(
        &self,
        request: &ServerRequest<'_>,
        now: Timestamp,
        random: u64,
    ) -> Result<Choice, NoChoice> {
        let members = self.services.get(request.service).map_or(&[][..], Vec::as_slice);
        if members.is_empty() {
            return Err(NoChoice::NoServer);
        }
        let candidates = self.candidates(members, request, now)?;
        let usable = candidates.iter().copied().filter(|server| is_usable(server, request, now));
        let usable: Vec<&Server> = usable.collect();
        if usable.is_empty() {
            return Ok(last_resort(&candidates, request, random));
        }
        // Where others can reach none, or are turned away by all, this router may still be served.
        let reachable = prefer(usable, |server| !server.reports.are_believed(&self.zone, now));
        let preferred = prefer(reachable, |server| !self.turns_others_away(server, now));
        self.cheapest(&preferred, request, now, random)
    }

    /// Chooses the server that costs least; `random` decides among nearly equal ones.
    fn cheapest(
        &self,
        servers: &[&Server],
        request: &ServerRequest<'_>,
        now: Timestamp,
        random: u64,
    ) -> Result<Choice, NoChoice> {
        let context = CostContext {
            speed: self.speeds.get(request.service).copied().unwrap_or_default(),
            objective: request.objective,
            max_pause: request.max_pause,
            mean_failures: mean_failures(servers, now),
            now,
        };
        let chain = request.prompt.map(|prompt| ChainKeys::of(prompt, request.sharing));
        let chain = chain.unwrap_or_default();
        let works = self.prompt_works(servers, request, &chain, now);
        let mut best: Option<(f64, u64, usize)> = None;
        for (index, server) in servers.iter().enumerate() {
            let cost = context.cost_ms(&self.view(server, works[index], &context));
            let tie = random.rotate_left(index as u32 * TIE_ROTATION) ^ server.hash;
            let is_better = best.is_none_or(|(least, least_tie, _)| {
                cost < least - NEAR_EQUAL_MS || (cost < least + NEAR_EQUAL_MS && tie < least_tie)
            });
            if is_better {
                best = Some((cost, tie, index));
            }
        }
        let (cost_ms, _, index) = best.ok_or(NoChoice::NoServer)?;
        let model = request.prompt.map_or("", |prompt| prompt.model.as_str());
        let source =
            works[index].source.map(|known| spread(servers, &works, index, known, (model, random)));
        let work = PromptWork { source, ..works[index] };
        let view = self.view(servers[index], work, &context);
        let first_output_ms = context.first_output_ms(&view);
        let prospect = Prospect { first_output_ms, wait_ms: context.wait_ms(&view) };
        if request.prompt.is_some() && request.may_be_refused {
            let least_waits_ms = || self.least_waits_ms(servers, &works, &context);
            let overload = prospect.overload(request.rank, request.time_left, least_waits_ms);
            if let Some(overload) = overload {
                return Err(NoChoice::Overloaded(overload));
            }
        }
        let found = Found { index, work, cost_ms, first_output_ms };
        Ok(self.decision(servers, request, chain, found))
    }

    /// The lower quartile of the times for which the prompt would wait behind others. While a quarter of
    /// the servers has little waiting, there is room.
    fn least_waits_ms(
        &self,
        servers: &[&Server],
        works: &[PromptWork],
        context: &CostContext,
    ) -> f64 {
        let waits = servers.iter().zip(works);
        let mut waits: Vec<f64> = waits
            .map(|(server, work)| context.wait_ms(&self.view(server, *work, context)))
            .collect();
        let place = waits.len() / 4;
        waits.select_nth_unstable_by(place, f64::total_cmp);
        waits[place]
    }

    /// The choice of the server that was found.
    fn decision(
        &self,
        servers: &[&Server],
        request: &ServerRequest<'_>,
        chain: ChainKeys,
        found: Found,
    ) -> Choice {
        let Found { index, work, cost_ms, first_output_ms } = found;
        let is_late = first_output_ms > request.time_left.as_secs_f64() * 1_000.0;
        let server = servers[index];
        let model = request.prompt.map_or("", |prompt| prompt.model.as_str());
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let version = server.version_of(model);
        let profile = self.profile(request.service);
        let store = profile.store_of(&chain).filter(|_| work.can_move);
        let holder = work.source.map(|source| servers[source].instance.report.address);
        Choice {
            instance: server.instance.id.clone(),
            address: server.instance.report.address,
            reason: work.reason,
            cost_ms,
            is_late: is_late && request.prompt.is_some(),
            kept_tokens: tokens.saturating_sub(work.missed_tokens),
            missed_tokens: work.missed_tokens,
            candidates: servers.len(),
            version,
            source: holder.or(store).filter(|_| work.can_move),
            store: store.filter(|_| work.is_worth_saving(tokens, chain.all_tokens())),
            part_tokens: chain.part_tokens(),
            own_tokens: tokens.saturating_sub(chain.all_tokens()),
            keys: chain.keys,
            inserted_tokens: work.inserted_tokens,
        }
    }

    /// What moves of memory cost at the service.
    pub(crate) fn profile(&self, service: &str) -> &ServiceProfile {
        self.profiles.get(service).unwrap_or(&NO_MOVES)
    }

    /// The server as the request sees it.
    fn view<'a>(
        &self,
        server: &'a Server,
        work: PromptWork,
        context: &CostContext,
    ) -> ServerView<'a> {
        let report = &server.instance.report;
        ServerView {
            health: &server.health,
            load: server.load,
            fleet_tokens: server.fleet_load.waiting_tokens(context.speed, context.now),
            fleet_requests: server.fleet_load.requests(context.now) as f64,
            slots: report.slots,
            same_zone: report.zone == self.zone,
            silent: server.instance.silent,
            cold_ms: (report.cold_remaining_ms as f64).min(MAX_COLD_MS),
            missed_tokens: work.missed_tokens,
            reread_tokens: work.reread_tokens,
            move_ms: work.move_ms,
            other_lane: work.other_lane,
            used_part: server.limit.as_ref().map_or(0.0, |limit| limit.used_share(context.now)),
            displaced: f64::from(work.inserted_tokens) * work.displacement_loss,
        }
    }
}

/// A server that has as much of the prompt as the one at `known`, for the server at `reader`.
///
/// A server's moves run one after another. If all routers named the same source of a part that
/// many servers have, readers would wait for it in line. So it is drawn, first among those in
/// the reader's zone, from where a move takes half the time.
fn spread(
    servers: &[&Server],
    works: &[PromptWork],
    reader: usize,
    known: usize,
    (model, random): (&str, u64),
) -> usize {
    let version = servers[known].version_of(model);
    let zone = &servers[reader].instance.report.zone;
    let has_as_much = |other: &usize| {
        works[*other].ready_tokens == works[known].ready_tokens
            && servers[*other].version_of(model) == version
    };
    let rank = |other: &usize| {
        let is_far = servers[*other].instance.report.zone != *zone;
        (is_far, rendezvous::score(random, servers[*other].hash))
    };
    (0..servers.len()).filter(has_as_much).min_by_key(rank).unwrap_or(known)
}

/// Those of the servers for which the condition holds, or all if it holds for none.
fn prefer(servers: Vec<&Server>, condition: impl Fn(&Server) -> bool) -> Vec<&Server> {
    let preferred: Vec<&Server> =
        servers.iter().copied().filter(|server| condition(server)).collect();
    if preferred.is_empty() { servers } else { preferred }
}

/// The server that costs least.
struct Found {
    index: usize,
    work: PromptWork,
    cost_ms: f64,
    first_output_ms: f64,
}

fn mean_failures(servers: &[&Server], now: Timestamp) -> f64 {
    let sum: f64 = servers.iter().map(|server| server.health.failure_share(now)).sum();
    sum / servers.len().max(1) as f64
}

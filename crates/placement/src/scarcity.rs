//! Use of the servers' resources, and admission of prompts in services with tight objectives.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use juniper_admission::{PromptAdmission, PromptDemand, Resource, ServerUsage, ServiceScarcity};
use juniper_types::Timestamp;

use crate::admission::{Overload, Shortage, StartEstimate};
use crate::choice::ServiceProfile;
use crate::cost::{CostContext, ServerView};
use crate::placement::Placement;
use crate::request::{Prompt, ServerRequest};
use crate::search::Considered;
use crate::server::Server;

/// Time for which the scarcity over all servers isn't computed again. A fraction of the 15 to 60 ms
/// after which dispatch reports arrive.
const SCARCITY_AGE: Duration = Duration::from_millis(10);

/// The scarcity is also computed again after one admitted prompt for this number of servers, so that
/// a burst at one router is noticed at once.
const MAX_ADMITTED_DIVISOR: usize = 8;

/// Weight of a prompt in the mean of the maximum outputs.
const OUTPUT_WEIGHT: f64 = 0.05;

/// Admission of prompts by service. A cell, as the choice of a server changes nothing else.
pub(crate) type PromptAdmissions = RefCell<HashMap<String, ServiceAdmission>>;

/// Admission of the prompts of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceAdmission {
    prompts: PromptAdmission,
    /// Mean of the prompts' maximum output tokens. Dispatch reports don't contain them.
    output_tokens: Option<f64>,
    /// Scarcity over all servers and when it was computed.
    scarcity: Option<(Timestamp, ServiceScarcity)>,
    /// Prompts admitted since then.
    admitted: usize,
}

/// Prompt that is about to be sent to the server with the lowest cost.
#[derive(Clone, Copy, Debug)]
struct ChosenPrompt<'a> {
    request: &'a ServerRequest<'a>,
    prompt: &'a Prompt,
    estimate: StartEstimate,
    prefill_tokens: u32,
    /// Index of the chosen server.
    index: usize,
}

impl ServiceAdmission {
    /// Returns why the prompt isn't sent, if so. `usage` returns the use of the server with an
    /// index below `servers`, given the output tokens of a request. It is called for all servers
    /// only if the chosen server has little to spare.
    fn overload(
        &mut self,
        chosen: &ChosenPrompt<'_>,
        servers: usize,
        usage: impl Fn(usize, f64) -> ServerUsage,
        now: Timestamp,
    ) -> Option<Overload> {
        let ChosenPrompt { request, prompt, estimate, prefill_tokens, index } = *chosen;
        let own_output = f64::from(prompt.output_tokens);
        let output_tokens = self.output_tokens.get_or_insert(own_output);
        *output_tokens += OUTPUT_WEIGHT * (own_output - *output_tokens);
        let output_tokens = *output_tokens;
        let demand = PromptDemand {
            rank: request.rank,
            tenant: request.tenant,
            tokens: prompt.tokens,
            work_tokens: prefill_tokens.saturating_add(prompt.output_tokens),
            objective: request.objective,
            max_gap: request.max_gap,
        };
        let is_spare = self.prompts.is_spare(&demand, &usage(index, output_tokens), now);
        let scarcity = match self.scarcity {
            _ if is_spare => ServiceScarcity::default(),
            Some((at, scarcity))
                if now.since(at) < SCARCITY_AGE
                    && self.admitted <= servers / MAX_ADMITTED_DIVISOR =>
            {
                scarcity
            }
            _ => {
                let usages: Vec<ServerUsage> =
                    (0..servers).map(|index| usage(index, output_tokens)).collect();
                let scarcity = ServiceScarcity::of(&usages);
                (self.scarcity, self.admitted) = (Some((now, scarcity)), 0);
                scarcity
            }
        };
        let Err(overload) = self.prompts.decide(&demand, &scarcity, now) else {
            self.admitted += 1;
            return None;
        };
        let shortage = Shortage {
            resource: overload.resource,
            size_class: Some(overload.size_class),
            share: overload.share,
        };
        Some(Overload {
            estimate,
            lower_quartile_wait_ms: scarcity.levels().wait_ms,
            limit_ms: match overload.resource {
                Resource::Prefill => overload.limit,
                _ => request.time_left.as_secs_f64() * 1_000.0,
            },
            shortage: Some(shortage),
        })
    }
}

impl Placement {
    /// Returns why the request isn't sent to the chosen server, if so. There it causes a prefill of
    /// `prefill_tokens` and is expected to start after `estimate`.
    pub(crate) fn overload(
        &self,
        considered: &Considered<'_>,
        index: usize,
        prefill_tokens: u32,
        estimate: StartEstimate,
    ) -> Option<Overload> {
        let Considered { request, servers, work, context, .. } = *considered;
        let profile = self.profile(request.service);
        let Some(prompt) = request.prompt else {
            return self.call_overload(considered, index);
        };
        if !profile.is_tight {
            let lower_quartile_wait_ms = || self.lower_quartile_wait_ms(servers, work, context);
            return estimate.overload(request.rank, request.time_left, lower_quartile_wait_ms);
        }
        let usage = |index: usize, output_tokens: f64| {
            let view = self.server_view(servers[index], work[index], context);
            server_usage(servers[index], &view, context, profile, output_tokens)
        };
        let chosen = ChosenPrompt { request, prompt, estimate, prefill_tokens, index };
        let mut admissions = self.prompt_admissions.borrow_mut();
        if !admissions.contains_key(request.service) {
            admissions.insert(request.service.to_owned(), ServiceAdmission::default());
        }
        let admission = admissions.get_mut(request.service)?;
        admission.overload(&chosen, servers.len(), usage, context.now)
    }
}

/// Use of the resources of a server.
fn server_usage(
    server: &Server,
    view: &ServerView<'_>,
    context: &CostContext,
    profile: &ServiceProfile,
    output_tokens: f64,
) -> ServerUsage {
    let requests = view.fleet_requests.max(f64::from(view.load.requests));
    let share = |used: f64, capacity: f64| if capacity > 0.0 { used / capacity } else { 0.0 };
    let held = server.held.tokens(output_tokens, context.now);
    // Before enough samples, expected times aren't a reason to refuse a prompt.
    let (wait_ms, gap_ms) = match context.timing.may_refuse() {
        true => (context.wait_ms(view), context.timing.gap_ms(view.tokens_ahead(), view.pace)),
        false => (0.0, None),
    };
    ServerUsage {
        wait_ms,
        slot_share: share(requests, f64::from(view.slots)),
        memory_share: share(held, profile.cache_tokens as f64),
        gap_ms: gap_ms.unwrap_or(0.0),
    }
}

//! Server selection for tight services with many routers.
//!
//! Routers see each other's dispatches only after a report delay. If each sent its prompts to the
//! server with the lowest cost, all would send to the same one within that delay. [`select`]
//! therefore draws among the cheapest servers, over a range of costs that grows with the work
//! that others have probably dispatched and not yet reported ([`UnreportedWork`]).

mod draw;
mod lane_demand;
mod unreported_work;

use juniper_types::Timestamp;

use crate::cost::CostContext;
use crate::dispatch_record::DispatchRecord;
use crate::homes::ChainKeys;
use crate::lanes::is_long;
use crate::placement::Placement;
use crate::request::ServerRequest;
use crate::server::Server;

pub use draw::select;
pub(crate) use lane_demand::OtherLane;
use lane_demand::{LaneDemand, ServerCapacity};
use unreported_work::UnreportedWork;

/// Observations of one tight service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceDemand {
    pub(crate) lanes: LaneDemand,
    unreported: UnreportedWork,
}

impl ServiceDemand {
    /// Records the dispatch of a prompt by this router, or reported by another.
    pub(crate) fn record_dispatch(
        &mut self,
        dispatch: &DispatchRecord,
        is_own: bool,
        now: Timestamp,
    ) {
        let tokens = dispatch.segment_tokens.iter().sum::<u32>() + dispatch.own_tokens;
        if tokens == 0 {
            return;
        }
        self.lanes.record_dispatch(tokens, dispatch.prefill_tokens, now);
        if !is_own {
            self.unreported.record_report(dispatch.prefill_tokens, now);
        }
    }

    /// Mean unreported work of each server.
    pub(crate) fn spread_ms(&self, servers: usize, context: &CostContext) -> f64 {
        context.timing.prefill_ms(self.unreported.tokens(context.now)) / servers.max(1) as f64
    }
}

impl Placement {
    /// Number of servers, out of `servers`, in the lane of short prompts; `None` without
    /// observations.
    pub(crate) fn short_servers(
        &self,
        service: &str,
        servers: usize,
        now: Timestamp,
    ) -> Option<usize> {
        let Some(demand) = self.demand.get(service) else {
            return self.lanes.get(service).map(|lanes| lanes.short_servers(servers, now));
        };
        let members = self.services.get(service)?;
        let slots = members.first().and_then(|name| self.servers.get(name))?.instance.report.slots;
        let prefill_ms_per_token = self.timing_model(service, now).prefill_ms(1.0);
        let capacity = ServerCapacity { slots, prefill_ms_per_token };
        Some(demand.lanes.short_servers(servers, capacity, now))
    }

    /// Index of the home of the chain. In a tight service it is a server of the prompt's lane:
    /// prompts go to their home despite the cost of the other lane.
    pub(crate) fn home(
        &self,
        servers: &[&Server],
        service: &str,
        chain: &ChainKeys,
        other_lane: &[bool],
    ) -> Option<usize> {
        let is_tight = self.demand.contains_key(service);
        let in_lane = (0..servers.len()).filter(|index| !is_tight || !other_lane[*index]);
        let in_lane: Vec<usize> = in_lane.collect();
        let home = chain.home(in_lane.iter().map(|index| servers[*index].hash));
        home.map(|position| in_lane[position])
            .or_else(|| chain.home(servers.iter().map(|server| server.hash)))
    }

    /// Weight of the cost of a server of the other lane.
    pub(crate) fn other_lane_cost(&self, request: &ServerRequest<'_>) -> OtherLane {
        match (self.demand.contains_key(request.service), request.prompt) {
            (true, Some(prompt)) if is_long(prompt.tokens) => OtherLane::LongPrompt,
            (true, Some(_)) => OtherLane::ShortPrompt,
            _ => OtherLane::Fixed,
        }
    }
}

//! The servers that a request may be sent to, and those of them that are known to work.

use juniper_registry::InstanceName;
use juniper_types::Timestamp;

use crate::choice::{Choice, NoChoice, Reason};
use crate::placement::Placement;
use crate::request::ServerRequest;
use crate::server::Server;

impl Placement {
    /// The servers that the request may be sent to at all.
    pub(crate) fn candidates(
        &self,
        members: &[InstanceName],
        request: &ServerRequest<'_>,
        now: Timestamp,
    ) -> Result<Vec<&Server>, NoChoice> {
        let known = members.iter().filter_map(|id| self.servers.get(id));
        // The list of servers lags behind their own word.
        let stays = |server: &&Server| !server.health.replaced && !server.is_leaving;
        let known: Vec<&Server> = known.filter(stays).collect();
        if known.is_empty() {
            return Err(NoChoice::NoServer);
        }
        let mut fresh: Vec<&Server> = known;
        if let Some(prompt) = request.prompt {
            fresh.retain(|server| server.version_of(&prompt.model) >= request.min_version);
            if fresh.is_empty() {
                return Err(NoChoice::OldWeights);
            }
        }
        // Being full is a price, but a rest is a fact: there is no road on which it may be passed over.
        let shortest_rest = fresh.iter().filter_map(|server| self.rest_of(server, now)).min();
        fresh.retain(|server| self.rest_of(server, now).is_none());
        if let Some(rest) = shortest_rest.filter(|_| fresh.is_empty()) {
            return Err(NoChoice::Resting(rest));
        }
        fresh.retain(|server| !request.excluded.contains(&server.instance.id));
        if fresh.is_empty() {
            return Err(NoChoice::AllExcluded);
        }
        // One that has got what it takes from all routers would be sent more than it bears.
        let pauses = fresh.iter().filter_map(|server| server.pause(now));
        let shortest = pauses.min().unwrap_or_default();
        let spares = request.spares_limited;
        fresh.retain(|server| server.pause(now).is_none() && !(spares && server.limit.is_some()));
        match fresh.is_empty() {
            true => Err(NoChoice::UsedUp(shortest)),
            false => Ok(fresh),
        }
    }
}

/// Whether the server is known to work and takes new requests of this kind.
pub(crate) fn is_usable(server: &Server, request: &ServerRequest<'_>, now: Timestamp) -> bool {
    let version = request.prompt.map(|prompt| server.version_of(&prompt.model));
    let denied = version.is_some_and(|version| server.health.denies(version, now));
    !server.health.is_unreachable() && !server.renewing && !denied
}

/// Any of the servers, when none is known to work: it may work again.
pub(crate) fn last_resort(
    candidates: &[&Server],
    request: &ServerRequest<'_>,
    random: u64,
) -> Choice {
    let index = (random % candidates.len().max(1) as u64) as usize;
    let report = &candidates[index].instance.report;
    Choice {
        instance: candidates[index].instance.id.clone(),
        address: report.address,
        reason: Reason::LastResort,
        cost_ms: 0.0,
        is_late: false,
        kept_tokens: 0,
        missed_tokens: request.prompt.map_or(0, |prompt| prompt.tokens),
        candidates: candidates.len(),
        version: request.prompt.map_or(0, |prompt| candidates[index].version_of(&prompt.model)),
        source: None,
        store: None,
        keys: Vec::new(),
        part_tokens: Vec::new(),
        own_tokens: request.prompt.map_or(0, |prompt| prompt.tokens),
        inserted_tokens: 0,
    }
}

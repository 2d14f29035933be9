//! Selection of the servers that may serve a request.

use juniper_registry::{InstanceId, InstanceName, SoftwareVersion};
use juniper_types::Timestamp;

use crate::choice::{Choice, ChoiceError, Reason};
use crate::placement::Placement;
use crate::request::ServerRequest;
use crate::search::prefer_matching;
use crate::server::Server;
use crate::weights::ModelKey;

impl Placement {
    /// Whether a server of the service that is not in `excluded` runs this software version.
    pub fn has_software(
        &self,
        service: &str,
        software: &SoftwareVersion,
        excluded: &[InstanceId],
    ) -> bool {
        let members = self.services.get(service).map_or(&[][..], Vec::as_slice);
        members.iter().filter_map(|name| self.servers.get(name)).any(|server| {
            server.is_in_service()
                && server.runs_software(software)
                && !excluded.contains(&server.instance.id)
        })
    }

    /// Software version of a server's current incarnation; `None` if it is unknown, or if the
    /// incarnation is no longer the current one.
    pub fn software_of(&self, id: &InstanceId) -> Option<&SoftwareVersion> {
        let server = self.servers.get(id.name()).filter(|server| server.instance.id == *id)?;
        server.instance.report.software.as_ref()
    }

    /// Software version that the server listed under the name of `id` states now, if it is another
    /// one than `software`: the server has restarted, or doesn't tell when it started.
    pub fn changed_software(
        &self,
        id: &InstanceId,
        software: Option<&SoftwareVersion>,
    ) -> Option<Option<&SoftwareVersion>> {
        let listed = &self.servers.get(id.name())?.instance;
        // One incarnation runs one version, whatever its latest report lacks.
        if id.started().is_known() && listed.id == *id {
            return None;
        }
        let software_listed = listed.report.software.as_ref();
        (software_listed != software).then_some(software_listed)
    }

    /// Servers that the request may be sent to.
    pub(crate) fn candidates(
        &self,
        members: &[InstanceName],
        request: &ServerRequest<'_>,
        now: Timestamp,
    ) -> Result<Vec<&Server>, ChoiceError> {
        let listed = members.iter().filter_map(|id| self.servers.get(id));
        let listed: Vec<&Server> = listed.filter(|server| server.is_in_service()).collect();
        if listed.is_empty() {
            return Err(ChoiceError::NoServer);
        }
        let mut candidates: Vec<&Server> = listed;
        if let Some(software) = request.software {
            candidates.retain(|server| server.runs_software(software));
            if candidates.is_empty() {
                return Err(ChoiceError::NoSoftware);
            }
        }
        if let Some(prompt) = request.prompt {
            candidates = prefer_matching(candidates, |server| server.lists_model(&prompt.model));
            candidates.retain(|server| server.version_of(&prompt.model) >= request.min_version);
            if candidates.is_empty() {
                return Err(ChoiceError::OutdatedWeights);
            }
        }
        // A full server only costs more, but a backoff must be respected in any case.
        let shortest_backoff =
            candidates.iter().filter_map(|server| self.active_backoff(server, now)).min();
        candidates.retain(|server| self.active_backoff(server, now).is_none());
        if let Some(backoff) = shortest_backoff.filter(|_| candidates.is_empty()) {
            return Err(ChoiceError::BackingOff(backoff));
        }
        candidates.retain(|server| !request.excluded.contains(&server.instance.id));
        if candidates.is_empty() {
            return Err(ChoiceError::AllExcluded);
        }
        // A brittle server crashes if it has to reject more than a few requests.
        let brittle_wait =
            candidates.iter().filter_map(|server| self.brittle_wait(server, now)).min();
        if let Some(wait) = brittle_wait {
            candidates.retain(|server| self.brittle_wait(server, now).is_none());
            if candidates.is_empty() {
                return Err(ChoiceError::LimitReached(wait));
            }
        }
        // A server at its limit would be overloaded by any further request.
        let limit_waits = candidates.iter().filter_map(|server| server.limit_wait(now));
        let shortest_wait = limit_waits.min().unwrap_or_default();
        let avoids_limited = request.excludes_limited;
        candidates.retain(|server| {
            server.limit_wait(now).is_none() && !(avoids_limited && server.limit.is_some())
        });
        match candidates.is_empty() {
            true => Err(ChoiceError::LimitReached(shortest_wait)),
            false => Ok(candidates),
        }
    }
}

/// Whether the server is known to work and accepts new requests of this kind.
pub(crate) fn is_usable(server: &Server, request: &ServerRequest<'_>, now: Timestamp) -> bool {
    let is_rejected = request.prompt.is_some_and(|prompt| {
        let version = server.version_of(&prompt.model);
        server.observed_weights.is_rejected(ModelKey::of(&prompt.model), version, now)
    });
    !server.health.is_unreachable() && !server.renewing && !is_rejected
}

/// Picks a server at random when none is known to work: one may have recovered.
pub(crate) fn last_resort(
    candidates: &[&Server],
    request: &ServerRequest<'_>,
    random: u64,
) -> Choice {
    let index = (random % candidates.len().max(1) as u64) as usize;
    let server = candidates[index];
    let report = &server.instance.report;
    let model = request.prompt.map(|prompt| prompt.model.as_str());
    Choice {
        instance: server.instance.id.clone(),
        address: report.address,
        reason: Reason::LastResort,
        cost_ms: 0.0,
        is_late: false,
        expected: None,
        transfer_ms: 0.0,
        cached_tokens: 0,
        prefill_tokens: request.prompt.map_or(0, |prompt| prompt.tokens),
        candidates: candidates.len(),
        model: model.map(ModelKey::of),
        cache_model: model.and_then(|model| server.cache_model(model)),
        version: model.map_or(0, |model| server.version_of(model)),
        software: report.software.clone(),
        source: None,
        store: None,
        keys: Vec::new(),
        segment_tokens: Vec::new(),
        own_tokens: request.prompt.map_or(0, |prompt| prompt.tokens),
        inserted_tokens: 0,
    }
}

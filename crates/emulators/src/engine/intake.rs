//! Acceptance, rejection and cancellation of requests.

use std::cmp::Reverse;
use std::time::Duration;

use juniper_types::{RequestId, Timestamp};

use super::request::{CancelState, DropReason, EngineRequest, Output, Refusal};
use super::{Engine, ModelState, Waiting, batch};
use crate::witness::{BreachKind, Provenance};

impl Engine {
    /// Accepts a request into the waiting queue.
    ///
    /// # Errors
    /// Fails when the request is rejected; a rejected request is never run.
    pub fn submit(&mut self, request: EngineRequest, now: Timestamp) -> Result<(), Refusal> {
        self.run_until(now);
        if let Err(refusal) = self.check_acceptable(&request, now) {
            self.counters.refused += 1;
            return Err(refusal);
        }
        if request.incarnation.is_none() && request.expected_blocks > 0 {
            self.witness.record(BreachKind::UnnamedIncarnation, now, request.id.to_string());
        }
        let provenance = self.witness.provenance_id(&Provenance {
            owner: request.owner.clone(),
            model: request.scope.model.clone(),
            adapter: request.scope.adapter.clone(),
            weights: request.scope.weights,
        });
        self.counters.accepted += 1;
        self.arrivals += 1;
        let key = (Reverse(request.priority), self.arrivals);
        self.waiting.insert(key, Waiting { request, provenance });
        self.start_ready_work(now);
        Ok(())
    }

    fn check_acceptable(&mut self, request: &EngineRequest, now: Timestamp) -> Result<(), Refusal> {
        if self.down {
            return Err(Refusal::Down);
        }
        if self.is_known_request(request.id) {
            self.witness.record(BreachKind::RepeatedRequestId, now, request.id.to_string());
            return Err(Refusal::DuplicateRequest);
        }
        if request.incarnation.is_some_and(|planned| planned != self.incarnation) {
            return Err(Refusal::IncarnationMismatch(self.incarnation));
        }
        if let Some(since) = self.departing_since
            && now.since(since) > self.config.departure_grace
        {
            self.witness.record(BreachKind::WorkAfterLeaving, now, request.id.to_string());
            return Err(Refusal::Leaving);
        }
        self.check_scope(request)?;
        if batch::blocks_needed(request) > self.config.cache_blocks {
            return Err(Refusal::TooLong);
        }
        if self.waiting.len() >= self.config.max_waiting {
            return Err(Refusal::Overloaded { retry_after: self.queue_time() });
        }
        Ok(())
    }

    fn check_scope(&self, request: &EngineRequest) -> Result<(), Refusal> {
        let (model, weights) = match &self.model {
            ModelState::Serving { model, weights } => (model, *weights),
            ModelState::Draining { .. } | ModelState::Loading { .. } => {
                return Err(Refusal::Loading);
            }
            ModelState::Empty => return Err(Refusal::ModelNotLoaded(request.scope.model.clone())),
        };
        if request.scope.model != *model {
            return Err(Refusal::ModelNotLoaded(request.scope.model.clone()));
        }
        if request.scope.weights != weights {
            return Err(Refusal::WeightsMismatch(weights));
        }
        match &request.scope.adapter {
            Some(adapter) if !self.adapters.contains(adapter) => {
                Err(Refusal::AdapterNotLoaded(adapter.clone()))
            }
            _ => Ok(()),
        }
    }

    fn is_known_request(&self, id: RequestId) -> bool {
        self.ended.contains(id)
            || self.running.iter().any(|running| running.request.id == id)
            || self.waiting.values().any(|waiting| waiting.request.id == id)
    }

    /// Time to prefill all waiting requests without cache hits.
    fn queue_time(&self) -> Duration {
        Duration::from_nanos(self.waiting_prompt_tokens() * self.config.prefill_token_ns)
    }

    pub(super) fn waiting_prompt_tokens(&self) -> u64 {
        self.waiting.values().map(|waiting| u64::from(waiting.request.prompt_tokens)).sum()
    }

    /// Cancels a request and releases its memory. Idempotent.
    pub fn cancel(&mut self, id: RequestId, now: Timestamp) -> CancelState {
        self.run_until(now);
        if let Some(index) = self.running.iter().position(|running| running.request.id == id) {
            let running = self.running.remove(index);
            self.drop_request(&running.request, DropReason::Cancelled, true, now);
            self.release_memory(running);
            self.start_ready_work(now);
            return CancelState::Cancelled;
        }
        let key = self.waiting.iter().find(|(_, w)| w.request.id == id).map(|(key, _)| *key);
        if let Some(waiting) = key.and_then(|key| self.waiting.remove(&key)) {
            self.drop_request(&waiting.request, DropReason::Cancelled, false, now);
            self.record_load(now);
            return CancelState::Cancelled;
        }
        if self.ended.contains(id) { CancelState::Finished } else { CancelState::Unknown }
    }

    pub(super) fn drop_request(
        &mut self,
        request: &EngineRequest,
        reason: DropReason,
        run: bool,
        at: Timestamp,
    ) {
        self.counters.dropped += 1;
        self.ended.record(request.id);
        self.outbox.push(Output::Dropped { id: request.id, at, reason, run });
    }

    pub(super) fn drop_waiting(&mut self, reason: DropReason, now: Timestamp) {
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            self.drop_request(&waiting.request, reason, false, now);
        }
    }
}

//! Continuous batching: admission and execution of iterations.
//!
//! An iteration generates one token for every request that has finished its
//! prefill and spends the rest of the token budget on prefill chunks. Memory for a request's
//! whole prompt and output is reserved on admission, so a running request is
//! never preempted.

use std::collections::btree_map::Entry;
use std::sync::Arc;
use std::time::Duration;

use juniper_types::{BLOCK_TOKENS, BlockHash, Timestamp};

use super::cache::Slot;
use super::config;
use super::load::Role;
use super::request::{DropReason, EngineRequest, Output, RequestStatistics};
use super::{Engine, ModelState, WaitKey, Waiting};

/// Work of a running request in the current iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    /// No token budget was left.
    Idle,
    /// Prefill of this number of tokens.
    Prefill(u32),
    /// Generation of one token.
    Decode,
}

/// A request in the batch.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) request: EngineRequest,
    provenance: u32,
    /// Referenced slots of the prompt's cached blocks.
    slots: Vec<Slot>,
    /// Number of reserved blocks in addition to `slots`.
    reserved: u32,
    /// Number of tokens whose keys and values are computed.
    computed: u32,
    /// Index of the next output token.
    next_index: u32,
    statistics: RequestStatistics,
    work: Work,
}

impl Running {
    fn prefill_left(&self) -> u32 {
        self.request.context_tokens().saturating_sub(self.computed)
    }

    fn is_complete(&self) -> bool {
        self.prefill_left() == 0 && self.next_index >= self.request.output_tokens
    }
}

impl Engine {
    /// Moves waiting requests into the batch while they fit, highest priority first.
    pub(super) fn admit_waiting(&mut self, now: Timestamp) {
        self.drop_unmeetable(now);
        while self.running.len() < self.config.max_running
            && matches!(self.model, ModelState::Serving { .. })
        {
            let Some(key) = self.waiting.first_key_value().map(|(key, _)| *key) else {
                break;
            };
            if !self.admit_request(key, now) {
                break;
            }
        }
        self.publish_change(now);
    }

    /// Drops waiting requests whose deadline can no longer be met.
    fn drop_unmeetable(&mut self, now: Timestamp) {
        let prefill_token_ns = self.config.prefill_token_ns;
        let unmeetable: Vec<WaitKey> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_unmeetable(&waiting.request, prefill_token_ns, now))
            .map(|(key, _)| *key)
            .collect();
        for key in unmeetable {
            if let Some(waiting) = self.waiting.remove(&key) {
                self.drop_request(&waiting.request, DropReason::Deadline, false, now);
            }
        }
    }

    /// Moves the request with `key` into the batch; returns `false` if memory doesn't suffice.
    fn admit_request(&mut self, key: WaitKey, now: Timestamp) -> bool {
        let Entry::Occupied(entry) = self.waiting.entry(key) else {
            return false;
        };
        let request = &entry.get().request;
        let slots = self.cache.acquire_prefix(reusable_blocks(request));
        let cached = u32::try_from(slots.len()).unwrap_or(u32::MAX);
        let reserved = blocks_needed(request) - cached;
        if !self.cache.reserve(reserved) {
            self.cache.release(&slots);
            return false;
        }
        let Waiting { request, provenance } = entry.remove();
        for slot in &slots {
            self.witness.check_reuse(provenance, self.cache.provenance(*slot), now);
        }
        let cached_tokens = (cached * BLOCK_TOKENS).min(request.prompt_tokens);
        let statistics = RequestStatistics {
            prompt_tokens: request.prompt_tokens,
            cached_tokens,
            computed_tokens: 0,
        };
        self.outbox.push(Output::Started { id: request.id, at: now, cached_tokens });
        self.running.push(Running {
            computed: cached * BLOCK_TOKENS,
            next_index: request.resume_from,
            provenance,
            slots,
            reserved,
            statistics,
            work: Work::Idle,
            request,
        });
        true
    }

    /// Starts the next iteration if there are requests to run.
    pub(super) fn start_iteration(&mut self, now: Timestamp) {
        self.admit_waiting(now);
        if self.running.is_empty() {
            return;
        }
        let nanos = self.plan_iteration();
        self.iteration_ends_at = Some(now.after(Duration::from_micros(nanos.div_ceil(1_000))));
    }

    /// Assigns work to each request of the batch and returns the iteration's duration in
    /// nanoseconds.
    fn plan_iteration(&mut self) -> u64 {
        let streams = self.running.iter().filter(|running| running.prefill_left() == 0).count();
        let mut budget =
            self.iteration_budget().saturating_sub(u32::try_from(streams).unwrap_or(u32::MAX));
        let mut compute = 0;
        let mut memory = config::WEIGHTS_READ_NS;
        for running in &mut self.running {
            let left = running.prefill_left();
            let context = u64::from(running.computed);
            running.work = if left == 0 {
                Work::Decode
            } else if budget == 0 {
                Work::Idle
            } else {
                Work::Prefill(left.min(budget))
            };
            let tokens = match running.work {
                Work::Idle => continue,
                Work::Decode => 1,
                Work::Prefill(chunk) => {
                    budget -= chunk;
                    u64::from(chunk)
                }
            };
            let attended = context + tokens / 2;
            compute += tokens * self.config.prefill_token_ns;
            compute += tokens * attended * config::ATTENTION_PAIR_NS;
            memory += context * config::KV_READ_TOKEN_NS;
        }
        config::ITERATION_OVERHEAD_NS + compute.max(memory)
    }

    fn iteration_budget(&self) -> u32 {
        match self.role {
            Role::Mixed => self.config.token_budget,
            Role::Prefill => self.config.token_budget * config::PREFILL_ROLE_FACTOR,
            Role::Decode => self.config.token_budget / config::DECODE_ROLE_DIVISOR,
        }
    }

    /// Applies the results of the iteration that ends at `now`.
    pub(super) fn finish_iteration(&mut self, now: Timestamp) {
        self.iteration_ends_at = None;
        for mut running in std::mem::take(&mut self.running) {
            self.apply_work(&mut running, now);
            let late = running.request.deadline.is_some_and(|deadline| now > deadline);
            if running.is_complete() {
                self.finish_request(running, now);
            } else if late {
                self.drop_request(&running.request, DropReason::Deadline, true, now);
                self.release_memory(running);
            } else {
                self.running.push(running);
            }
        }
        self.publish_change(now);
    }

    fn apply_work(&mut self, running: &mut Running, now: Timestamp) {
        match running.work {
            Work::Idle => {}
            Work::Prefill(chunk) => {
                running.computed += chunk;
                running.statistics.computed_tokens += chunk;
                self.counters.prefilled_tokens += u64::from(chunk);
                self.store_full_blocks(running);
                if running.prefill_left() == 0 {
                    self.generate_token(running, now);
                }
            }
            Work::Decode => {
                running.computed += 1;
                self.generate_token(running, now);
            }
        }
    }

    /// Stores newly completed prompt blocks in the cache for reuse by other requests.
    fn store_full_blocks(&mut self, running: &mut Running) {
        let full = (running.computed / BLOCK_TOKENS) as usize;
        let chain = Arc::clone(&running.request.blocks);
        let end = full.min(chain.len());
        for hash in chain.get(running.slots.len()..end).unwrap_or_default() {
            let parent = running.slots.last().copied();
            running.slots.push(self.cache.store(*hash, parent, running.provenance));
            running.reserved -= 1;
        }
    }

    fn generate_token(&mut self, running: &mut Running, now: Timestamp) {
        if running.next_index >= running.request.output_tokens {
            return;
        }
        let (id, index) = (running.request.id, running.next_index);
        running.next_index += 1;
        self.counters.generated_tokens += 1;
        if index == running.request.resume_from {
            self.outbox.push(Output::FirstToken { id, at: now, index });
        } else if self.config.report_every_token {
            self.outbox.push(Output::Tokens { id, at: now, index, count: 1 });
        }
    }

    fn finish_request(&mut self, running: Running, now: Timestamp) {
        let id = running.request.id;
        let statistics = running.statistics;
        self.counters.finished += 1;
        self.counters.cached_tokens += u64::from(statistics.cached_tokens);
        self.counters.prompt_tokens += u64::from(statistics.prompt_tokens);
        self.ended.record(id);
        self.outbox.push(Output::Finished { id, at: now, statistics });
        self.release_memory(running);
    }

    pub(super) fn release_memory(&mut self, running: Running) {
        self.cache.release(&running.slots);
        self.cache.release_reservation(running.reserved);
    }
}

/// Leading blocks that may be reused; at least one token must be computed to generate output.
fn reusable_blocks(request: &EngineRequest) -> &[BlockHash] {
    let max_blocks = (request.context_tokens().saturating_sub(1) / BLOCK_TOKENS) as usize;
    &request.blocks[..max_blocks.min(request.blocks.len())]
}

/// Number of blocks for the prompt and the whole output.
pub(super) fn blocks_needed(request: &EngineRequest) -> u32 {
    let tokens = request.prompt_tokens + request.output_tokens.max(request.resume_from);
    tokens.div_ceil(BLOCK_TOKENS)
}

/// Returns whether the deadline can't be met even with a fully cached prompt and an idle engine.
fn is_unmeetable(request: &EngineRequest, prefill_token_ns: u64, now: Timestamp) -> bool {
    let Some(deadline) = request.deadline else {
        return false;
    };
    let uncached = u64::from(request.context_tokens()) % u64::from(BLOCK_TOKENS);
    let tokens = u64::from(request.output_tokens.saturating_sub(request.resume_from));
    let iteration = config::WEIGHTS_READ_NS + config::ITERATION_OVERHEAD_NS;
    let nanos = uncached * prefill_token_ns + tokens * iteration;
    now.after(Duration::from_nanos(nanos)) > deadline
}

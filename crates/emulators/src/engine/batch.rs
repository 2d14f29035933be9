//! Continuous batching: admission, cost and effect of one iteration.
//!
//! An iteration gives every request that is past its prefill one token and
//! spends the rest of the token budget on prefill chunks. Memory for a request's
//! whole prompt and output is reserved on admission, so a running request is
//! never preempted.

use std::collections::btree_map::Entry;
use std::sync::Arc;

use juniper_types::{BLOCK_TOKENS, BlockHash, Timestamp};

use super::cache::Slot;
use super::config;
use super::load::Role;
use super::request::{DropReason, EngineRequest, Output, RequestStatistics};
use super::{Engine, ModelState, WaitKey, Waiting};

/// What a running request does in the current iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    /// The budget left nothing for it.
    Idle,
    /// Prefills this many tokens.
    Prefill(u32),
    /// Generates one token.
    Decode,
}

/// A request in the batch.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) request: EngineRequest,
    provenance: u32,
    /// Cached blocks of the prompt so far, referenced.
    slots: Vec<Slot>,
    /// Blocks reserved beyond `slots`.
    reserved: u32,
    /// Tokens whose keys and values exist.
    computed: u32,
    /// Number of the next output token.
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
    /// Moves waiting requests into the batch while they fit, best priority first.
    pub(super) fn admit(&mut self, now: Timestamp) {
        self.drop_hopeless(now);
        while self.running.len() < self.config.max_running
            && matches!(self.model, ModelState::Serving { .. })
        {
            let Some(key) = self.waiting.first_key_value().map(|(key, _)| *key) else {
                break;
            };
            if !self.admit_one(key, now) {
                break;
            }
        }
        self.publish_change(now);
    }

    /// Drops waiting requests as soon as their deadline can't be met any more.
    fn drop_hopeless(&mut self, now: Timestamp) {
        let prefill_token_ns = self.config.prefill_token_ns;
        let hopeless: Vec<WaitKey> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_hopeless(&waiting.request, prefill_token_ns, now))
            .map(|(key, _)| *key)
            .collect();
        for key in hopeless {
            if let Some(waiting) = self.waiting.remove(&key) {
                self.drop_request(&waiting.request, DropReason::Deadline, false, now);
            }
        }
    }

    /// Returns `false` when memory does not suffice for the request under `key`.
    fn admit_one(&mut self, key: WaitKey, now: Timestamp) -> bool {
        let Entry::Occupied(entry) = self.waiting.entry(key) else {
            return false;
        };
        let request = &entry.get().request;
        let slots = self.cache.acquire_prefix(reusable(request));
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

    /// Starts the next iteration if there is anything to run.
    pub(super) fn start_iteration(&mut self, now: Timestamp) {
        self.admit(now);
        if self.running.is_empty() {
            return;
        }
        let nanos = self.plan_iteration();
        self.iteration_ends_at = Some(Timestamp(now.0 + nanos.div_ceil(1_000)));
    }

    /// Assigns work to the batch and returns the iteration's duration in nanoseconds.
    fn plan_iteration(&mut self) -> u64 {
        let streams = self.running.iter().filter(|running| running.prefill_left() == 0).count();
        let mut budget = self.budget().saturating_sub(u32::try_from(streams).unwrap_or(u32::MAX));
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

    fn budget(&self) -> u32 {
        match self.role {
            Role::Mixed => self.config.token_budget,
            Role::Prefill => self.config.token_budget * config::PREFILL_ROLE_FACTOR,
            Role::Decode => self.config.token_budget / config::DECODE_ROLE_DIVISOR,
        }
    }

    /// Applies the iteration that ends at `now`.
    pub(super) fn finish_iteration(&mut self, now: Timestamp) {
        self.iteration_ends_at = None;
        for mut running in std::mem::take(&mut self.running) {
            self.apply_work(&mut running, now);
            let late = running.request.deadline.is_some_and(|deadline| now > deadline);
            if running.is_complete() {
                self.finish_request(running, now);
            } else if late {
                self.drop_request(&running.request, DropReason::Deadline, true, now);
                self.free(running);
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
                    self.generate(running, now);
                }
            }
            Work::Decode => {
                running.computed += 1;
                self.generate(running, now);
            }
        }
    }

    /// Makes the prompt blocks that are complete by now available to other requests.
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

    fn generate(&mut self, running: &mut Running, now: Timestamp) {
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
        self.ended.note(id);
        self.outbox.push(Output::Finished { id, at: now, statistics });
        self.free(running);
    }

    pub(super) fn free(&mut self, running: Running) {
        self.cache.release(&running.slots);
        self.cache.unreserve(running.reserved);
    }
}

/// Leading blocks that may be reused; at least one token has to be computed.
fn reusable(request: &EngineRequest) -> &[BlockHash] {
    let most = (request.context_tokens().saturating_sub(1) / BLOCK_TOKENS) as usize;
    &request.blocks[..most.min(request.blocks.len())]
}

/// Blocks that the prompt and the whole output take.
pub(super) fn blocks_needed(request: &EngineRequest) -> u32 {
    let tokens = request.prompt_tokens + request.output_tokens.max(request.resume_from);
    tokens.div_ceil(BLOCK_TOKENS)
}

/// Whether the deadline can't be met even if the whole prompt is cached and nothing else runs.
fn is_hopeless(request: &EngineRequest, prefill_token_ns: u64, now: Timestamp) -> bool {
    let Some(deadline) = request.deadline else {
        return false;
    };
    let uncached = u64::from(request.context_tokens()) % u64::from(BLOCK_TOKENS);
    let tokens = u64::from(request.output_tokens.saturating_sub(request.resume_from));
    let iteration = config::WEIGHTS_READ_NS + config::ITERATION_OVERHEAD_NS;
    let nanos = uncached * prefill_token_ns + tokens * iteration;
    now.0 + nanos / 1_000 > deadline.0
}

//! Summary counts of a trace.

use std::collections::{BTreeMap, HashSet};

use juniper_emulators::trace::{Profile, Segment, Trace, TraceRequest};
use juniper_types::TenantName;
use serde::Serialize;

/// Request and token counts of a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Deployment profile.
    pub profile: Profile,
    /// Seed of the trace.
    pub seed: u64,
    /// Period in which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Number of requests.
    pub requests: u64,
    /// Number of chats.
    pub chats: u64,
    /// Number of at-most-once requests.
    pub at_most_once: u64,
    /// Number of listings.
    pub listings: u64,
    /// Number of previews.
    pub previews: u64,
    /// Number of requests by tenant.
    pub by_tenant: BTreeMap<TenantName, u64>,
    /// Prompt tokens of all chats.
    pub prompt_tokens: u64,
    /// Prompt tokens in segments that occurred in an earlier chat of the tenant: cache hits of
    /// an unbounded cache.
    pub repeated_tokens: u64,
    /// Tokens of all distinct shared segments: their size in a single cache.
    pub shared_tokens: u64,
    /// Number of tokens to generate.
    pub output_tokens: u64,
}

impl Summary {
    /// Summarises `trace`.
    pub fn of(trace: &Trace) -> Self {
        let mut summary = Summary {
            profile: trace.header.profile,
            seed: trace.header.seed,
            duration_ms: trace.header.duration_ms,
            requests: trace.records.len() as u64,
            chats: 0,
            at_most_once: 0,
            listings: 0,
            previews: 0,
            by_tenant: BTreeMap::new(),
            prompt_tokens: 0,
            repeated_tokens: 0,
            shared_tokens: 0,
            output_tokens: 0,
        };
        let mut seen = HashSet::new();
        for record in &trace.records {
            *summary.by_tenant.entry(record.tenant.clone()).or_default() += 1;
            match &record.request {
                TraceRequest::Chat { prompt, output_tokens, .. } => {
                    summary.count_chat(&record.tenant, prompt, *output_tokens, &mut seen);
                }
                TraceRequest::AtMostOnce { .. } => summary.at_most_once += 1,
                TraceRequest::Listing { .. } => summary.listings += 1,
                TraceRequest::Preview { .. } => summary.previews += 1,
            }
        }
        summary
    }

    fn count_chat(
        &mut self,
        tenant: &TenantName,
        prompt: &[Segment],
        output_tokens: u32,
        seen: &mut HashSet<(TenantName, Segment)>,
    ) {
        self.chats += 1;
        self.output_tokens += u64::from(output_tokens);
        let last = prompt.len().saturating_sub(1);
        for (index, segment) in prompt.iter().enumerate() {
            let tokens = u64::from(segment.tokens);
            self.prompt_tokens += tokens;
            if !seen.insert((tenant.clone(), *segment)) {
                self.repeated_tokens += tokens;
            } else if index < last {
                self.shared_tokens += tokens;
            }
        }
    }
}

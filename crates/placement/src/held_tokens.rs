//! KV-cache memory that the in-flight prompts of a server hold.

use std::collections::{HashMap, VecDeque};

use juniper_types::Timestamp;

use crate::dispatch_record::{DispatchRecord, ReportedRequest};
use crate::fleet_load::is_expired;

/// Prompt tokens of the in-flight requests of all routers on one server. Segments that several
/// requests share are held once; segments that no request uses can be evicted and don't count.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldTokens {
    /// In-flight prompts, the oldest first.
    prompts: VecDeque<HeldPrompt>,
    /// Shared segments in use, by prefix key.
    segments: HashMap<u64, HeldSegment>,
    tokens: u64,
}

#[derive(Clone, Debug)]
struct HeldPrompt {
    /// Identity of the request; `None` if its end won't be reported.
    request: Option<ReportedRequest>,
    started_at: Timestamp,
    keys: Vec<u64>,
    own_tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct HeldSegment {
    prompts: u32,
    tokens: u32,
}

impl HeldTokens {
    /// Adds a dispatched prompt.
    pub(crate) fn add(
        &mut self,
        request: Option<ReportedRequest>,
        dispatch: &DispatchRecord,
        now: Timestamp,
    ) {
        while self.prompts.front().is_some_and(|oldest| is_expired(oldest.started_at, now))
            && let Some(oldest) = self.prompts.pop_front()
        {
            self.release(&oldest);
        }
        for (key, tokens) in dispatch.keys.iter().zip(&dispatch.segment_tokens) {
            let segment =
                self.segments.entry(*key).or_insert(HeldSegment { prompts: 0, tokens: *tokens });
            if segment.prompts == 0 {
                self.tokens += u64::from(segment.tokens);
            }
            segment.prompts += 1;
        }
        self.tokens += u64::from(dispatch.own_tokens);
        self.prompts.push_back(HeldPrompt {
            request,
            started_at: now,
            keys: dispatch.keys.clone(),
            own_tokens: dispatch.own_tokens,
        });
    }

    /// Removes a completed request, if it is known.
    pub(crate) fn remove(&mut self, request: ReportedRequest) {
        let index = self.prompts.iter().position(|known| known.request == Some(request));
        if let Some(ended) = index.and_then(|index| self.prompts.remove(index)) {
            self.release(&ended);
        }
    }

    fn release(&mut self, prompt: &HeldPrompt) {
        self.tokens -= u64::from(prompt.own_tokens);
        for key in &prompt.keys {
            let Some(segment) = self.segments.get_mut(key) else { continue };
            segment.prompts -= 1;
            if segment.prompts == 0 {
                self.tokens -= u64::from(segment.tokens);
                self.segments.remove(key);
            }
        }
    }

    /// Tokens held at `now`, with `output_tokens` for the output of each request.
    pub(crate) fn tokens(&self, output_tokens: f64, now: Timestamp) -> f64 {
        let expired = self.prompts.iter().take_while(|known| is_expired(known.started_at, now));
        let (expired, expired_tokens) = expired.fold((0, 0), |(count, tokens), known| {
            (count + 1, tokens + u64::from(known.own_tokens))
        });
        if expired == self.prompts.len() {
            return 0.0;
        }
        (self.tokens - expired_tokens) as f64
            + (self.prompts.len() - expired) as f64 * output_tokens
    }
}

//! Model of a server: prefill chunks interleaved with decode steps.

use std::collections::VecDeque;

const CHUNK_TOKENS: f64 = 2_048.0;
const PREFILL_TOKENS_PER_MS: f64 = 112.0;
const TOKENS_PER_EVENT: u32 = 8;
const SLOTS: usize = 32;

/// A prompt on a server. All times are in milliseconds.
pub struct Job {
    pub request: usize,
    pub prefill_tokens: f64,
    pub output_tokens: u32,
    pub sent_at: f64,
    pub first_output_at: f64,
    pub last_event_at: f64,
    pub longest_gap: f64,
    pub generated: u32,
}

pub enum Output {
    First(usize),
    End(Job),
}

#[derive(Default)]
pub struct Server {
    pub slow_factor: f64,
    queue: VecDeque<Job>,
    streams: Vec<Job>,
    free_at: f64,
    pub busy_ms: f64,
}

impl Server {
    pub fn add(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Runs the steps that begin before `until`.
    pub fn run(&mut self, until: f64, outputs: &mut Vec<Output>) {
        while self.free_at < until {
            let has_slot = self.streams.len() < SLOTS;
            let head = self.queue.front_mut().filter(|_| has_slot);
            if head.is_none() && self.streams.is_empty() {
                self.free_at = until;
                return;
            }
            let chunk = head.map_or(0.0, |job| {
                let chunk = job.prefill_tokens.min(CHUNK_TOKENS);
                job.prefill_tokens -= chunk;
                chunk
            });
            let streams = self.streams.len() as f64;
            let decode_ms = if self.streams.is_empty() { 0.0 } else { 3.4 + 0.1 * streams };
            let step_ms = (chunk / PREFILL_TOKENS_PER_MS + decode_ms) * self.slow_factor;
            self.free_at += step_ms;
            self.busy_ms += chunk / PREFILL_TOKENS_PER_MS * self.slow_factor;
            self.decode(outputs);
            if has_slot && self.queue.front().is_some_and(|job| job.prefill_tokens <= 0.0) {
                let mut job = self.queue.pop_front().expect("a prompt");
                (job.first_output_at, job.last_event_at) = (self.free_at, self.free_at);
                outputs.push(Output::First(job.request));
                self.streams.push(job);
            }
        }
    }

    fn decode(&mut self, outputs: &mut Vec<Output>) {
        for job in &mut self.streams {
            job.generated += 1;
            if job.generated.is_multiple_of(TOKENS_PER_EVENT) {
                job.longest_gap = job.longest_gap.max(self.free_at - job.last_event_at);
                job.last_event_at = self.free_at;
            }
        }
        let is_done = |job: &mut Job| job.generated >= job.output_tokens;
        outputs.extend(self.streams.extract_if(.., is_done).map(Output::End));
    }
}

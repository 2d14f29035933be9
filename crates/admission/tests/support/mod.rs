//! Model of engines under load: each computes prefills one after another.

use std::time::Duration;

use juniper_admission::{PromptAdmission, PromptDemand, ServerUsage, ServiceScarcity};
use juniper_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const TENANTS: u64 = 16;
const SERVERS: usize = 24;

/// Each gets about ten prompts per second, as in a deployment of 76 routers.
const ROUTERS: usize = 100;

const FIXED_MS: f64 = 52.0;
const MS_PER_TOKEN: f64 = 0.011;
const SLOTS: f64 = 32.0;
const CACHE_TOKENS: f64 = 114_380.0;

/// Interval of the dispatch reports, within which routers see the same state of the servers.
const REPORT_MS: f64 = 30.0;

/// Prefill time of a mean request: 522 long prompts for each 198 short ones.
const MEAN_PREFILL_MS: f64 = (522.0 * 2_890.0 + 198.0 * 628.0) / 720.0 * MS_PER_TOKEN;

/// Kind of prompts: 0 for short, urgent ones, 1 for long ones.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub rank: u8,
    pub own_tokens: u32,
    pub tenant: u64,
    pub in_time: bool,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    free_at: f64,
    /// End and held tokens of each running request.
    running: Vec<(f64, f64)>,
}

impl Engine {
    fn usage(&mut self, now: f64) -> ServerUsage {
        self.running.retain(|(end, _)| *end > now);
        let held: f64 = self.running.iter().map(|(_, tokens)| tokens).sum();
        ServerUsage {
            wait_ms: (self.free_at - now).max(0.0),
            slot_share: self.running.len() as f64 / SLOTS,
            memory_share: held / CACHE_TOKENS,
            gap_ms: 0.0,
        }
    }
}

/// Normally distributed number (Box-Muller).
fn normal(random: &mut ChaCha8Rng) -> f64 {
    let (one, other): (f64, f64) = (random.random_range(1e-9..1.0), random.random());
    (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos()
}

/// Log-normal own part of a long prompt: mean 2,890 tokens, at most 39,600.
fn long_tokens(random: &mut ChaCha8Rng) -> u32 {
    (2_890.0 * (normal(random) - 0.5).exp()).min(39_600.0) as u32
}

/// Sends prompts for `seconds` at `load(second)` times what the engines can compute. Tenant 0 sends
/// `flood` times as many as each of the others, in addition.
pub fn run(seconds: f64, flood: f64, load: impl Fn(f64) -> f64) -> Vec<Outcome> {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut engines = vec![Engine::default(); SERVERS];
    let mut routers = vec![PromptAdmission::default(); ROUTERS];
    let (mut scarcity, mut reported_at) = (ServiceScarcity::default(), f64::MIN);
    let (mut now, mut outcomes) = (0.0, Vec::new());
    while now < seconds * 1_000.0 {
        let capacity_per_ms = SERVERS as f64 / MEAN_PREFILL_MS;
        let (weight, others) = (1.0 + flood, (TENANTS - 1) as f64);
        let per_ms = capacity_per_ms * load(now / 1_000.0) * (weight + others) / TENANTS as f64;
        now -= random.random_range(1e-9_f64..1.0).ln() / per_ms;
        if now - reported_at > REPORT_MS {
            let usage: Vec<_> = engines.iter_mut().map(|engine| engine.usage(now)).collect();
            (scarcity, reported_at) = (ServiceScarcity::of(&usage), now);
        }
        let rank = u8::from(random.random_range(0..720) < 522);
        let own_tokens = if rank == 1 { long_tokens(&mut random) } else { 628 };
        let is_flood = random.random_range(0.0..weight + others) < weight;
        let tenant = if is_flood { 0 } else { random.random_range(1..TENANTS) };
        let (objective_ms, output_ms, shared) =
            if rank == 1 { (400, 50.0, 6_300) } else { (300, 1_000.0, 198) };
        let demand = PromptDemand {
            rank,
            tenant: tenant + 1,
            tokens: shared + own_tokens,
            work_tokens: own_tokens,
            objective: Duration::from_millis(objective_ms),
            max_gap: None,
        };
        let at = Timestamp((now * 1_000.0) as u64);
        let router = random.random_range(0..ROUTERS);
        let is_admitted = routers[router].decide(&demand, &scarcity, at).is_ok();
        // Routers know only roughly which engine is the least loaded.
        let drawn = (0..4).map(|_| random.random_range(0..SERVERS));
        let best =
            drawn.min_by(|one, other| engines[*one].free_at.total_cmp(&engines[*other].free_at));
        let engine = &mut engines[best.expect("four drawn")];
        let computed_at = engine.free_at.max(now) + f64::from(own_tokens) * MS_PER_TOKEN;
        let in_time = is_admitted && computed_at + FIXED_MS - now <= objective_ms as f64;
        // Late prompts run after the others, so they aren't queued.
        if in_time {
            engine.free_at = computed_at;
            let end = computed_at + FIXED_MS + output_ms;
            engine.running.push((end, f64::from(shared + own_tokens)));
        }
        outcomes.push(Outcome { rank, own_tokens, tenant, in_time });
    }
    outcomes
}

/// Share of the selected prompts that were in time.
pub fn served(outcomes: &[Outcome], selects: impl Fn(&Outcome) -> bool) -> f64 {
    let selected: Vec<_> = outcomes.iter().filter(|outcome| selects(outcome)).collect();
    let in_time = selected.iter().filter(|outcome| outcome.in_time).count();
    in_time as f64 / selected.len().max(1) as f64
}

/// Tokens of prefill per second of the prompts in time.
pub fn goodput(outcomes: &[Outcome], seconds: f64) -> f64 {
    let in_time = outcomes.iter().filter(|outcome| outcome.in_time);
    in_time.map(|outcome| f64::from(outcome.own_tokens)).sum::<f64>() / seconds
}

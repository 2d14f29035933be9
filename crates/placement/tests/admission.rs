//! Goodput must not fall when load exceeds capacity.
//!
//! Queued prompts occupy cache memory, so that more shared segments must be computed again. Without
//! rejections, goodput collapses.

use std::time::Duration;

use juniper_placement::StartEstimate;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const OBJECTIVE: Duration = Duration::from_millis(800);

fn estimate(first_output_ms: f64, wait_ms: f64) -> StartEstimate {
    StartEstimate { first_output_ms, wait_ms }
}

#[test]
fn prompt_that_starts_in_time_is_admitted_without_checking_other_servers() {
    let lower_quartile_wait_ms = || panic!("the waits of all servers aren't needed");
    assert_eq!(estimate(300.0, 290.0).overload(1, OBJECTIVE, lower_quartile_wait_ms), None);
}

#[test]
fn long_prompt_is_admitted_with_spare_capacity_and_rejected_without() {
    let long = estimate(700.0, 0.0);
    assert_eq!(long.overload(1, OBJECTIVE, || 10.0), None);
    let overload = long.overload(1, OBJECTIVE, || 100.0).expect("it would delay others");
    assert_eq!((overload.limit_ms, overload.lower_quartile_wait_ms), (320.0, 100.0));
    assert_eq!(overload.excess(), Duration::from_millis(380));
}

#[test]
fn prompt_behind_a_long_queue_is_rejected_despite_spare_capacity() {
    assert!(estimate(400.0, 350.0).overload(1, OBJECTIVE, || 0.0).is_some());
}

#[test]
fn less_urgent_prompts_are_rejected_first() {
    let queued = estimate(380.0, 370.0);
    assert!(queued.overload(1, OBJECTIVE, || 100.0).is_some());
    assert_eq!(queued.overload(0, OBJECTIVE, || 100.0), None);
}

/// Simple model of servers: prefills run in order of arrival, and queued prompts evict shared
/// segments.
struct Servers {
    /// Time at which each server will have finished its queue, in milliseconds.
    free_at: Vec<f64>,
}

/// Prefill time of a prompt with and without its shared segments cached, in milliseconds.
const CACHED_PREFILL_MS: f64 = 75.0;
const UNCACHED_PREFILL_MS: f64 = 240.0;

/// Queueing time above which a server has no shared segments in its cache, in milliseconds.
const EVICTED_FROM_WAIT_MS: f64 = 1_000.0;

impl Servers {
    /// Number of prompts in time, of those that arrive evenly at `per_second` for `seconds`.
    fn in_time(per_second: f64, seconds: f64, rejects: bool) -> usize {
        let mut servers = Servers { free_at: vec![0.0; 12] };
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let arrivals = (per_second * seconds) as usize;
        let sent = (0..arrivals).map(|number| {
            let now = number as f64 / per_second * 1_000.0;
            servers.send(now, random.random_range(0.5..1.5), rejects)
        });
        sent.filter(|in_time| *in_time).count()
    }

    fn send(&mut self, now: f64, size: f64, rejects: bool) -> bool {
        let waits: Vec<f64> = self.free_at.iter().map(|at| (at - now).max(0.0)).collect();
        let (index, wait) = waits
            .iter()
            .copied()
            .enumerate()
            .min_by(|one, other| one.1.total_cmp(&other.1))
            .expect("there are servers");
        let evicted = (wait / EVICTED_FROM_WAIT_MS).min(1.0);
        let prefill =
            size * (CACHED_PREFILL_MS + (UNCACHED_PREFILL_MS - CACHED_PREFILL_MS) * evicted);
        let first_output_ms = wait + prefill;
        let overload = estimate(first_output_ms, wait).overload(1, OBJECTIVE, || wait);
        if rejects && overload.is_some() {
            return false;
        }
        self.free_at[index] = now + first_output_ms;
        first_output_ms <= OBJECTIVE.as_secs_f64() * 1_000.0
    }
}

#[test]
fn goodput_does_not_fall_when_load_exceeds_capacity() {
    let served = |per_second, rejects| Servers::in_time(per_second, 34.0, rejects);
    let at_knee = served(140.0, true);
    assert!(at_knee as f64 > 0.95 * 140.0 * 34.0, "{at_knee}");
    for per_second in [200.0, 300.0, 500.0] {
        let (rejecting, accepting) = (served(per_second, true), served(per_second, false));
        println!("{per_second} per second: {rejecting} in time, {accepting} without rejections");
        assert!(
            rejecting as f64 >= 0.95 * at_knee as f64,
            "{per_second}: {rejecting} of {at_knee}"
        );
        assert!(accepting < at_knee / 2, "{per_second}: without rejections: {accepting}");
    }
}

//! Fits to simulated samples: first outputs in 52 ms + 11 ms per 1,000 tokens with the upper tail of
//! the measurements in `docs/design/overload.md`.

use std::time::Duration;

use juniper_timing::{FirstOutputWork, MIN_SAMPLES, ServerFactor, ServiceTiming, TimingEstimate};
use juniper_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn ms(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}

fn work(prefill_tokens: f64) -> FirstOutputWork {
    FirstOutputWork { prefill_tokens, ..FirstOutputWork::default() }
}

/// Observed / median: p10 at 0.7, p90 at 2.3. One sample in seven is from a slow phase.
fn tail(random: &mut ChaCha8Rng) -> f64 {
    let ordinary = random.random_range(-0.45_f64..0.35).exp();
    if random.random_bool(0.14) { ordinary * random.random_range(2.0..3.0) } else { ordinary }
}

/// Prompts of a few hundred to 12,000 tokens.
fn random_tokens(random: &mut ChaCha8Rng) -> f64 {
    random.random_range(5.3_f64..9.4).exp()
}

/// Records `count` samples, one each 140 ms.
fn fitted(line: (f64, f64), count: u64, random: &mut ChaCha8Rng) -> ServiceTiming {
    let mut timing = ServiceTiming::default();
    for number in 0..count {
        let tokens = random_tokens(random);
        let took = (line.0 + line.1 * tokens) * tail(random);
        timing.record_first_output(work(tokens), ms(took), at(number * 140));
    }
    timing
}

/// Guards against a fit that follows the mean: the tail would make each prompt look slower than
/// most are.
#[test]
fn fit_follows_the_median_of_samples_with_a_long_tail() {
    let lines = [(52.0, 0.011), (80.0, 0.026), (20.0, 0.006)];
    for (seed, line) in (0..20).flat_map(|seed| lines.map(|line| (seed, line))) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let timing = fitted(line, 200, &mut random);
        let fitted = timing.first_output_line();
        for tokens in [500.0, 2_890.0, 9_190.0] {
            let ratio = fitted.at(tokens) / (line.0 + line.1 * tokens);
            assert!((0.8..1.25).contains(&ratio), "seed {seed} {line:?} {tokens}: {fitted:?}");
        }
    }
}

/// Guards against a single slow answer that makes all servers look slow.
#[test]
fn slow_answers_hardly_move_the_fit() {
    let mut timing = fitted((52.0, 0.011), 60, &mut ChaCha8Rng::seed_from_u64(1));
    let before = timing.estimate(at(8_400)).first_output_ms(work(2_890.0));
    for number in 0..3 {
        timing.record_first_output(work(2_890.0), ms(9_000.0), at(8_400 + number));
    }
    let after = timing.estimate(at(8_410)).first_output_ms(work(2_890.0));
    assert!((after / before - 1.0).abs() < 0.1, "{before} {after}");
}

/// Guards against refusals by time after a restart, when only the start values are known.
#[test]
fn estimate_starts_optimistic_and_states_whether_it_has_enough_samples() {
    let mut timing = ServiceTiming::default();
    let start = timing.estimate(at(0));
    assert_eq!(start, TimingEstimate::START);
    assert_eq!((start.fixed_ms(), start.prefill_ms(1_000.0)), (50.0, 10.0));
    assert_eq!(start.tokens_in(ms(10.0)), 1_000.0);
    for number in 0..MIN_SAMPLES as u64 {
        assert!(!timing.estimate(at(number)).has_enough_samples(), "{number}");
        timing.record_first_output(work(2_890.0), ms(84.0), at(number));
    }
    assert!(timing.estimate(at(20)).has_enough_samples());
}

/// Guards against parameters without bounds: times that no server has must not make every request
/// look late, or free.
#[test]
fn parameters_are_bounded() {
    for took in [0.0, 9_999.0] {
        let mut timing = ServiceTiming::default();
        for number in 0..300 {
            let tokens = [0.0, 500.0, 2_000.0, 9_000.0][number as usize % 4];
            timing.record_first_output(work(tokens), ms(took), at(number));
        }
        let line = timing.first_output_line();
        assert!((1.0..=500.0).contains(&line.fixed_ms), "{line:?}");
        assert!((0.0025..=0.5).contains(&line.ms_per_token), "{line:?}");
    }
}

/// Guards against a fit that isn't corrected because it makes every request look late, so that no
/// request counts as a sample; and against times of a suspended process.
#[test]
fn fit_starts_again_without_samples_and_ignores_suspensions() {
    let mut timing = ServiceTiming::default();
    for number in 0..100 {
        timing.record_first_output(work(500.0), ms(3_000.0), at(number));
    }
    assert!(timing.estimate(at(200)).first_output_ms(work(500.0)) > 450.0);
    assert_eq!(timing.estimate(at(15_200)), TimingEstimate::START);
    timing.record_first_output(work(500.0), ms(60.0), at(15_200));
    assert_eq!(timing.estimate(at(15_201)).samples(), 1);
    timing.record_first_output(work(500.0), Duration::from_secs(30), at(15_202));
    assert_eq!(timing.estimate(at(15_203)).samples(), 1, "the process was suspended");
}

/// Guards against samples that contain KV transfers or queues, which would count as prefill.
#[test]
fn queues_and_transfers_are_not_part_of_the_fixed_part() {
    let (mut timing, mut random) = (ServiceTiming::default(), ChaCha8Rng::seed_from_u64(3));
    for number in 0..200 {
        let work = FirstOutputWork {
            prefill_tokens: random_tokens(&mut random),
            tokens_ahead: random.random_range(0.0..1_000.0),
            transfer_ms: random.random_range(0.0..80.0),
        };
        let tokens = work.prefill_tokens + work.tokens_ahead;
        let took = 52.0 + 0.011 * tokens + work.transfer_ms;
        timing.record_first_output(work, ms(took), at(number));
    }
    let line = timing.first_output_line();
    assert!((line.fixed_ms - 52.0).abs() < 2.0, "{line:?}");
    assert!((line.ms_per_token - 0.011).abs() < 0.001, "{line:?}");
}

/// Guards against a fit that follows wrong estimates of long queues: here the queue behind which the
/// requests were expected didn't exist.
#[test]
fn samples_behind_long_queues_hardly_move_the_fit() {
    let mut timing = fitted((52.0, 0.011), 100, &mut ChaCha8Rng::seed_from_u64(1));
    let before = timing.first_output_line();
    for number in 0..30 {
        let work = FirstOutputWork { tokens_ahead: 60_000.0, ..work(2_000.0) };
        timing.record_first_output(work, ms(74.0), at(14_000 + number));
    }
    let after = timing.first_output_line();
    for tokens in [500.0, 2_890.0, 9_190.0] {
        assert!((after.at(tokens) / before.at(tokens) - 1.0).abs() < 0.1, "{before:?} {after:?}");
    }
}

/// Guards against avoiding a server long after it has slowed down, and against following noise: a
/// slow phase lasts 600 ms.
#[test]
fn server_factor_follows_a_slow_phase_and_forgets_it() {
    let mut factor = ServerFactor::default();
    assert_eq!(factor.at(at(0)), 1.0);
    factor.record(212.0, 85.0, at(0));
    assert!((1.2..2.0).contains(&factor.at(at(0))), "one sample is weak evidence");
    (1..6).for_each(|number| factor.record(212.0, 85.0, at(number * 100)));
    assert!((2.0..2.5).contains(&factor.at(at(500))), "{}", factor.at(at(500)));
    assert!(factor.at(at(5_500)) < 1.2, "{}", factor.at(at(5_500)));
}

/// Guards against a server that hangs once or answers from elsewhere and then is never, or always,
/// chosen.
#[test]
fn server_factor_is_bounded() {
    let (mut slow, mut fast) = (ServerFactor::default(), ServerFactor::default());
    for number in 0..1_000 {
        slow.record(1e9, 1.0, at(number));
        fast.record(0.0, 1_000.0, at(number));
    }
    assert!((3.9..=4.0).contains(&slow.at(at(1_000))), "{}", slow.at(at(1_000)));
    assert!((0.5..=0.51).contains(&fast.at(at(1_000))), "{}", fast.at(at(1_000)));
    slow.record(1.0, 0.0, at(1_000));
    assert!(slow.at(at(1_000)).is_finite());
}

/// Guards against a gap model that ignores concurrent prefill: an event of 8 decode steps takes 27
/// ms alone, and each step waits for a chunk of 2,048 tokens of other prompts.
#[test]
fn gap_grows_with_the_prefill_beside_the_stream() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut timing = ServiceTiming::default();
        for number in 0..200 {
            timing.record_first_output(work(700.0), ms(60.0), at(number));
            let beside = if random.random_bool(0.5) { 0.0 } else { random_tokens(&mut random) };
            let gap = (27.0 + beside / 112.0) * tail(&mut random);
            timing.record_gap(beside, ms(gap), at(number));
        }
        let estimate = timing.estimate(at(200));
        for beside in [0.0, 2_890.0, 9_190.0] {
            let ratio = estimate.gap_ms(beside) / (27.0 + beside / 112.0);
            assert!((0.7..1.4).contains(&ratio), "seed {seed} {beside}: {ratio}");
        }
        assert_eq!(estimate.gap_ms(100_000.0), estimate.gap_ms(20_000.0), "one event");
        assert!(estimate.new_stream_gap_ms(10_000.0) > estimate.new_stream_gap_ms(0.0));
    }
}

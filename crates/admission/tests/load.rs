//! Prompts served in time while demand exceeds what the engines can compute.

mod support;

use support::{Outcome, goodput, run, served};

const SECONDS: f64 = 40.0;

/// Smallest size in the largest `share` of the long prompts.
fn smallest_of_largest(outcomes: &[Outcome], share: f64) -> u32 {
    let long = outcomes.iter().filter(|outcome| outcome.rank == 1);
    let mut sizes: Vec<u32> = long.map(|outcome| outcome.own_tokens).collect();
    sizes.sort_unstable();
    sizes[(sizes.len() as f64 * (1.0 - share)) as usize]
}

/// Checks that no size class of the long prompts and no rank starves.
fn check_classes(outcomes: &[Outcome], name: &str) {
    let long = served(outcomes, |outcome| outcome.rank == 1);
    let urgent = served(outcomes, |outcome| outcome.rank == 0);
    let (p90, p70) = (smallest_of_largest(outcomes, 0.1), smallest_of_largest(outcomes, 0.3));
    let largest = served(outcomes, |outcome| outcome.rank == 1 && outcome.own_tokens >= p90);
    let large =
        served(outcomes, |outcome| outcome.rank == 1 && (p70..p90).contains(&outcome.own_tokens));
    println!("{name}: urgent {urgent:.3} long {long:.3} largest {largest:.3} large {large:.3}");
    assert!(largest >= 0.8 * long, "{name}: largest tenth {largest} of {long}");
    assert!(large >= 0.8 * long, "{name}: fifth below {large} of {long}");
    assert!(urgent >= long, "{name}: urgent {urgent}, less urgent {long}");
}

/// Guards against queues that grow until nothing is in time, and against relief that is taken from
/// long prompts only.
#[test]
fn goodput_does_not_fall_beyond_the_knee_and_no_class_starves() {
    let at_knee = goodput(&run(SECONDS, 0.0, |_| 1.0), SECONDS);
    for load in [1.0, 1.55, 2.0, 3.0] {
        let outcomes = run(SECONDS, 0.0, |_| load);
        let goodput = goodput(&outcomes, SECONDS);
        println!("load {load}: {goodput:.0} tokens per second, {at_knee:.0} at the knee");
        check_classes(&outcomes, &format!("load {load}"));
        assert!(goodput >= 0.97 * at_knee, "{load}: {goodput} of {at_knee}");
    }
}

#[test]
fn load_wave_leaves_no_class_behind() {
    let wave = |second: f64| 1.0 + 0.55 * (second / 8.0 * std::f64::consts::TAU).sin();
    let outcomes = run(SECONDS, 0.0, wave);
    check_classes(&outcomes, "wave");
    // Of the mean load, 0.825 is below capacity (1 - 0.55 / pi).
    let least_needed = 0.9 * 0.825;
    let in_time = served(&outcomes, |_| true);
    println!("wave: {in_time:.3} in time");
    assert!(in_time >= least_needed, "{in_time}");
}

#[test]
fn nothing_is_refused_below_capacity() {
    let outcomes = run(SECONDS, 0.0, |_| 0.6);
    assert!(served(&outcomes, |outcome| outcome.own_tokens < 20_000) > 0.995);
}

/// Guards against a tenant that takes the capacity of the others by sending more.
#[test]
fn flooding_tenant_leaves_the_others_their_capacity() {
    let others = |outcome: &Outcome| outcome.tenant != 0;
    let before = served(&run(SECONDS, 0.0, |_| 0.8), others);
    let flooded = run(SECONDS, 20.0, |_| 0.8);
    let after = served(&flooded, others);
    let flooding = served(&flooded, |outcome| !others(outcome));
    println!("others: {before:.3} without the flood, {after:.3} with it; flooding {flooding:.3}");
    assert!(after >= 0.95 * before, "{before} before, {after} in the flood");
    assert!(flooding > 0.02, "the flooding tenant gets what is left: {flooding}");
}

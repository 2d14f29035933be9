//! Selection among many routers with late reports.

#[path = "../support/mod.rs"]
mod support;

mod fleet;
mod rules;
mod servers;

use fleet::{Case, Measures, Way, simulate};

/// Means over two seeds, which run at the same time.
fn measure(routers: usize, way: Way, case: Case) -> Measures {
    let runs = [1, 2].map(|seed| std::thread::spawn(move || simulate(routers, way, case, seed)));
    let [one, other] = runs.map(|run| run.join().expect("a run"));
    let measures = one.mean(&other);
    println!("{case:?} routers={routers} {way:?} {measures:.3?}");
    measures
}

/// Guards against many routers that all send to the same server within the report delay.
#[test]
fn hot_segment_queues_less_than_under_the_earlier_rules() {
    for routers in [20, 40, 80] {
        let earlier = measure(routers, Way::Earlier, Case::HotSegment);
        let draw = measure(routers, Way::Draw, Case::HotSegment);
        assert!(draw.wait_p90 < earlier.wait_p90 * 0.85, "{routers}: {draw:?} {earlier:?}");
    }
}

/// Guards against short prompts whose streams stall among long prefills.
#[test]
fn short_prompts_have_fewer_gaps_than_under_the_earlier_rules() {
    let earlier = measure(80, Way::Earlier, Case::Peak);
    let draw = measure(80, Way::Draw, Case::Peak);
    assert!(draw.short_gaps < earlier.short_gaps * 0.7, "{draw:?} {earlier:?}");
}

/// Guards against ways of selection that scatter prompts away from their cached segments.
#[test]
fn draw_serves_more_in_time_than_random_candidates_and_shares() {
    let draw = measure(20, Way::Draw, Case::Even);
    for way in [Way::TwoRandom, Way::Share] {
        let other = measure(20, way, Case::Even);
        assert!(draw.in_time > other.in_time + 0.02, "{way:?}: {draw:?} {other:?}");
        assert!(draw.wait_p90 < other.wait_p90, "{way:?}: {draw:?} {other:?}");
    }
}

/// Guards against routers without reports that all keep sending to the server that was the cheapest
/// when the partition began.
#[test]
fn partitioned_zone_queues_no_longer_than_under_the_earlier_rules() {
    let earlier = measure(40, Way::Earlier, Case::Partition);
    let draw = measure(40, Way::Draw, Case::Partition);
    assert!(draw.wait_p90 < earlier.wait_p90 * 1.1, "{draw:?} {earlier:?}");
    assert!(draw.in_time > earlier.in_time - 0.02, "{draw:?} {earlier:?}");
}

/// Prints the comparison of all ways and cases.
#[test]
#[ignore = "takes about a minute"]
fn all_ways() {
    for case in [Case::Even, Case::Peak, Case::UnequalSpeed, Case::HotSegment, Case::Partition] {
        for routers in [20, 40, 80] {
            for way in [Way::Earlier, Way::Draw, Way::TwoRandom, Way::Share] {
                measure(routers, way, case);
            }
        }
    }
}

//! The draw, the division into lanes, and what happens without reports.

use std::collections::{BTreeSet, HashMap};

use juniper_placement::{DispatchRecord, Outcome, Placement, Prompt, ServiceProfile, select};
use juniper_registry::InstanceId;

use crate::support::{SERVICE, at, placement, prompt, request};

fn tight(servers: u16, is_tight: bool) -> Placement {
    let mut placement = placement(servers);
    let profile = ServiceProfile { is_tight, ..ServiceProfile::default() };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
    placement
}

/// A prompt without shared segments.
fn unshared(tokens: u32) -> Prompt {
    let mut prompt = prompt(0, 1);
    prompt.segments.remove(0);
    prompt.segments[0].tokens = tokens;
    Prompt { tokens, ..prompt }
}

/// Servers that are chosen for the prompt with different random numbers.
fn chosen(placement: &Placement, prompt: &Prompt, millis: u64) -> BTreeSet<InstanceId> {
    let choose = |random: u64| {
        let random = random.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        placement.choose(&request(prompt, &[]), at(millis), random).expect("a server").instance
    };
    (0..1_000).map(choose).collect()
}

#[test]
fn cheapest_server_is_selected_without_unreported_work() {
    for random in [0, 1, 7, u64::MAX / 2, u64::MAX] {
        assert_eq!(select(&[30.0, 10.0, 12.0], 0.0, random), Some(1));
    }
    assert_eq!(select(&[], 1.0, 0), None);
    assert_eq!(select(&[f64::INFINITY, 5.0], f64::NAN, 0), Some(1));
}

/// Guards against a draw that scatters prompts away from their cached segments.
#[test]
fn much_cheaper_server_keeps_its_prompts() {
    let mut costs = vec![400.0; 90];
    costs[17] = 50.0;
    assert!((0..1_000).all(|random| select(&costs, 10.0, random) == Some(17)));
}

/// A wrong random number, such as a constant, must not select an expensive server.
#[test]
fn any_random_number_selects_a_server_near_the_lowest_cost() {
    let costs: Vec<f64> = (0..90).map(|index| f64::from(index * 53 % 90) * 3.0).collect();
    for random in (0..500).chain([u64::MAX, u64::MAX << 32, 1 << 63]) {
        let cost = costs[select(&costs, 2.0, random).expect("a server")];
        assert!(cost <= 40.0, "{cost}");
    }
}

#[test]
fn draw_weights_fall_with_cost() {
    let mut counts = [0_i32; 3];
    (0..6_000).for_each(|random| counts[select(&[0.0, 10.0, 20.0], 20.0, random).unwrap()] += 1);
    // The work of 60 ms raises all three to 30 ms.
    let expected = [3_000, 2_000, 1_000];
    let is_near = counts.iter().zip(expected).all(|(count, one)| (count - one).abs() < 200);
    assert!(is_near, "{counts:?}");
}

/// Dispatches reported by another router: long and short prompts as in a deployment with many
/// streams of short prompts.
fn report_dispatches(placement: &mut Placement, until_ms: u64) {
    let sent = placement.choose(&request(&unshared(100), &[]), at(0), 0).expect("a server");
    for millis in (0..until_ms).step_by(2) {
        let is_long = millis % 8 != 0;
        let tokens = if is_long { 3_000 } else { 700 };
        let report = DispatchRecord {
            instance: InstanceId::new(format!("i-{}", 1 + millis / 2 % 90)),
            own_tokens: tokens,
            tokens,
            prefill_tokens: tokens,
            ..sent.dispatch_record()
        };
        placement.apply_untracked_dispatch(&report, at(millis));
    }
}

/// Reports more requests at each server than at the one before, so that costs differ.
fn report_requests(placement: &mut Placement) {
    let sent = placement.choose(&request(&unshared(100), &[]), at(0), 0).expect("a server");
    for server in 0..90 {
        let report = DispatchRecord {
            instance: InstanceId::new(format!("i-{}", server + 1)),
            own_tokens: 0,
            tokens: 0,
            prefill_tokens: 0,
            ..sent.dispatch_record()
        };
        (0..server * 4).for_each(|_| placement.apply_untracked_dispatch(&report, at(500)));
    }
}

/// Guards against routers that all select the cheapest server while no reports arrive.
#[test]
fn spread_grows_with_the_age_of_the_last_report_up_to_a_bound() {
    let mut placement = tight(90, true);
    report_dispatches(&mut placement, 500);
    report_requests(&mut placement);
    let counts = [510, 700, 1_000, 1_500].map(|at| chosen(&placement, &unshared(3_000), at).len());
    assert!(counts[1] > counts[0] && counts[2] >= counts[1], "{counts:?}");
    assert!(counts[3] <= counts[2], "{counts:?}");
}

#[test]
fn service_that_is_not_tight_ignores_unreported_work() {
    let mut placement = tight(90, false);
    report_dispatches(&mut placement, 500);
    report_requests(&mut placement);
    assert_eq!(chosen(&placement, &unshared(3_000), 510).len(), 1);
}

/// Sends `count` prompts of this router, each of which takes `millis`.
fn send_prompts(placement: &mut Placement, count: u64, tokens: u32, millis: u64) {
    for start in (0..count).map(|number| 2_000 + number * 10) {
        let choice = placement.choose(&request(&unshared(tokens), &[]), at(start), start);
        let ticket = placement.begin_request(&choice.expect("a server"), true, at(start));
        placement.end_request(ticket, Outcome::Answered, at(start + millis));
    }
}

fn lane_of_short_prompts(is_tight: bool, short_ms: u64) -> BTreeSet<InstanceId> {
    let mut placement = tight(90, is_tight);
    report_dispatches(&mut placement, 2_000);
    send_prompts(&mut placement, 20, 700, short_ms);
    send_prompts(&mut placement, 60, 3_000, 150);
    chosen(&placement, &unshared(700), 20_000)
}

/// Guards against a lane of short prompts whose slots are full, so that they run among long
/// prefills.
#[test]
fn lane_of_short_prompts_has_room_for_their_streams() {
    let lane = lane_of_short_prompts(true, 1_200).len();
    // 125 prompts per second of 1.2 s each half fill the 32 slots of 9.4 servers.
    assert!((9..30).contains(&lane), "{lane}");
    assert!(lane_of_short_prompts(false, 1_200).len() < lane, "{lane}");
}

/// Guards against routers that disagree on the lanes: their own durations differ by chance.
#[test]
fn routers_agree_on_most_of_the_lane() {
    let (one, other) = (lane_of_short_prompts(true, 1_200), lane_of_short_prompts(true, 1_400));
    assert!(one.symmetric_difference(&other).count() <= 3, "{one:?} {other:?}");
}

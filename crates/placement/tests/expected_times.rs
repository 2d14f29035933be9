//! Expected times in services with tight objectives, and their failures: missing samples and
//! reports, restarted servers, requests whose time doesn't measure their prompt.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{
    Choice, ChoiceError, ExpectedTiming, Outcome, Placement, Prompt, ReportedRequest,
    ServerRequest, ServiceProfile, Ticket,
};
use juniper_registry::{Instance, InstanceId, InstanceMap, StartTime};
use juniper_types::NodeId;

use support::{SERVICE, at, instance, prompt};

fn tight_placement(servers: u16) -> Placement {
    let mut placement = support::placement(servers);
    let profile = ServiceProfile { is_tight: true, ..ServiceProfile::default() };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
    placement
}

fn request(prompt: &Prompt) -> ServerRequest<'_> {
    let objective = Duration::from_millis(400);
    ServerRequest {
        objective,
        time_left: objective,
        may_be_refused: true,
        max_gap: Some(Duration::from_millis(300)),
        ..support::request(prompt, &[])
    }
}

fn choose(placement: &Placement, number: u64, millis: u64) -> Result<Choice, ChoiceError> {
    placement.choose(&request(&prompt(number, number)), at(millis), number)
}

fn expected(placement: &Placement, number: u64, millis: u64) -> ExpectedTiming {
    choose(placement, number, millis).expect("a server").expected.expect("a prompt")
}

fn begin(placement: &mut Placement, number: u64, millis: u64) -> Ticket {
    let choice = choose(placement, number, millis).expect("a server");
    placement.begin_request(&choice, true, at(millis))
}

/// Sends a prompt of 7,000 tokens whose first output takes `took`.
fn answer(placement: &mut Placement, number: u64, millis: u64, took: u64) {
    let mut ticket = begin(placement, number, millis);
    placement.record_first_output(&mut ticket, at(millis + took));
    placement.end_request(ticket, Outcome::Answered, at(millis + took));
}

/// Sends `count` prompts, one each 250 ms.
fn answer_all(placement: &mut Placement, count: u64, took: u64) {
    (0..count).for_each(|number| answer(placement, number, number * 250, took));
}

/// Guards against refusals by time after a restart, when only the start values are known.
#[test]
fn nothing_is_refused_by_time_before_20_samples() {
    let fill = |placement: &mut Placement, millis: u64| {
        let send = |number| {
            choose(placement, 1_000 + number, millis).map(|choice| {
                placement.begin_request(&choice, true, at(millis));
            })
        };
        (0..20_u64).map(send).filter(Result::is_err).count()
    };
    let mut restarted = tight_placement(1);
    answer_all(&mut restarted, 19, 130);
    assert_eq!(fill(&mut restarted, 5_000), 0);
    let mut measured = tight_placement(1);
    answer_all(&mut measured, 20, 130);
    assert!(fill(&mut measured, 5_000) > 0);
}

/// Guards against an expected time that ignores what was observed.
#[test]
fn expected_time_follows_the_observed_ones() {
    let mut placement = tight_placement(1);
    assert_eq!(expected(&placement, 900, 0).first_output_ms, 120.0, "50 ms + 7,000 tokens");
    answer_all(&mut placement, 60, 200);
    let found = expected(&placement, 900, 20_000).first_output_ms;
    assert!((180.0..220.0).contains(&found), "{found}");
}

/// Guards against a fit that requests move whose time doesn't measure their prompt: resumed streams,
/// and those during which the machine was suspended.
#[test]
fn excluded_requests_are_not_samples() {
    let mut placement = tight_placement(1);
    for number in 0..40 {
        let mut ticket = begin(&mut placement, number, number * 250);
        ticket.exclude_from_timing();
        placement.record_first_output(&mut ticket, at(number * 250 + 240));
        placement.record_longest_gap(&ticket, Duration::from_millis(900), at(number * 250 + 240));
        placement.end_request(ticket, Outcome::Answered, at(number * 250 + 240));
    }
    assert_eq!(expected(&placement, 900, 12_000), expected(&tight_placement(1), 900, 12_000));
}

/// Guards against a fit that late requests move: they run after all others.
#[test]
fn late_requests_are_not_samples() {
    let mut placement = tight_placement(1);
    let tickets: Vec<Ticket> = (0..12).map(|number| begin(&mut placement, number, 0)).collect();
    for (index, mut ticket) in tickets.into_iter().enumerate() {
        // Five prompts of 70 ms each are expected within 400 ms. They end without output.
        if index >= 5 {
            placement.record_first_output(&mut ticket, at(9_000));
        }
        placement.end_request(ticket, Outcome::Answered, at(9_000));
    }
    assert_eq!(expected(&placement, 900, 9_900).first_output_ms, 120.0);
}

/// Guards against overloading a server whose other requests aren't reported: its first outputs take
/// longer, and other servers are preferred until it is fast again.
#[test]
fn slow_server_is_avoided_if_dispatch_reports_are_missing() {
    let mut placement = tight_placement(2);
    answer_all(&mut placement, 40, 120);
    let slow = choose(&placement, 900, 10_000).expect("a server").instance;
    for number in 0..4 {
        let choice = placement
            .choose(
                &ServerRequest { excluded: &others(&slow), ..request(&prompt(900, number)) },
                at(10_000),
                1,
            )
            .expect("a server");
        assert_eq!(choice.instance, slow);
        let mut ticket = placement.begin_request(&choice, true, at(10_000));
        placement.record_first_output(&mut ticket, at(10_400));
        placement.end_request(ticket, Outcome::Answered, at(10_400));
    }
    let prompts = 2_000..2_020;
    let mut choices = prompts.clone().map(|number| choose(&placement, number, 10_410));
    assert!(choices.all(|choice| choice.expect("a server").instance != slow));
    let mut later = prompts.map(|number| choose(&placement, number, 20_000));
    assert!(later.any(|choice| choice.expect("a server").instance == slow));
}

fn others(id: &InstanceId) -> [InstanceId; 1] {
    let ids = [1, 2].map(|number| instance(number, 1).id);
    let [one, other] = ids;
    [if one.is_same(id) { other } else { one }]
}

/// Guards against avoiding a server for what its former incarnation did.
#[test]
fn restarted_server_is_expected_to_run_at_ordinary_speed() {
    let mut placement = tight_placement(1);
    answer_all(&mut placement, 40, 120);
    (0..4).for_each(|number| answer(&mut placement, 100 + number, 10_000, 390));
    let slow = expected(&placement, 900, 10_400).first_output_ms;
    let mut report = (*instance(1, 1).report).clone();
    report.started = StartTime::from_unix_ms(1_700_000_000_000);
    let restarted = Instance::of(report);
    placement.set_instances(&[Arc::new(restarted)].into_iter().collect::<InstanceMap>());
    let fresh = expected(&placement, 900, 10_400).first_output_ms;
    assert!(fresh < 140.0 && slow > 180.0, "{fresh} {slow}");
}

fn peer(number: u16) -> ReportedRequest {
    ReportedRequest { router: NodeId(5), number }
}

/// Guards against reports that a replica relays late: they count at their arrival, as their age is
/// unknown.
#[test]
fn late_reports_count_at_their_arrival() {
    let mut placement = tight_placement(1);
    let dispatch = choose(&placement, 1, 0).expect("a server").dispatch_record();
    let idle = expected(&placement, 900, 3_000).first_output_ms;
    placement.apply_peer_dispatch(peer(1), &dispatch, at(3_000));
    assert_eq!(expected(&placement, 900, 3_000).first_output_ms - idle, 70.0);
    assert_eq!(expected(&placement, 900, 3_100).first_output_ms, idle);
}

/// Guards against a queue that exists only in the model: if the expected prefill time is too long,
/// the modelled queues would grow although the servers are idle.
#[test]
fn ended_requests_end_the_queue_before_them() {
    let mut placement = tight_placement(1);
    let dispatch = choose(&placement, 1, 0).expect("a server").dispatch_record();
    (0..10).for_each(|number| placement.apply_peer_dispatch(peer(number), &dispatch, at(0)));
    let queued = expected(&placement, 900, 100).first_output_ms;
    placement.apply_peer_completion(peer(7), at(100));
    let rest = expected(&placement, 900, 100).first_output_ms;
    assert_eq!((queued, rest), (120.0 + 600.0, 120.0 + 140.0), "two requests came later");
    // A request that ends at once was refused, and says nothing on the queue.
    placement.apply_peer_dispatch(peer(20), &dispatch, at(110));
    let before = expected(&placement, 900, 112).first_output_ms;
    placement.apply_peer_completion(peer(20), at(112));
    assert_eq!(expected(&placement, 900, 112).first_output_ms, before);
}

/// Runs a stream beside other prompts of 7,000 tokens each, and returns the expected longest gap of
/// the next one, at a server that was idle for a second.
fn stream_beside(placement: &mut Placement, prompts: u16, gap_ms: u64) -> f64 {
    let mut end = 0;
    for number in 0..40 {
        let start = number * 400;
        let mut ticket = begin(placement, number, start);
        placement.record_first_output(&mut ticket, at(start + 120));
        let dispatch = choose(placement, 500 + number, start).expect("a server").dispatch_record();
        for other in 0..prompts {
            placement.apply_peer_dispatch(peer(other), &dispatch, at(start + 150));
        }
        end = start + 390;
        placement.record_longest_gap(&ticket, Duration::from_millis(gap_ms), at(end));
        placement.end_request(ticket, Outcome::Answered, at(end));
        (0..prompts).for_each(|other| placement.apply_peer_completion(peer(other), at(end)));
    }
    expected(placement, 900, end + 1_200).longest_gap_ms.expect("a tight service")
}

/// Guards against gaps that are expected without the prefill that runs beside a stream.
#[test]
fn expected_gap_follows_the_observed_gaps_and_the_prefill_beside_them() {
    let alone = stream_beside(&mut tight_placement(1), 0, 30);
    let beside = stream_beside(&mut tight_placement(1), 1, 160);
    assert!((20.0..45.0).contains(&alone), "{alone}");
    assert!((80.0..160.0).contains(&beside), "{beside}");
}

/// Guards against a long prefill beside streams whose gaps it would make too long.
#[test]
fn prefill_that_makes_gaps_too_long_costs_for_each_stream() {
    let cost = |gap_ms| {
        let mut placement = tight_placement(1);
        stream_beside(&mut placement, 1, gap_ms);
        let idle = choose(&placement, 900, 16_000).expect("a server").cost_ms;
        for number in 0..4 {
            let mut ticket = begin(&mut placement, number, 15_600);
            placement.record_first_output(&mut ticket, at(15_720));
        }
        choose(&placement, 900, 16_000).expect("a server").cost_ms - idle
    };
    let (short, long) = (cost(160), cost(600));
    assert!(long > short + 4.0 * 0.25 * 400.0 * 0.9, "{short} {long}");
}

/// Services without tight objectives keep their rules: the fixed part isn't modelled, nor are gaps.
#[test]
fn other_services_have_no_expected_gap() {
    let placement = support::placement(1);
    let expected = expected(&placement, 900, 0);
    assert_eq!(expected, ExpectedTiming { first_output_ms: 175.0, longest_gap_ms: None });
}

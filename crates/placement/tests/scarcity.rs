//! Admission by scarce resource in services with tight objectives.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{
    Choice, ChoiceError, DispatchRecord, Outcome, Overload, Placement, Prompt, PromptSegment,
    ReportedRequest, Resource, ServerRequest, ServiceProfile, SizeClass,
};
use juniper_registry::{Instance, InstanceMap, StartTime};
use juniper_types::NodeId;

use support::{SERVICE, at, instance};

const SERVERS: u16 = 8;

fn instances(started: u64) -> InstanceMap {
    let servers = (1..=SERVERS).map(|number| {
        let mut server: Instance = instance(number, 1);
        let report = Arc::make_mut(&mut server.report);
        (report.started, report.slots) = (StartTime::from_unix_ms(started), 6);
        Arc::new(Instance::of(report.clone()))
    });
    servers.collect()
}

/// Eight servers with a KV cache of this many tokens; zero for servers without prompts.
fn placement(is_tight: bool, cache_tokens: u64) -> Placement {
    let mut placement = Placement::new("north");
    placement.set_instances(&instances(1));
    let profile = ServiceProfile { cache_tokens, is_tight, ..ServiceProfile::default() };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
    placement
}

fn prompt(own_tokens: u32) -> Prompt {
    let segments = vec![PromptSegment { id: 1, tokens: own_tokens }];
    Prompt { model: "m".to_owned(), segments, tokens: own_tokens, output_tokens: 100 }
}

fn choose(placement: &Placement, prompt: Option<&Prompt>, millis: u64) -> Result<Choice, Overload> {
    choose_with(placement, prompt, millis, millis)
}

fn choose_with(
    placement: &Placement,
    prompt: Option<&Prompt>,
    millis: u64,
    random: u64,
) -> Result<Choice, Overload> {
    let nothing = Prompt::default();
    let request = support::request(prompt.unwrap_or(&nothing), &[]);
    let request = ServerRequest { prompt, may_be_refused: true, ..request };
    match placement.choose(&request, at(millis), random) {
        Ok(choice) => Ok(choice),
        Err(ChoiceError::Overloaded(overload)) => Err(overload),
        Err(error) => panic!("{error}"),
    }
}

/// Time at which prompts are sent under load, in milliseconds.
const NOW: u64 = 1_000;

/// Sends prompts at a time without load, until times, sizes and shares are known.
fn learn(placement: &mut Placement) {
    for _ in 0..40 {
        let choice = choose(placement, Some(&prompt(1_000)), 0).expect("no load");
        let mut ticket = placement.begin_request(&choice, true, at(0));
        placement.record_first_output(&mut ticket, at(60));
        placement.end_request(ticket, Outcome::Answered, at(60));
    }
}

/// A placement with known times, sizes and shares.
fn with_known_shares() -> Placement {
    let mut placement = placement(true, 100_000);
    learn(&mut placement);
    placement
}

/// Another router's dispatch to a server.
fn dispatch(server: u16, own_tokens: u32, prefill_tokens: u32) -> DispatchRecord {
    DispatchRecord {
        instance: instance(server, 1).id,
        version: 1,
        keys: Vec::new(),
        segment_tokens: Vec::new(),
        own_tokens,
        tokens: own_tokens,
        prefill_tokens,
    }
}

/// Reports the same dispatch to the first `servers` servers.
fn report(placement: &mut Placement, servers: u16, number: u16, record: &DispatchRecord) {
    for server in 1..=servers {
        let request = ReportedRequest { router: NodeId(5), number: number * 100 + server };
        let record = DispatchRecord { instance: instance(server, 1).id, ..record.clone() };
        placement.apply_peer_dispatch(request, &record, at(NOW));
    }
}

/// Reports memory of 100,000 tokens and more held on `servers` servers.
fn hold_memory(placement: &mut Placement, servers: u16) {
    (0..2).for_each(|number| report(placement, servers, number, &dispatch(1, 55_000, 0)));
}

/// The earlier rules refused long prompts for their own prefill while queues were short. They still
/// hold for services that aren't tight.
#[test]
fn long_prompt_is_admitted_while_no_resource_is_scarce() {
    for (is_tight, is_admitted) in [(true, true), (false, false)] {
        let mut placement = placement(is_tight, 200_000);
        learn(&mut placement);
        report(&mut placement, SERVERS, 0, &dispatch(1, 4_000, 4_000));
        let result = choose(&placement, Some(&prompt(39_600)), NOW);
        assert_eq!(result.is_ok(), is_admitted, "tight: {is_tight}: {result:?}");
    }
}

#[test]
fn prompt_is_refused_if_queues_are_long_on_three_quarters_of_the_servers() {
    for (busy, is_admitted) in [(SERVERS, false), (SERVERS / 2, true)] {
        let mut placement = with_known_shares();
        report(&mut placement, busy, 0, &dispatch(1, 80_000, 80_000));
        match choose(&placement, Some(&prompt(1_000)), NOW) {
            Ok(_) => assert!(is_admitted),
            Err(overload) => {
                let shortage = overload.shortage.expect("scarce");
                let scarce = (shortage.resource, shortage.size_class);
                assert_eq!(scarce, (Resource::Prefill, Some(SizeClass::Rest)));
                assert!(!is_admitted && overload.excess() > Duration::ZERO, "{overload:?}");
            }
        }
    }
}

/// A prompt that is expected late is sent with the lowest priority while there is spare capacity.
#[test]
fn late_prompt_is_sent_while_there_is_spare_capacity() {
    let choice = choose(&with_known_shares(), Some(&prompt(90_000)), NOW).expect("admitted");
    assert!(choice.is_late);
}

#[test]
fn memory_held_by_running_prompts_is_scarce_until_they_end() {
    let mut placement = with_known_shares();
    hold_memory(&mut placement, SERVERS);
    let overload = choose(&placement, Some(&prompt(1_000)), NOW).expect_err("no memory left");
    assert_eq!(overload.shortage.map(|shortage| shortage.resource), Some(Resource::Memory));
    for server in 1..=SERVERS {
        let request = ReportedRequest { router: NodeId(5), number: server };
        placement.apply_peer_completion(request, at(NOW + 20));
    }
    assert!(choose(&placement, Some(&prompt(1_000)), NOW + 20).is_ok());
}

/// Cached segments without a running request can be evicted, and shared ones are held once.
#[test]
fn shared_segments_are_held_once() {
    let mut placement = with_known_shares();
    let record =
        DispatchRecord { keys: vec![7], segment_tokens: vec![60_000], ..dispatch(1, 500, 0) };
    (0..5).for_each(|number| report(&mut placement, SERVERS, number, &record));
    assert!(choose(&placement, Some(&prompt(1_000)), NOW).is_ok());
}

/// Failure: the router of the requests crashed, or their ends were lost.
#[test]
fn memory_of_requests_without_reported_end_expires() {
    let mut placement = with_known_shares();
    hold_memory(&mut placement, SERVERS);
    assert!(choose(&placement, Some(&prompt(1_000)), NOW).is_err());
    assert!(choose(&placement, Some(&prompt(1_000)), NOW + 10_000).is_ok());
}

/// Failure: without reports, only this router's own requests count.
#[test]
fn prompt_is_admitted_without_reports_of_other_routers() {
    let mut placement = with_known_shares();
    let own = choose(&placement, Some(&prompt(60_000)), NOW).expect("admitted");
    placement.begin_request(&own, true, at(NOW));
    assert!(choose(&placement, Some(&prompt(1_000)), NOW).is_ok());
}

/// Failure: a restarted server has an empty cache and no queue, whatever was reported before.
#[test]
fn restarted_servers_are_free() {
    let mut placement = with_known_shares();
    hold_memory(&mut placement, SERVERS);
    assert!(choose(&placement, Some(&prompt(1_000)), NOW).is_err());
    placement.set_instances(&instances(2));
    assert!(choose(&placement, Some(&prompt(1_000)), NOW + 20).is_ok());
}

/// Failure: a restarted router doesn't know the shares of classes.
#[test]
fn restarted_router_admits_at_first() {
    let mut placement = placement(true, 100_000);
    hold_memory(&mut placement, SERVERS);
    assert!((0..20).all(|_| choose(&placement, Some(&prompt(1_000)), NOW).is_ok()));
    assert!(choose(&placement, Some(&prompt(1_000)), NOW).is_err());
}

/// A service without prompts, of which the answers took 60 ms so far.
fn with_known_latency(is_tight: bool) -> Placement {
    let mut placement = placement(is_tight, 0);
    for number in 0..40 {
        let choice = choose(&placement, None, number * 60).expect("no load");
        let ticket = placement.begin_request(&choice, false, at(number * 60));
        placement.end_request(ticket, Outcome::Answered, at(number * 60 + 60));
    }
    placement
}

/// Sends 1,000 calls at one moment. Returns the calls in flight at each server when the first was
/// refused and after the last, and the first refusal.
fn send_calls(placement: &mut Placement) -> (Vec<usize>, Vec<usize>, Option<Overload>) {
    let mut calls: HashMap<String, usize> = HashMap::new();
    let (mut first, mut refusal) = (Vec::new(), None);
    for number in 1..=1_000_u64 {
        let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        match choose_with(placement, None, 3_000, random) {
            Ok(choice) => {
                *calls.entry(choice.instance.as_str().to_owned()).or_default() += 1;
                placement.begin_request(&choice, false, at(3_000));
            }
            Err(overload) if refusal.is_none() => {
                first = calls.values().copied().collect();
                refusal = Some(overload);
            }
            Err(_) => {}
        }
    }
    (first, calls.into_values().collect(), refusal)
}

/// With six slots and 60 ms, the last of 56 calls is answered after 560 ms, seven tenths of the
/// objective; the rest is for calls that other routers haven't reported yet.
#[test]
fn call_is_refused_if_every_server_is_above_its_limit_and_the_answer_would_be_late() {
    let (first, last, refusal) = send_calls(&mut with_known_latency(true));
    let shortage = refusal.and_then(|overload| overload.shortage).expect("a limit");
    assert_eq!((shortage.resource, shortage.size_class), (Resource::Calls, None));
    let servers = usize::from(SERVERS);
    assert!(first.len() == servers && first.iter().all(|calls| *calls >= 6), "{first:?}");
    assert!(last.iter().all(|calls| (40..=56).contains(calls)), "{last:?}");
    let (_, _, refusal) = send_calls(&mut with_known_latency(false));
    assert_eq!(refusal, None, "services without tight objectives have no limit");
}

/// Failure: a restarted router knows no latency yet.
#[test]
fn call_is_admitted_while_the_latency_is_unknown() {
    assert_eq!(send_calls(&mut placement(true, 0)).2, None);
}

/// Guards against a burst at one router that is admitted by the scarcity computed before it.
#[test]
fn burst_at_one_router_is_noticed_at_once() {
    let mut placement = with_known_shares();
    let admitted = (0..400).filter(|_| {
        let choice = choose(&placement, Some(&prompt(2_000)), NOW);
        choice.map(|choice| placement.begin_request(&choice, true, at(NOW))).is_ok()
    });
    // Eight servers with six slots: beyond 1.15 of them nothing is admitted.
    let admitted = admitted.count();
    assert!((40..=60).contains(&admitted), "{admitted}");
}

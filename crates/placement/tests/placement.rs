//! Choice of a server by home, cache contents, health, lane and weights version.

mod support;

use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use juniper_placement::{
    ChoiceError, DispatchRecord, ModelKey, Outcome, Placement, Prompt, PromptSegment, Reason,
    ServerRequest, ServiceProfile,
};
use juniper_registry::InstanceId;

use support::{SERVICE, at, choose, placement, prompt, request, send};

#[test]
fn routers_agree_on_the_home_of_uncached_segments() {
    for shared in 0..40 {
        let (mut one, mut other) = (placement(12), placement(12));
        let first = choose(&mut one, &prompt(shared, 1), 0);
        let second = choose(&mut other, &prompt(shared, 2), 99);
        assert_eq!(first.instance, second.instance);
        assert_eq!(first.reason, Reason::Home);
    }
}

#[test]
fn homes_are_spread_over_the_servers() {
    let mut placement = placement(8);
    let homes: BTreeSet<InstanceId> =
        (0..100).map(|shared| choose(&mut placement, &prompt(shared, 1), 0).instance).collect();
    assert!(homes.len() >= 6, "{homes:?}");
}

#[test]
fn prompt_goes_to_the_server_with_its_segments_cached() {
    let mut placement = placement(6);
    let first = send(&mut placement, &prompt(1, 1), 0);
    let second = choose(&mut placement, &prompt(1, 2), 1_000);
    assert_eq!((second.instance, second.reason), (first.instance, Reason::Holder));
    assert_eq!((second.cached_tokens, second.prefill_tokens), (6_000, 1_000));
}

#[test]
fn dispatch_report_counts_like_an_own_dispatch() {
    let (mut one, mut other) = (placement(6), placement(6));
    let busy = choose(&mut one, &prompt(1, 1), 0).instance;
    let excluded = [busy];
    let elsewhere = one.choose(&request(&prompt(1, 1), &excluded), at(0), 0).expect("a server");
    other.apply_untracked_dispatch(&elsewhere.dispatch_record(), at(10));
    // By then the prefill is complete; before, the queue counts too.
    let chosen = choose(&mut other, &prompt(1, 2), 1_000);
    assert_eq!((chosen.instance, chosen.reason), (elsewhere.instance, Reason::Holder));
}

/// Reports dispatches of prompts of 7,000 tokens with these shared segments to the only server.
fn report_prompts(placement: &mut Placement, shared: impl IntoIterator<Item = u64>) {
    for shared in shared {
        let sent = choose(placement, &prompt(shared, 1), 0).dispatch_record();
        placement.apply_untracked_dispatch(&sent, at(0));
    }
}

fn cached_tokens(placement: &mut Placement, shared: u64) -> u32 {
    choose(placement, &prompt(shared, 1), 0).cached_tokens
}

#[test]
fn least_recently_used_segments_are_evicted_when_the_cache_is_full() {
    let mut placement = placement(1);
    report_prompts(&mut placement, 0..20);
    assert_eq!(cached_tokens(&mut placement, 0), 6_000, "140,000 tokens fit into 0.9 * 160,000");
    report_prompts(&mut placement, 20..22);
    let cached = [0, 1, 2, 21].map(|shared| cached_tokens(&mut placement, shared));
    assert_eq!(cached, [0, 0, 6_000, 6_000], "10,000 tokens above capacity");
}

#[test]
fn reused_segment_stays_cached_and_is_counted_once() {
    let mut placement = placement(1);
    for new in 1..60 {
        report_prompts(&mut placement, [0, new]);
    }
    assert_eq!(cached_tokens(&mut placement, 0), 6_000);
    let still_cached = (1..60).filter(|shared| cached_tokens(&mut placement, *shared) > 0).count();
    // Each pair adds 8,000 tokens: one shared segment and two unshared ones.
    assert_eq!(still_cached, 17);
}

/// Each of many routers sends little and sees only a small part of the queue.
#[test]
fn reported_prefill_counts_as_load_until_it_is_complete() {
    let mut placement = placement(6);
    let home = choose(&mut placement, &prompt(1, 1), 0);
    for _ in 0..20 {
        // No cache insertions, so that only the prefill counts.
        let sent =
            DispatchRecord { keys: Vec::new(), own_tokens: 0, tokens: 0, ..home.dispatch_record() };
        placement.apply_untracked_dispatch(&sent, at(0));
    }
    assert_ne!(choose(&mut placement, &prompt(1, 1), 50).instance, home.instance);
    assert_eq!(choose(&mut placement, &prompt(1, 1), 10_000).instance, home.instance);
}

/// Streams stall during a long prefill. If the gap would be too long, the prompt goes to a server
/// with few streams instead of its home.
#[test]
fn long_prefill_goes_to_a_server_with_few_streams() {
    let mut placement = placement(4);
    let segment = |id, tokens| PromptSegment { id, tokens };
    let segments = vec![segment(1, 6_000), segment(2, 20_000)];
    let long = Prompt { segments, tokens: 26_000, ..prompt(1, 1) };
    let home = choose(&mut placement, &long, 0);
    for own in 0..10 {
        let stream = DispatchRecord {
            keys: vec![own],
            tokens: 100,
            prefill_tokens: 100,
            ..home.dispatch_record()
        };
        placement.apply_untracked_dispatch(&stream, at(0));
    }
    let relaxed = request(&long, &[]);
    let chosen = |request| placement.choose(request, at(10), 10).expect("a server").instance;
    assert_eq!(chosen(&relaxed), home.instance);
    let max_gap = Some(Duration::from_millis(500));
    let strict = ServerRequest { max_gap, ..relaxed };
    assert_ne!(chosen(&strict), home.instance);
}

#[test]
fn segments_are_fetched_from_a_busy_holder() {
    let mut placement = placement(3);
    let holder = send(&mut placement, &prompt(1, 1), 0);
    for own in 0..12 {
        let busy = choose(&mut placement, &prompt(1, own), 300);
        if busy.instance == holder.instance {
            placement.begin_request(&busy, true, at(300));
        }
    }
    let diverted = choose(&mut placement, &prompt(1, 99), 300);
    assert_ne!(diverted.instance, holder.instance);
    assert_eq!((diverted.reason, diverted.source), (Reason::Fetch, Some(holder.address)));
}

/// Recomputing the segments of many short prompts costs as much as those of a few long ones.
#[test]
fn short_segments_are_fetched_and_reported_too() {
    let mut placement = placement(2);
    let segment = |id, tokens| PromptSegment { id, tokens };
    let segments = vec![segment(1, 120), segment(2, 80), segment(3, 600)];
    let short = Prompt { segments, tokens: 800, ..prompt(1, 1) };
    let holder = send(&mut placement, &short, 0);
    for _ in 0..40 {
        placement.begin_request(&holder, true, at(300));
    }
    let other = choose(&mut placement, &short, 300);
    assert_eq!((other.reason, other.source), (Reason::Fetch, Some(holder.address)));
    assert_eq!(other.prefill_tokens, 600);
}

#[test]
fn segments_of_other_weights_are_neither_cached_nor_fetched() {
    let mut placement = placement(4);
    let first = send(&mut placement, &prompt(1, 1), 0);
    placement.observe_version(&first.instance, ModelKey::of("m"), 2);
    let second = choose(&mut placement, &prompt(1, 2), 1_000);
    assert_eq!((second.cached_tokens, second.source), (0, None));
}

#[test]
fn weights_below_the_minimum_version_are_not_used() {
    let mut placement = placement(3);
    let prompt = prompt(1, 1);
    let strict = ServerRequest { min_version: 2, ..request(&prompt, &[]) };
    assert_eq!(placement.choose(&strict, at(0), 0), Err(ChoiceError::OutdatedWeights));
    let id = InstanceId::new("i-2");
    placement.observe_version(&id, ModelKey::of("m"), 2);
    assert_eq!(placement.choose(&strict, at(0), 0).map(|choice| choice.instance), Ok(id));
}

#[test]
fn renewing_server_gets_no_requests_while_another_is_available() {
    let mut placement = placement(2);
    let first = choose(&mut placement, &prompt(1, 1), 0).instance;
    placement.set_renewing(&BTreeSet::from([first.clone()]));
    assert_ne!(choose(&mut placement, &prompt(1, 1), 0).instance, first);
    placement.set_renewing(&BTreeSet::new());
    assert_eq!(choose(&mut placement, &prompt(1, 1), 0).instance, first);
}

#[test]
fn unreachable_server_is_only_used_as_last_resort() {
    let mut placement = placement(2);
    let first = choose(&mut placement, &prompt(1, 1), 0);
    let ticket = placement.begin_request(&first, true, at(0));
    placement.end_request(ticket, Outcome::Unreachable, at(0));
    let prompt = prompt(1, 1);
    assert_ne!(choose(&mut placement, &prompt, 100).instance, first.instance);
    let excluded = [choose(&mut placement, &prompt, 100).instance];
    let last = placement.choose(&request(&prompt, &excluded), at(100), 0).expect("a server");
    assert_eq!((last.instance, last.reason), (first.instance, Reason::LastResort));
}

#[test]
fn unreachable_server_gets_no_requests_until_a_probe_succeeds() {
    let mut placement = placement(2);
    let home = choose(&mut placement, &prompt(1, 1), 0);
    let ticket = placement.begin_request(&home, true, at(0));
    placement.end_request(ticket, Outcome::Unreachable, at(0));
    for millis in [100, 300, 5_000, 60_000] {
        assert_ne!(choose(&mut placement, &prompt(1, 1), millis).instance, home.instance);
    }
    let due = vec![(home.instance.clone(), home.address)];
    assert_eq!(placement.take_due_probes(at(200)), []);
    assert_eq!(placement.take_due_probes(at(250)), due);
    assert_eq!(placement.take_due_probes(at(700)), [], "the interval has doubled");
    assert_eq!(placement.take_due_probes(at(750)), due);
    placement.record_connected(&home.instance, at(750), at(751));
    assert_eq!(placement.take_due_probes(at(60_000)), []);
    assert_eq!(choose(&mut placement, &prompt(1, 1), 60_000).instance, home.instance);
}

#[test]
fn address_of_another_incarnation_is_not_used() {
    let mut placement = placement(1);
    let choice = choose(&mut placement, &prompt(1, 1), 0);
    let ticket = placement.begin_request(&choice, true, at(0));
    placement.end_request(ticket, Outcome::Replaced, at(0));
    let prompt = prompt(1, 1);
    assert_eq!(placement.choose(&request(&prompt, &[]), at(0), 0), Err(ChoiceError::NoServer));
}

#[test]
fn server_that_rejected_a_version_is_avoided_until_it_reports_another() {
    let mut placement = placement(4);
    let choice = choose(&mut placement, &prompt(1, 1), 0);
    let ticket = placement.begin_request(&choice, true, at(0));
    placement.end_request(ticket, Outcome::VersionMismatch(choice.version), at(0));
    let meanwhile = choose(&mut placement, &prompt(1, 1), 900);
    assert_ne!(meanwhile.instance, choice.instance);
    placement.observe_version(&choice.instance, ModelKey::of("m"), choice.version + 1);
    // Other weights invalidate the segments, so only whether the server is used is checked.
    let used = (0..40).any(|shared| {
        choose(&mut placement, &prompt(shared + 10, 1), 900).instance == choice.instance
    });
    assert!(used);
}

#[test]
fn server_with_a_high_failure_rate_is_avoided() {
    let mut placement = placement(3);
    let nothing = Prompt::default();
    let plain = ServerRequest { prompt: None, ..request(&nothing, &[]) };
    let bad = InstanceId::new("i-1");
    for step in 0..60 {
        let choice = placement.choose(&plain, at(step * 20), step * 977).expect("a server");
        let ticket = placement.begin_request(&choice, false, at(step * 20));
        let failed = choice.instance == bad;
        let outcome = if failed { Outcome::ServerError } else { Outcome::Answered };
        placement.end_request(ticket, outcome, at(step * 20 + 10));
    }
    let chosen = (0..40).filter(|step| {
        let choice = placement.choose(&plain, at(1_200), step * 977).expect("a server");
        choice.instance == bad
    });
    assert_eq!(chosen.count(), 0);
}

/// Long prefills stall the streams of short prompts.
#[test]
fn short_and_long_prompts_use_separate_servers() {
    let mut placement = placement(10);
    let short = |number: u64| Prompt {
        segments: vec![
            PromptSegment { id: 1_000 + number % 9, tokens: 100 },
            PromptSegment { id: number, tokens: 400 },
        ],
        tokens: 500,
        ..prompt(0, 0)
    };
    let (mut long_servers, mut short_servers) = (BTreeSet::new(), BTreeSet::new());
    for step in 0..400 {
        let millis = step * 25;
        let long = send(&mut placement, &prompt(step % 37, step), millis);
        let short_choice = send(&mut placement, &short(step), millis + 5);
        if step > 100 {
            long_servers.insert(long.instance);
            short_servers.insert(short_choice.instance);
        }
    }
    // The measured shares shift the border between lanes by at most one server.
    assert!(
        long_servers.intersection(&short_servers).count() <= 1,
        "{long_servers:?} {short_servers:?}"
    );
    assert!(!short_servers.is_empty() && long_servers.len() > short_servers.len());
}

#[test]
fn new_segments_go_to_the_cache_with_the_slowest_turnover() {
    let mut placement = placement(2);
    let home = choose(&mut placement, &prompt(1, 1), 0);
    for step in 0..60 {
        let mut dispatch = home.dispatch_record();
        dispatch.keys = vec![step];
        dispatch.tokens = 30_000;
        placement.apply_untracked_dispatch(&dispatch, at(step * 50));
    }
    assert_ne!(choose(&mut placement, &prompt(1, 1), 3_000).instance, home.instance);
}

#[test]
fn no_server_is_chosen_without_servers_or_with_all_excluded() {
    let placement = Placement::new("north");
    let prompt = prompt(1, 1);
    assert_eq!(placement.choose(&request(&prompt, &[]), at(0), 0), Err(ChoiceError::NoServer));
    let one = self::placement(1);
    let excluded = [InstanceId::new("i-1")];
    let refused = one.choose(&request(&prompt, &excluded), at(0), 0);
    assert_eq!(refused, Err(ChoiceError::AllExcluded));
}

#[test]
fn chains_are_spread_over_all_stores_and_each_uses_one_store() {
    let mut placement = placement(6);
    let stores: Vec<SocketAddrV4> =
        (1..=3).map(|number| SocketAddrV4::new(Ipv4Addr::new(172, 20, 0, number), 8_000)).collect();
    let profile = ServiceProfile {
        transfer_ms_per_token: 0.005,
        cache_tokens: 160_000,
        stores: stores.clone(),
        ..ServiceProfile::default()
    };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
    let mut chains = [0; 3];
    for shared in 0..90 {
        let first = choose(&mut placement, &prompt(shared, 1), 0).store.expect("a store");
        let again = choose(&mut placement, &prompt(shared, 2), 500).store;
        assert_eq!(again, Some(first), "the store of a chain doesn't depend on the request");
        let index = stores.iter().position(|store| *store == first).expect("a known store");
        chains[index] += 1;
    }
    assert!(chains.iter().all(|chains| *chains >= 15), "{chains:?} of 90 chains");
}

/// A server saves all that it computes, so unshared tokens would fill the store and its link.
#[test]
fn store_gets_only_prompts_with_uncached_shared_segments() {
    let mut placement = placement(1);
    let store = SocketAddrV4::new(Ipv4Addr::new(172, 20, 0, 1), 8_000);
    let profile = ServiceProfile {
        transfer_ms_per_token: 0.005,
        cache_tokens: 160_000,
        stores: vec![store],
        ..ServiceProfile::default()
    };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
    assert_eq!(send(&mut placement, &prompt(1, 1), 0).store, Some(store));
    let cached = choose(&mut placement, &prompt(1, 2), 1_000);
    assert_eq!((cached.reason, cached.store), (Reason::Holder, None));
    assert_eq!(cached.source, Some(store), "the server may have evicted them");
    let mut little_shared = prompt(2, 2);
    little_shared.segments[0].tokens = 3_000;
    assert_eq!(choose(&mut placement, &little_shared, 1_000).store, None);
}

/// The time to first output of a queued prompt measures the queue, not the prefill speed.
#[test]
fn queueing_does_not_lower_the_measured_speed() {
    let mut placement = placement(1);
    send(&mut placement, &prompt(0, 1), 0);
    let before = choose(&mut placement, &prompt(1, 1), 9_000).cost_ms;
    for round in 1..6 {
        let started_at = round * 10_000;
        let choices: Vec<_> = (1..=10)
            .map(|own| choose(&mut placement, &prompt(100 + round, own), started_at))
            .collect();
        let tickets: Vec<_> = choices
            .iter()
            .map(|choice| placement.begin_request(choice, true, at(started_at)))
            .collect();
        for (index, mut ticket) in tickets.into_iter().enumerate() {
            // Each prefill takes 175 ms, one after another.
            let done_at = started_at + (index as u64 + 1) * 175;
            placement.record_first_output(&mut ticket, at(done_at));
            placement.end_request(ticket, Outcome::Answered, at(done_at));
        }
    }
    // By then the measured delays of this server have decayed.
    let after = choose(&mut placement, &prompt(900, 1), 90_000).cost_ms;
    assert!(after < before * 1.1, "{before} {after}");
}

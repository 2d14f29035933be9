//! The choice of a server: homes, what is kept, health, lanes and versions.

mod support;

use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use juniper_placement::{
    ChoiceError, DispatchRecord, Outcome, Placement, Prompt, PromptSegment, Reason, ServerRequest,
    ServiceProfile,
};
use juniper_registry::InstanceId;

use support::{SERVICE, at, choose, placement, prompt, request, send};

#[test]
fn routers_agree_on_the_home_of_parts_that_nobody_has() {
    for shared in 0..40 {
        let (mut one, mut other) = (placement(12), placement(12));
        let first = choose(&mut one, &prompt(shared, 1), 0);
        let second = choose(&mut other, &prompt(shared, 2), 99);
        assert_eq!(first.instance, second.instance);
        assert_eq!(first.reason, Reason::Home);
    }
}

#[test]
fn homes_spread_over_the_servers() {
    let mut placement = placement(8);
    let homes: BTreeSet<InstanceId> =
        (0..100).map(|shared| choose(&mut placement, &prompt(shared, 1), 0).instance).collect();
    assert!(homes.len() >= 6, "{homes:?}");
}

#[test]
fn a_prompt_goes_to_the_server_that_has_its_parts() {
    let mut placement = placement(6);
    let first = send(&mut placement, &prompt(1, 1), 0);
    let second = choose(&mut placement, &prompt(1, 2), 1_000);
    assert_eq!((second.instance, second.reason), (first.instance, Reason::Holder));
    assert_eq!((second.kept_tokens, second.missed_tokens), (6_000, 1_000));
}

#[test]
fn what_another_router_tells_counts_like_an_own_sending() {
    let (mut one, mut other) = (placement(6), placement(6));
    let busy = choose(&mut one, &prompt(1, 1), 0).instance;
    let excluded = [busy];
    let elsewhere = one.choose(&request(&prompt(1, 1), &excluded), at(0), 0).expect("a server");
    other.sighted(&elsewhere.sighting(), at(10));
    // By then the server has read them; before that its queue counts too.
    let told = choose(&mut other, &prompt(1, 2), 1_000);
    assert_eq!((told.instance, told.reason), (elsewhere.instance, Reason::Holder));
}

/// Tells a placement of one server that prompts of 7,000 tokens with these shared parts were
/// sent to it, one after the other.
fn tell(placement: &mut Placement, shared: impl IntoIterator<Item = u64>) {
    for shared in shared {
        let sent = choose(placement, &prompt(shared, 1), 0).sighting();
        placement.sighted(&sent, at(0));
    }
}

fn kept(placement: &mut Placement, shared: u64) -> u32 {
    choose(placement, &prompt(shared, 1), 0).kept_tokens
}

/// A server that was sent more than its memory holds has let the oldest parts go.
#[test]
fn parts_that_were_unused_for_longest_give_way_when_memory_is_full() {
    let mut placement = placement(1);
    tell(&mut placement, 0..20);
    assert_eq!(kept(&mut placement, 0), 6_000, "140,000 tokens fit into nine tenths of 160,000");
    tell(&mut placement, 20..22);
    let kept = [0, 1, 2, 21].map(|shared| kept(&mut placement, shared));
    assert_eq!(kept, [0, 0, 6_000, 6_000], "10,000 tokens too many");
}

#[test]
fn a_part_that_is_used_again_stays_and_is_counted_once() {
    let mut placement = placement(1);
    for new in 1..60 {
        tell(&mut placement, [0, new]);
    }
    assert_eq!(kept(&mut placement, 0), 6_000);
    let still_kept = (1..60).filter(|shared| kept(&mut placement, *shared) > 0).count();
    // A pair adds 8,000 tokens: one shared part and two own ones.
    assert_eq!(still_kept, 17);
}

/// Each of many routers sends little, and none of them sees the queue by itself.
#[test]
fn what_other_routers_have_sent_counts_as_load_until_it_should_be_read() {
    let mut placement = placement(6);
    let home = choose(&mut placement, &prompt(1, 1), 0);
    for _ in 0..20 {
        // They bring nothing into its memory, so that only the reading counts.
        let sent = DispatchRecord { keys: Vec::new(), own_tokens: 0, tokens: 0, ..home.sighting() };
        placement.sighted(&sent, at(0));
    }
    assert_ne!(choose(&mut placement, &prompt(1, 1), 50).instance, home.instance);
    assert_eq!(choose(&mut placement, &prompt(1, 1), 10_000).instance, home.instance);
}

/// Streams pause while a server reads a long prompt. Where a pause makes them late,
/// the prompt goes where no streams run, though its home is elsewhere.
#[test]
fn a_long_read_goes_where_few_streams_run() {
    let mut placement = placement(4);
    let part = |id, tokens| PromptSegment { id, tokens };
    let parts = vec![part(1, 6_000), part(2, 20_000)];
    let long = Prompt { parts, tokens: 26_000, ..prompt(1, 1) };
    let home = choose(&mut placement, &long, 0);
    for own in 0..10 {
        let stream =
            DispatchRecord { keys: vec![own], tokens: 100, read_tokens: 100, ..home.sighting() };
        placement.sighted(&stream, at(0));
    }
    let patient = request(&long, &[]);
    let chosen = |request| placement.choose(request, at(10), 10).expect("a server").instance;
    assert_eq!(chosen(&patient), home.instance);
    let max_pause = Some(Duration::from_millis(500));
    let pressed = ServerRequest { max_pause, ..patient };
    assert_ne!(chosen(&pressed), home.instance);
}

#[test]
fn parts_are_fetched_from_who_has_them_when_that_server_is_busy() {
    let mut placement = placement(3);
    let holder = send(&mut placement, &prompt(1, 1), 0);
    for own in 0..12 {
        let busy = choose(&mut placement, &prompt(1, own), 300);
        if busy.instance == holder.instance {
            placement.begin(&busy, true, at(300));
        }
    }
    let spilled = choose(&mut placement, &prompt(1, 99), 300);
    assert_ne!(spilled.instance, holder.instance);
    assert_eq!((spilled.reason, spilled.source), (Reason::Fetch, Some(holder.address)));
}

/// A hundred short calls a second that read their parts again cost as much as a few
/// long prompts that do; a move of a few parts takes less than a millisecond.
#[test]
fn short_parts_are_fetched_and_told_of_too() {
    let mut placement = placement(2);
    let part = |id, tokens| PromptSegment { id, tokens };
    let parts = vec![part(1, 120), part(2, 80), part(3, 600)];
    let short = Prompt { parts, tokens: 800, ..prompt(1, 1) };
    let holder = send(&mut placement, &short, 0);
    for _ in 0..40 {
        placement.begin(&holder, true, at(300));
    }
    let other = choose(&mut placement, &short, 300);
    assert_eq!((other.reason, other.source), (Reason::Fetch, Some(holder.address)));
    assert_eq!(other.missed_tokens, 600);
}

#[test]
fn parts_made_under_other_weights_are_neither_kept_nor_fetched() {
    let mut placement = placement(4);
    let first = send(&mut placement, &prompt(1, 1), 0);
    placement.observe_version(&first.instance, 2);
    let second = choose(&mut placement, &prompt(1, 2), 1_000);
    assert_eq!((second.kept_tokens, second.source), (0, None));
}

#[test]
fn weights_below_the_least_version_are_not_used() {
    let mut placement = placement(3);
    let prompt = prompt(1, 1);
    let strict = ServerRequest { min_version: 2, ..request(&prompt, &[]) };
    assert_eq!(placement.choose(&strict, at(0), 0), Err(ChoiceError::OldWeights));
    let id = InstanceId::new("i-2");
    placement.observe_version(&id, 2);
    assert_eq!(placement.choose(&strict, at(0), 0).map(|choice| choice.instance), Ok(id));
}

#[test]
fn a_server_under_renewal_gets_nothing_new_while_another_works() {
    let mut placement = placement(2);
    let first = choose(&mut placement, &prompt(1, 1), 0).instance;
    placement.set_renewing(&BTreeSet::from([first.clone()]));
    assert_ne!(choose(&mut placement, &prompt(1, 1), 0).instance, first);
    placement.set_renewing(&BTreeSet::new());
    assert_eq!(choose(&mut placement, &prompt(1, 1), 0).instance, first);
}

#[test]
fn a_server_that_can_not_be_reached_rests_and_is_tried_again() {
    let mut placement = placement(2);
    let first = choose(&mut placement, &prompt(1, 1), 0);
    let ticket = placement.begin(&first, true, at(0));
    placement.end(ticket, Outcome::Unreachable, at(0));
    let prompt = prompt(1, 1);
    assert_ne!(choose(&mut placement, &prompt, 100).instance, first.instance);
    let excluded = [choose(&mut placement, &prompt, 100).instance];
    let last = placement.choose(&request(&prompt, &excluded), at(100), 0).expect("a server");
    assert_eq!((last.instance, last.reason), (first.instance, Reason::LastResort));
}

#[test]
fn a_server_that_can_not_be_reached_gets_no_request_until_a_probe_reaches_it() {
    let mut placement = placement(2);
    let home = choose(&mut placement, &prompt(1, 1), 0);
    let ticket = placement.begin(&home, true, at(0));
    placement.end(ticket, Outcome::Unreachable, at(0));
    for millis in [100, 300, 5_000, 60_000] {
        assert_ne!(choose(&mut placement, &prompt(1, 1), millis).instance, home.instance);
    }
    let due = vec![(home.instance.clone(), home.address)];
    assert_eq!(placement.take_due_probes(at(200)), []);
    assert_eq!(placement.take_due_probes(at(250)), due);
    assert_eq!(placement.take_due_probes(at(700)), [], "the pause has doubled");
    assert_eq!(placement.take_due_probes(at(750)), due);
    placement.reached(&home.instance);
    assert_eq!(placement.take_due_probes(at(60_000)), []);
    assert_eq!(choose(&mut placement, &prompt(1, 1), 60_000).instance, home.instance);
}

#[test]
fn an_address_that_belongs_to_another_life_is_not_used() {
    let mut placement = placement(1);
    let choice = choose(&mut placement, &prompt(1, 1), 0);
    let ticket = placement.begin(&choice, true, at(0));
    placement.end(ticket, Outcome::Replaced, at(0));
    let prompt = prompt(1, 1);
    assert_eq!(placement.choose(&request(&prompt, &[]), at(0), 0), Err(ChoiceError::NoServer));
}

#[test]
fn a_server_that_turned_a_version_away_rests_until_it_reports_another() {
    let mut placement = placement(4);
    let choice = choose(&mut placement, &prompt(1, 1), 0);
    let ticket = placement.begin(&choice, true, at(0));
    placement.end(ticket, Outcome::OtherWeights(choice.version), at(0));
    let meanwhile = choose(&mut placement, &prompt(1, 1), 900);
    assert_ne!(meanwhile.instance, choice.instance);
    placement.observe_version(&choice.instance, choice.version + 1);
    // Its parts are void under other weights, so only whether it is used at all is seen.
    let used = (0..40).any(|shared| {
        choose(&mut placement, &prompt(shared + 10, 1), 900).instance == choice.instance
    });
    assert!(used);
}

#[test]
fn a_server_that_fails_more_than_the_others_is_avoided() {
    let mut placement = placement(3);
    let nothing = Prompt::default();
    let plain = ServerRequest { prompt: None, ..request(&nothing, &[]) };
    let bad = InstanceId::new("i-1");
    for step in 0..60 {
        let choice = placement.choose(&plain, at(step * 20), step * 977).expect("a server");
        let ticket = placement.begin(&choice, false, at(step * 20));
        let failed = choice.instance == bad;
        let outcome = if failed { Outcome::ServerError } else { Outcome::Answered };
        placement.end(ticket, outcome, at(step * 20 + 10));
    }
    let chosen = (0..40).filter(|step| {
        let choice = placement.choose(&plain, at(1_200), step * 977).expect("a server");
        choice.instance == bad
    });
    assert_eq!(chosen.count(), 0);
}

/// Streams pause while a long prompt is read beside them.
#[test]
fn short_and_long_prompts_keep_to_servers_of_their_own() {
    let mut placement = placement(10);
    let short = |number: u64| Prompt {
        parts: vec![
            PromptSegment { id: 1_000 + number % 9, tokens: 100 },
            PromptSegment { id: number, tokens: 400 },
        ],
        tokens: 500,
        ..prompt(0, 0)
    };
    let (mut longs, mut shorts) = (BTreeSet::new(), BTreeSet::new());
    for step in 0..400 {
        let millis = step * 25;
        let long = send(&mut placement, &prompt(step % 37, step), millis);
        let brief = send(&mut placement, &short(step), millis + 5);
        if step > 100 {
            longs.insert(long.instance);
            shorts.insert(brief.instance);
        }
    }
    // The measured shares move the border by a server at most.
    assert!(longs.intersection(&shorts).count() <= 1, "{longs:?} {shorts:?}");
    assert!(!shorts.is_empty() && longs.len() > shorts.len());
}

/// Memory that turns over fast gets no more new parts than it must.
#[test]
fn new_parts_go_where_memory_turns_over_slowest() {
    let mut placement = placement(2);
    let home = choose(&mut placement, &prompt(1, 1), 0);
    for step in 0..60 {
        let mut sighting = home.sighting();
        sighting.keys = vec![step];
        sighting.tokens = 30_000;
        placement.sighted(&sighting, at(step * 50));
    }
    assert_ne!(choose(&mut placement, &prompt(1, 1), 3_000).instance, home.instance);
}

#[test]
fn nothing_is_known_of_a_service_without_servers() {
    let placement = Placement::new("north");
    let prompt = prompt(1, 1);
    assert_eq!(placement.choose(&request(&prompt, &[]), at(0), 0), Err(ChoiceError::NoServer));
    let one = self::placement(1);
    let excluded = [InstanceId::new("i-1")];
    let refused = one.choose(&request(&prompt, &excluded), at(0), 0);
    assert_eq!(refused, Err(ChoiceError::AllExcluded));
}

#[test]
fn chains_are_spread_over_all_stores_and_each_has_one_of_its_own() {
    let mut placement = placement(6);
    let stores: Vec<SocketAddrV4> =
        (1..=3).map(|number| SocketAddrV4::new(Ipv4Addr::new(172, 20, 0, number), 8_000)).collect();
    let profile = ServiceProfile { move_ms: 0.005, cache_tokens: 160_000, stores: stores.clone() };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
    let mut chains = [0; 3];
    for shared in 0..90 {
        let first = choose(&mut placement, &prompt(shared, 1), 0).store.expect("a store");
        let again = choose(&mut placement, &prompt(shared, 2), 500).store;
        assert_eq!(again, Some(first), "the store of a chain doesn't depend on the request");
        let place = stores.iter().position(|store| *store == first).expect("a known store");
        chains[place] += 1;
    }
    assert!(chains.iter().all(|chains| *chains >= 15), "{chains:?} of 90 chains");
}

/// A server saves all that it reads, also the part that no other prompt has. It would fill the
/// store and its link.
#[test]
fn a_store_gets_only_prompts_with_shared_parts_to_read() {
    let mut placement = placement(1);
    let store = SocketAddrV4::new(Ipv4Addr::new(172, 20, 0, 1), 8_000);
    let profile = ServiceProfile { move_ms: 0.005, cache_tokens: 160_000, stores: vec![store] };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
    assert_eq!(send(&mut placement, &prompt(1, 1), 0).store, Some(store));
    let kept = choose(&mut placement, &prompt(1, 2), 1_000);
    assert_eq!((kept.reason, kept.store), (Reason::Holder, None));
    assert_eq!(kept.source, Some(store), "the server may have let them go");
    let mut little_shared = prompt(2, 2);
    little_shared.parts[0].tokens = 3_000;
    assert_eq!(choose(&mut placement, &little_shared, 1_000).store, None);
}

/// The time to the first output of a prompt that waited behind others tells how long the queue was,
/// not how fast servers read.
#[test]
fn a_queue_does_not_make_servers_look_slow() {
    let mut placement = placement(1);
    send(&mut placement, &prompt(0, 1), 0);
    let before = choose(&mut placement, &prompt(1, 1), 9_000).cost_ms;
    for round in 1..6 {
        let begun = round * 10_000;
        let choices: Vec<_> =
            (1..=10).map(|own| choose(&mut placement, &prompt(100 + round, own), begun)).collect();
        let tickets: Vec<_> =
            choices.iter().map(|choice| placement.begin(choice, true, at(begun))).collect();
        for (place, mut ticket) in tickets.into_iter().enumerate() {
            // Each is read in 175 ms, one after the other.
            let read_at = begun + (place as u64 + 1) * 175;
            placement.first_output(&mut ticket, at(read_at));
            placement.end(ticket, Outcome::Answered, at(read_at));
        }
    }
    // Delays of this server are forgotten by then.
    let after = choose(&mut placement, &prompt(900, 1), 90_000).cost_ms;
    assert!(after < before * 1.1, "{before} {after}");
}

//! Choice of the server from which segments are fetched.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use juniper_placement::{DispatchRecord, Placement, Reason};
use juniper_registry::{Instance, InstanceId};

use support::{at, choose, instance, placement, prompt, request};

/// Number of servers; those with even numbers are in zone `south`.
const SERVERS: u16 = 12;

/// All servers but the last have the segments of one prompt in their caches and long prefill
/// queues.
fn placement_with_all_but_last_holding() -> (Placement, InstanceId) {
    let mut placement = placement(SERVERS);
    let in_zone = |number: u16| {
        let mut instance: Instance = instance(number, 1);
        let zone = if number.is_multiple_of(2) { "south" } else { "north" };
        Arc::make_mut(&mut instance.report).zone = zone.to_owned();
        Arc::new(instance)
    };
    let instances: Vec<Arc<Instance>> = (1..=SERVERS).map(in_zone).collect();
    placement.set_instances(&instances.iter().cloned().collect());
    let sent = choose(&mut placement, &prompt(1, 1), 0).dispatch_record();
    let (last, holders) = instances.split_last().expect("servers");
    for holder in holders {
        let instance = holder.id.clone();
        let dispatch = DispatchRecord { instance, ..sent.clone() };
        placement.apply_untracked_dispatch(&dispatch, at(0));
        let busy =
            DispatchRecord { prefill_tokens: 40_000, keys: Vec::new(), own_tokens: 0, ..dispatch };
        placement.apply_untracked_dispatch(&busy, at(9_990));
    }
    (placement, last.id.clone())
}

/// Counts how often each source is chosen in `choices` choices.
fn count_sources(choices: u64) -> BTreeMap<SocketAddrV4, u64> {
    let (placement, last) = placement_with_all_but_last_holding();
    let prompt = prompt(1, 2);
    let mut sources = BTreeMap::new();
    for random in 0..choices {
        let chosen = placement.choose(&request(&prompt, &[]), at(10_000), random);
        let choice = chosen.expect("a server");
        assert_eq!((&choice.instance, choice.reason), (&last, Reason::Fetch));
        *sources.entry(choice.source.expect("a source")).or_default() += 1;
    }
    sources
}

/// A server's transfers run one after another: if all routers chose the same source, prompts would
/// queue for it.
#[test]
fn fetches_are_spread_over_the_holders_in_the_readers_zone() {
    let sources = count_sources(500);
    let near: Vec<SocketAddrV4> =
        (1..SERVERS).filter(|number| number.is_multiple_of(2)).map(support::address).collect();
    assert_eq!(sources.keys().copied().collect::<Vec<_>>(), near);
    assert!(sources.values().all(|count| *count > 50), "{sources:?}");
}

/// Segments are reported at dispatch, but can be fetched only after their prefill.
#[test]
fn queued_segments_are_not_fetched_before_their_prefill() {
    let mut placement = placement(SERVERS);
    let first = choose(&mut placement, &prompt(1, 1), 0);
    // The prefill of 100,000 tokens takes 2.5 s; the prompt is queued behind it.
    let queue = DispatchRecord {
        prefill_tokens: 100_000,
        keys: Vec::new(),
        own_tokens: 0,
        ..first.dispatch_record()
    };
    placement.apply_untracked_dispatch(&queue, at(0));
    placement.apply_untracked_dispatch(&first.dispatch_record(), at(0));
    let queued = choose(&mut placement, &prompt(1, 2), 1_000);
    assert!(queued.source.is_none(), "{queued:?}");
    let computed = choose(&mut placement, &prompt(1, 2), 10_000);
    assert_eq!((computed.instance, computed.reason), (first.instance, Reason::Holder));
}

/// With a cache that turns over within seconds, a fetched copy evicts segments that will be
/// requested again: waiting in a short queue at the holder is cheaper, in a long one it isn't.
#[test]
fn fetch_that_evicts_used_segments_must_save_more_than_a_short_queue() {
    let chosen_with_queue_of = |tokens: u32| {
        let mut placement = placement(2);
        let holder = choose(&mut placement, &prompt(1, 1), 0);
        placement.apply_untracked_dispatch(&holder.dispatch_record(), at(0));
        for number in 1..=2 {
            let busy = DispatchRecord {
                instance: instance(number, 1).id,
                tokens: 400_000,
                prefill_tokens: 0,
                keys: Vec::new(),
                own_tokens: 0,
                ..holder.dispatch_record()
            };
            placement.apply_untracked_dispatch(&busy, at(5_000));
        }
        let queue = DispatchRecord {
            prefill_tokens: tokens,
            tokens: 0,
            keys: Vec::new(),
            own_tokens: 0,
            ..holder.dispatch_record()
        };
        placement.apply_untracked_dispatch(&queue, at(5_000));
        choose(&mut placement, &prompt(1, 2), 5_000).reason
    };
    // 250 ms of queue at the holder, and 1 s.
    assert_eq!(chosen_with_queue_of(10_000), Reason::Holder);
    assert_eq!(chosen_with_queue_of(40_000), Reason::Fetch);
}

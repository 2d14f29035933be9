//! Where parts of a prompt are fetched from.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use juniper_placement::{DispatchRecord, Placement, Reason};
use juniper_registry::{Instance, InstanceId};

use support::{at, choose, instance, placement, prompt, request};

/// Servers, of which the even ones are in the south.
const SERVERS: u16 = 12;

/// All servers but the last hold the parts of one prompt and are busy reading.
fn all_but_the_last_hold() -> (Placement, InstanceId) {
    let mut placement = placement(SERVERS);
    let in_zone = |number: u16| {
        let mut instance: Instance = instance(number, 1);
        let zone = if number.is_multiple_of(2) { "south" } else { "north" };
        Arc::make_mut(&mut instance.report).zone = zone.to_owned();
        Arc::new(instance)
    };
    let instances: Vec<Arc<Instance>> = (1..=SERVERS).map(in_zone).collect();
    placement.set_instances(&instances.iter().cloned().collect());
    let sent = choose(&mut placement, &prompt(1, 1), 0).sighting();
    let (last, holders) = instances.split_last().expect("servers");
    for holder in holders {
        let instance = holder.id.clone();
        let holds = DispatchRecord { instance, ..sent.clone() };
        placement.sighted(&holds, at(0));
        let busy = DispatchRecord { read_tokens: 40_000, keys: Vec::new(), own_tokens: 0, ..holds };
        placement.sighted(&busy, at(9_990));
    }
    (placement, last.id.clone())
}

/// How often each source is named in so many choices.
fn sources(choices: u64) -> BTreeMap<SocketAddrV4, u64> {
    let (placement, last) = all_but_the_last_hold();
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

/// A server's moves run one after another: hundreds of routers that name the same one make
/// their prompts wait in line.
#[test]
fn what_many_servers_have_is_fetched_from_any_of_those_in_the_readers_zone() {
    let sources = sources(500);
    let near: Vec<SocketAddrV4> =
        (1..SERVERS).filter(|number| number.is_multiple_of(2)).map(support::address).collect();
    assert_eq!(sources.keys().copied().collect::<Vec<_>>(), near);
    assert!(sources.values().all(|times| *times > 50), "{sources:?}");
}

/// A part is named as soon as a prompt with it is sent, but it can be fetched only once its server
/// has read it: a reader that asks before gets nothing and reads it again.
#[test]
fn what_waits_in_a_queue_is_not_fetched_before_it_is_read() {
    let mut placement = placement(SERVERS);
    let first = choose(&mut placement, &prompt(1, 1), 0);
    // 100,000 tokens are read in 2.5 s; the prompt comes after them.
    let queue = DispatchRecord {
        read_tokens: 100_000,
        keys: Vec::new(),
        own_tokens: 0,
        ..first.sighting()
    };
    placement.sighted(&queue, at(0));
    placement.sighted(&first.sighting(), at(0));
    let waiting = choose(&mut placement, &prompt(1, 2), 1_000);
    assert!(waiting.source.is_none(), "{waiting:?}");
    let read = choose(&mut placement, &prompt(1, 2), 10_000);
    assert_eq!((read.instance, read.reason), (first.instance, Reason::Holder));
}

/// Memory that turns over within seconds: a copy pushes out parts that will be asked for again, so a
/// short queue at the holder is better. A long one isn't.
#[test]
fn a_copy_that_pushes_out_what_is_used_has_to_save_more_than_a_short_queue() {
    let chosen_with_queue_of = |tokens: u32| {
        let mut placement = placement(2);
        let holder = choose(&mut placement, &prompt(1, 1), 0);
        placement.sighted(&holder.sighting(), at(0));
        for number in 1..=2 {
            let busy = DispatchRecord {
                instance: instance(number, 1).id,
                tokens: 400_000,
                read_tokens: 0,
                keys: Vec::new(),
                own_tokens: 0,
                ..holder.sighting()
            };
            placement.sighted(&busy, at(5_000));
        }
        let queue = DispatchRecord {
            read_tokens: tokens,
            tokens: 0,
            keys: Vec::new(),
            own_tokens: 0,
            ..holder.sighting()
        };
        placement.sighted(&queue, at(5_000));
        choose(&mut placement, &prompt(1, 2), 5_000).reason
    };
    // 250 ms at the holder, and a second.
    assert_eq!(chosen_with_queue_of(10_000), Reason::Holder);
    assert_eq!(chosen_with_queue_of(40_000), Reason::Fetch);
}

//! Use of segments in KV stores by services with tight objectives.

mod support;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use juniper_placement::{
    Choice, KvStore, Outcome, Placement, Reason, ReportedRequest, ServiceProfile,
};
use juniper_registry::InstanceMap;
use juniper_types::NodeId;

use support::{SERVICE, address, at, choose, instance, kv_store, placement, prompt, send};

const SHARED_TOKENS: u32 = 6_000;
const OWN_TOKENS: u32 = 1_000;

fn store() -> KvStore {
    kv_store(SocketAddrV4::new(Ipv4Addr::new(172, 20, 0, 1), 8_000))
}

fn set_store(placement: &mut Placement, store: KvStore, is_tight: bool) {
    let profile = ServiceProfile {
        transfer_ms_per_token: 0.005,
        cache_tokens: 160_000,
        stores: vec![store],
        is_tight,
    };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
}

fn tight_placement(servers: u16) -> Placement {
    let mut placement = placement(servers);
    set_store(&mut placement, store(), true);
    placement
}

/// Lists other servers instead of the first `lost`, whose caches are lost.
fn replace_servers(placement: &mut Placement, lost: u16) {
    let servers = (100..100 + lost).map(|number| Arc::new(instance(number, 1)));
    placement.set_instances(&servers.collect::<InstanceMap>());
}

fn assert_fetched(choice: &Choice) {
    assert_eq!((choice.reason, choice.source), (Reason::Fetch, Some(store().address)));
    assert_eq!((choice.prefill_tokens, choice.store), (OWN_TOKENS, None), "{choice:?}");
}

fn assert_computed(choice: &Choice) {
    assert_eq!(choice.prefill_tokens, SHARED_TOKENS + OWN_TOKENS, "{choice:?}");
}

/// Without the estimate, each prompt of a lost server counts as a full prefill and is asked to be
/// saved again.
#[test]
fn stored_segments_are_fetched_when_no_server_holds_them() {
    for is_tight in [true, false] {
        let mut placement = placement(6);
        set_store(&mut placement, store(), is_tight);
        let first = send(&mut placement, &prompt(1, 1), 1_000);
        assert_eq!(first.store, Some(store().address));
        replace_servers(&mut placement, 6);
        let after = choose(&mut placement, &prompt(1, 2), 3_000);
        if is_tight {
            assert_fetched(&after);
        } else {
            assert_computed(&after);
        }
        assert_computed(&choose(&mut placement, &prompt(2, 2), 3_000));
    }
}

/// Most saves are requested by other routers, whose reports don't state them.
#[test]
fn saves_of_other_routers_are_derived_from_their_reports() {
    let (mut reporting, mut placement) = (tight_placement(6), tight_placement(6));
    let saved = send(&mut reporting, &prompt(1, 1), 1_000);
    let reused = send(&mut reporting, &prompt(1, 2), 2_000);
    assert_eq!((saved.store.is_some(), reused.store), (true, None));
    let report = |placement: &mut Placement, choice: &Choice, number| {
        let request = ReportedRequest { router: NodeId(2), number };
        placement.apply_peer_dispatch(request, &choice.dispatch_record(), at(2_000));
    };
    report(&mut placement, &reused, 1);
    let before = placement.clone();
    report(&mut placement, &saved, 2);
    for (mut placement, is_stored) in [(before, false), (placement, true)] {
        replace_servers(&mut placement, 6);
        let choice = choose(&mut placement, &prompt(1, 3), 4_000);
        assert_eq!(choice.prefill_tokens == OWN_TOKENS, is_stored, "{choice:?}");
    }
}

/// A save ends after the prefill; fetches before that find nothing.
#[test]
fn segments_are_not_fetched_before_their_prefill_is_complete() {
    let mut placement = tight_placement(1);
    send(&mut placement, &prompt(1, 1), 1_000);
    replace_servers(&mut placement, 1);
    assert_computed(&choose(&mut placement, &prompt(1, 2), 1_020));
    assert_fetched(&choose(&mut placement, &prompt(1, 2), 3_000));
}

/// Other weights give other keys and values.
#[test]
fn segments_of_another_version_are_not_fetched() {
    let mut placement = tight_placement(1);
    send(&mut placement, &prompt(1, 1), 1_000);
    placement.set_instances(&InstanceMap::from_iter([Arc::new(instance(100, 2))]));
    assert_computed(&choose(&mut placement, &prompt(1, 2), 3_000));
}

/// The estimate must not claim more than a store can hold: the least recently used are evicted.
#[test]
fn estimate_is_bounded_by_the_capacity_of_the_store() {
    let mut placement = placement(1);
    set_store(&mut placement, KvStore { capacity_tokens: 21_500, ..store() }, true);
    for shared in 1..=3 {
        send(&mut placement, &prompt(shared, 1), shared * 1_000);
    }
    replace_servers(&mut placement, 1);
    for shared in 1..=3 {
        assert_fetched(&choose(&mut placement, &prompt(shared, 2), 5_000));
    }
    send(&mut placement, &prompt(4, 1), 6_000);
    replace_servers(&mut placement, 2);
    let evicted = prompt(1, 3);
    placement.set_instances(&InstanceMap::from_iter([Arc::new(instance(200, 1))]));
    assert_computed(&choose(&mut placement, &evicted, 8_000));
    assert_fetched(&choose(&mut placement, &prompt(2, 3), 8_000));
}

/// A store may have been restarted or have evicted segments unnoticed.
#[test]
fn unconfirmed_segments_expire_after_30_seconds() {
    let mut placement = tight_placement(1);
    send(&mut placement, &prompt(1, 1), 1_000);
    replace_servers(&mut placement, 1);
    assert_fetched(&choose(&mut placement, &prompt(1, 2), 25_000));
    assert_computed(&choose(&mut placement, &prompt(1, 2), 35_000));
}

/// Another store may listen on the address, or the same one with less memory.
#[test]
fn estimate_is_dropped_when_the_catalog_entry_changes() {
    let changed = KvStore { capacity_tokens: 300_000, ..store() };
    for (entry, is_kept) in [(store(), true), (changed, false)] {
        let mut placement = tight_placement(1);
        send(&mut placement, &prompt(1, 1), 1_000);
        replace_servers(&mut placement, 1);
        set_store(&mut placement, entry, true);
        let choice = choose(&mut placement, &prompt(1, 2), 3_000);
        assert_eq!(choice.prefill_tokens == OWN_TOKENS, is_kept, "{choice:?}");
    }
    let mut placement = tight_placement(1);
    send(&mut placement, &prompt(1, 1), 1_000);
    replace_servers(&mut placement, 1);
    placement.set_profiles(HashMap::new());
    set_store(&mut placement, store(), true);
    assert_computed(&choose(&mut placement, &prompt(1, 2), 3_000));
}

/// Sends prompts whose first output comes after `took_ms`, each to a server without cached
/// segments; returns how many fetch from the store.
fn fetches(placement: &mut Placement, took_ms: u64) -> usize {
    let mut count = 0;
    for shared in 1..=20 {
        let now = 5_000 + shared * 500;
        let choice = choose(placement, &prompt(shared, 2), now);
        count += usize::from(choice.prefill_tokens == OWN_TOKENS);
        let mut ticket = placement.begin_request(&choice, true, at(now));
        placement.record_first_output(&mut ticket, at(now + took_ms));
        placement.end_request(ticket, Outcome::Answered, at(now + took_ms));
    }
    count
}

/// A restarted store is empty, which only shows in the time to first output. The estimate must be
/// dropped after a few prompts, and must not be dropped while fetches succeed.
#[test]
fn estimate_is_dropped_when_first_outputs_show_an_empty_store() {
    for (took_ms, expected) in [(100, 20..=20), (900, 1..=5)] {
        let mut placement = tight_placement(1);
        for shared in 1..=20 {
            send(&mut placement, &prompt(shared, 1), shared * 200);
        }
        replace_servers(&mut placement, 1);
        let count = fetches(&mut placement, took_ms);
        assert!(expected.contains(&count), "{count} fetches with first output in {took_ms} ms");
    }
}

/// Transfers between zones take twice as long: a store in the server's zone is the better source
/// than a server in another zone, and the other way round.
#[test]
fn source_with_the_shorter_transfer_is_chosen() {
    let holder_address = address(1);
    for (holder_zone, store_zone) in [("south", "north"), ("north", "south")] {
        let mut placement = placement(1);
        let zoned_store = KvStore { zone: store_zone.to_owned(), ..store() };
        set_store(&mut placement, zoned_store, true);
        let mut holder = instance(1, 1);
        Arc::make_mut(&mut holder.report).zone = holder_zone.to_owned();
        let (holder, reader) = (Arc::new(holder), Arc::new(instance(2, 1)));
        placement.set_instances(&InstanceMap::from_iter([Arc::clone(&holder)]));
        let sent = send(&mut placement, &prompt(1, 1), 1_000);
        placement.set_instances(&InstanceMap::from_iter([holder, reader]));
        let busy = juniper_placement::DispatchRecord {
            prefill_tokens: 200_000,
            keys: Vec::new(),
            own_tokens: 0,
            ..sent.dispatch_record()
        };
        placement.apply_untracked_dispatch(&busy, at(3_000));
        let choice = choose(&mut placement, &prompt(1, 2), 3_000);
        let is_near = holder_zone == "north";
        let expected = if is_near { holder_address } else { store().address };
        assert_eq!((choice.reason, choice.source), (Reason::Fetch, Some(expected)));
    }
}

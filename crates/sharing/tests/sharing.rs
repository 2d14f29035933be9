//! Sharing of an engine's cache within one zone under message loss and restarts.

use juniper_prefix_index::{CacheEvent, Snapshot};
use juniper_sharing::{
    FollowPlan, Group, LoadDigest, RouterIncarnation, ServingDigest, ShareMessage, Sharing,
};
use juniper_types::{BlockHash, EngineId, Incarnation, NodeId, Timestamp, WeightsVersion};
use quickcheck::quickcheck;

const NOW: Timestamp = Timestamp(0);
const ENGINE: EngineId = EngineId(1);
const INCARNATION: Incarnation = Incarnation(7);

fn router(node: u64, incarnation: u64) -> RouterIncarnation {
    RouterIncarnation { node: NodeId(node), incarnation: Incarnation(incarnation) }
}

fn prompt(seed: u64, length: usize) -> Vec<BlockHash> {
    let mut previous = BlockHash([0; 16]).next(&seed.to_be_bytes());
    let mut blocks = Vec::new();
    for _ in 0..length {
        previous = previous.next(b"block");
        blocks.push(previous);
    }
    blocks
}

fn event(sequence: u64, stored: &[BlockHash], removed: &[BlockHash]) -> CacheEvent {
    CacheEvent { sequence, stored: stored.to_vec(), removed: removed.to_vec() }
}

/// Routers of one zone. Tests choose which messages are lost.
struct Zone {
    routers: Vec<(RouterIncarnation, Sharing)>,
}

impl Zone {
    fn new(members: &[RouterIncarnation]) -> Self {
        let mut zone = Zone { routers: Vec::new() };
        for member in members {
            zone.routers.push((*member, Sharing::new(*member)));
        }
        zone.update_groups();
        zone
    }

    fn update_groups(&mut self) {
        let group = Group::new(self.routers.iter().map(|(incarnation, _)| *incarnation));
        self.routers.iter_mut().for_each(|(_, sharing)| sharing.set_group(group.clone()));
    }

    fn router_mut(&mut self, incarnation: RouterIncarnation) -> &mut Sharing {
        &mut self.routers.iter_mut().find(|(known, _)| *known == incarnation).unwrap().1
    }

    /// Runs one round without the messages selected by `lost`. Senders are informed
    /// of the loss if `noticed`.
    fn round(
        &mut self,
        lost: impl Fn(RouterIncarnation, RouterIncarnation) -> bool,
        noticed: bool,
    ) {
        let senders: Vec<RouterIncarnation> =
            self.routers.iter().map(|(incarnation, _)| *incarnation).collect();
        for sender in senders {
            for (to, message) in self.router_mut(sender).flush(NOW).unwrap() {
                if lost(sender, to) {
                    if noticed {
                        self.router_mut(sender).delivery_failed(to);
                    }
                    continue;
                }
                let in_doubt = self.router_mut(to).receive(sender, &message).unwrap();
                self.router_mut(sender).request_resyncs(to, &in_doubt);
            }
        }
    }

    fn run_rounds(&mut self) {
        (0..3).for_each(|_| self.round(|_, _| false, true));
    }

    /// Holders of `blocks` that `asker` finds with the answers of all routers.
    fn find_holders(
        &mut self,
        asker: RouterIncarnation,
        blocks: &[BlockHash],
    ) -> Vec<(EngineId, Incarnation)> {
        let mut query = self.router_mut(asker).prefix_query(blocks, NOW);
        for owner_query in query.remote.clone() {
            let holders = self.router_mut(owner_query.owner).lookup(&owner_query.keys, NOW);
            query.answer(&owner_query, holders);
        }
        query.holders().iter().map(|holder| (holder.engine, holder.incarnation)).collect()
    }
}

fn three_routers() -> [RouterIncarnation; 3] {
    [router(1, 10), router(2, 20), router(3, 30)]
}

#[test]
fn every_router_finds_blocks_of_an_engine_that_one_follows() {
    let mut zone = Zone::new(&three_routers());
    let blocks = prompt(1, 320);
    zone.router_mut(router(1, 10)).apply_cache_events(
        ENGINE,
        INCARNATION,
        &[event(1, &blocks, &[])],
    );
    zone.run_rounds();
    for asker in three_routers() {
        assert_eq!(zone.find_holders(asker, &blocks), [(ENGINE, INCARNATION)]);
    }
    zone.router_mut(router(1, 10)).apply_cache_events(
        ENGINE,
        INCARNATION,
        &[event(2, &[], &blocks)],
    );
    zone.run_rounds();
    assert!(zone.find_holders(router(2, 20), &blocks).is_empty());
}

#[test]
fn block_stored_and_evicted_in_one_round_is_sent_only_as_removed() {
    let [first, second, third] = three_routers();
    let mut sharing = Sharing::new(first);
    sharing.set_group(Group::new([first, second, third]));
    // The first message to each owner is a resync; later ones contain changes only.
    sharing.apply_cache_events(ENGINE, INCARNATION, &[event(1, &prompt(1, 640), &[])]);
    sharing.flush(NOW).unwrap();
    let blocks = prompt(4, 640);
    sharing.apply_cache_events(
        ENGINE,
        INCARNATION,
        &[event(2, &blocks, &[]), event(3, &[], &blocks)],
    );
    let messages = sharing.flush(NOW).unwrap();
    assert_eq!(messages.len(), 2);
    for delta in messages.iter().flat_map(|(_, message)| &message.deltas) {
        assert_eq!(delta.stored.iter().count(), 0, "a block that is gone again is not stored");
        assert!(delta.removed.iter().count() > 0);
    }
}

#[test]
fn lost_message_is_repaired_with_and_without_notice() {
    for noticed in [true, false] {
        let mut zone = Zone::new(&three_routers());
        let follower = router(1, 10);
        let (first, second, third) = (prompt(1, 160), prompt(2, 160), prompt(3, 160));
        zone.router_mut(follower).apply_cache_events(ENGINE, INCARNATION, &[event(1, &first, &[])]);
        zone.run_rounds();
        zone.router_mut(follower).apply_cache_events(
            ENGINE,
            INCARNATION,
            &[event(2, &second, &first)],
        );
        zone.round(|_, _| true, noticed);
        zone.router_mut(follower).apply_cache_events(ENGINE, INCARNATION, &[event(3, &third, &[])]);
        zone.run_rounds();
        assert!(zone.find_holders(router(2, 20), &first).is_empty());
        assert_eq!(zone.find_holders(router(3, 30), &second), [(ENGINE, INCARNATION)]);
        assert_eq!(zone.find_holders(router(3, 30), &third), [(ENGINE, INCARNATION)]);
    }
}

#[test]
fn shard_is_restored_after_a_restart_and_reassigned_after_a_departure() {
    let mut zone = Zone::new(&three_routers());
    let follower = router(1, 10);
    let blocks = prompt(4, 480);
    zone.router_mut(follower).apply_cache_events(ENGINE, INCARNATION, &[event(1, &blocks, &[])]);
    zone.run_rounds();
    let before = zone.routers.iter().map(|(_, sharing)| sharing.size().owned_keys).sum::<usize>();
    // The third router restarts with an empty shard.
    zone.routers[2] = (router(3, 31), Sharing::new(router(3, 31)));
    zone.update_groups();
    zone.run_rounds();
    let after = zone.routers.iter().map(|(_, sharing)| sharing.size().owned_keys).sum::<usize>();
    assert_eq!(before, after);
    // The third router leaves permanently.
    zone.routers.pop();
    zone.update_groups();
    zone.run_rounds();
    let left = zone.routers.iter().map(|(_, sharing)| sharing.size().owned_keys).sum::<usize>();
    assert_eq!(before, left);
    assert_eq!(zone.find_holders(router(2, 20), &blocks), [(ENGINE, INCARNATION)]);
}

#[test]
fn new_follower_takes_over_with_restarted_sequence_numbers() {
    let mut zone = Zone::new(&three_routers());
    let (old, new) = (prompt(5, 320), prompt(6, 320));
    for sequence in 1..20 {
        let blocks = prompt(100 + sequence, 64);
        zone.router_mut(router(1, 10)).apply_cache_events(
            ENGINE,
            INCARNATION,
            &[event(sequence, &blocks, &[])],
        );
        zone.run_rounds();
    }
    zone.router_mut(router(1, 10)).apply_cache_events(ENGINE, INCARNATION, &[event(20, &old, &[])]);
    zone.run_rounds();
    zone.router_mut(router(1, 10)).unfollow(ENGINE);
    let snapshot = Snapshot { incarnation: INCARNATION, sequence: 21, blocks: new.clone() };
    zone.router_mut(router(2, 20)).apply_cache_snapshot(ENGINE, &snapshot);
    zone.run_rounds();
    assert!(zone.find_holders(router(3, 30), &old).is_empty());
    assert_eq!(zone.find_holders(router(3, 30), &new), [(ENGINE, INCARNATION)]);
}

#[test]
fn entries_of_an_earlier_incarnation_or_unreachable_engine_are_removed() {
    let mut zone = Zone::new(&three_routers());
    let blocks = prompt(7, 320);
    zone.router_mut(router(1, 10)).apply_cache_events(
        ENGINE,
        INCARNATION,
        &[event(1, &blocks, &[])],
    );
    zone.run_rounds();
    zone.router_mut(router(1, 10)).apply_cache_events(ENGINE, Incarnation(8), &[]);
    zone.run_rounds();
    assert!(zone.find_holders(router(2, 20), &blocks).is_empty());
    let again = [event(1, &blocks, &[])];
    zone.router_mut(router(1, 10)).apply_cache_events(ENGINE, Incarnation(8), &again);
    zone.run_rounds();
    assert_eq!(zone.find_holders(router(2, 20), &blocks), [(ENGINE, Incarnation(8))]);
    zone.router_mut(router(1, 10)).mark_down(ENGINE);
    zone.run_rounds();
    assert!(zone.find_holders(router(2, 20), &blocks).is_empty());
}

fn digests(leaving: bool) -> (ServingDigest, LoadDigest) {
    let serving = ServingDigest {
        engine: ENGINE,
        incarnation: INCARNATION,
        model: None,
        weights: WeightsVersion(1),
        adapters: Vec::new(),
        leaving,
        up: true,
        software: None,
    };
    let load =
        LoadDigest { engine: ENGINE, age_ms: 5, running: 1, waiting: 2, waiting_prompt_tokens: 3 };
    (serving, load)
}

#[test]
fn serving_state_is_sent_on_change_and_after_a_failed_delivery() {
    let [first, second, _] = three_routers();
    let mut sharing = Sharing::new(first);
    sharing.set_group(Group::new([first, second]));
    let sent = |sharing: &mut Sharing, leaving| {
        let (serving, load) = digests(leaving);
        sharing.record_load(serving, load, NOW);
        let messages = sharing.flush(NOW).unwrap();
        let message: &ShareMessage = &messages[0].1;
        (message.serving.len(), message.loads.len())
    };
    assert_eq!(sent(&mut sharing, false), (1, 1));
    assert_eq!(sent(&mut sharing, false), (0, 1));
    assert_eq!(sent(&mut sharing, true), (1, 1));
    sharing.delivery_failed(second);
    assert_eq!(sent(&mut sharing, true), (1, 1));
    assert!(sharing.flush(NOW).unwrap().is_empty());
}

#[test]
fn routers_follow_every_engine_only_in_small_fleets() {
    let own = router(1, 10);
    let group = Group::new(three_routers());
    let engines = |from: u32, count: u32| (from..from + count).map(EngineId).collect::<Vec<_>>();
    let small =
        FollowPlan::new(own, &group, &engines(0, 6), &[engines(6, 6), engines(12, 6)], 64, true);
    assert_eq!((small.followed.len(), small.shared), (18, false));
    let zones = [engines(100, 107), engines(300, 107)];
    let plans =
        three_routers().map(|own| FollowPlan::new(own, &group, &engines(0, 107), &zones, 64, true));
    let mut followed: Vec<EngineId> =
        plans.iter().flat_map(|plan| plan.followed.iter().copied()).collect();
    followed.sort_unstable();
    assert_eq!(followed, engines(0, 107), "each engine of the zone has one follower");
    assert!(plans.iter().all(|plan| plan.shared && plan.sampled.len() == 4));
}

#[test]
fn unsettled_router_follows_no_engine_of_a_large_fleet() {
    let own = router(1, 10);
    let alone = Group::new([own]);
    let engines: Vec<EngineId> = (0..107).map(EngineId).collect();
    let unsettled = FollowPlan::new(own, &alone, &engines, &[], 64, false);
    assert_eq!((unsettled.followed.len(), unsettled.sampled.len()), (0, 8));
    let settled = FollowPlan::new(own, &alone, &engines, &[], 64, true);
    assert_eq!(settled.followed.len(), 107);
}

quickcheck! {
    fn invalid_bytes_do_not_panic_the_decoder(bytes: Vec<u8>) -> bool {
        let _ = minicbor::decode::<ShareMessage>(&bytes);
        true
    }
}

//! Routers of one zone that share an engine's cache, with losses and restarts.

use juniper_prefix_index::{CacheEvent, Snapshot};
use juniper_sharing::{
    FollowPlan, Group, LoadDigest, RouterLife, ServingDigest, ShareMessage, Sharing,
};
use juniper_types::{BlockHash, EngineId, Incarnation, NodeId, Timestamp, WeightsVersion};
use quickcheck::quickcheck;

const NOW: Timestamp = Timestamp(0);
const ENGINE: EngineId = EngineId(1);
const LIFE: Incarnation = Incarnation(7);

fn router(node: u64, life: u64) -> RouterLife {
    RouterLife { node: NodeId(node), life: Incarnation(life) }
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

/// Routers that reach each other, apart from the messages a test drops.
struct Zone {
    routers: Vec<(RouterLife, Sharing)>,
}

impl Zone {
    fn new(members: &[RouterLife]) -> Self {
        let mut zone = Zone { routers: Vec::new() };
        for member in members {
            zone.routers.push((*member, Sharing::new(*member)));
        }
        zone.agree();
        zone
    }

    fn agree(&mut self) {
        let group = Group::new(self.routers.iter().map(|(life, _)| *life));
        self.routers.iter_mut().for_each(|(_, sharing)| sharing.set_group(group.clone()));
    }

    fn at(&mut self, life: RouterLife) -> &mut Sharing {
        &mut self.routers.iter_mut().find(|(known, _)| *known == life).unwrap().1
    }

    /// One round; messages for which `lost` says so don't arrive, and their
    /// sender notices only if `noticed`.
    fn round(&mut self, lost: impl Fn(RouterLife, RouterLife) -> bool, noticed: bool) {
        let senders: Vec<RouterLife> = self.routers.iter().map(|(life, _)| *life).collect();
        for sender in senders {
            for (to, message) in self.at(sender).flush(NOW).unwrap() {
                if lost(sender, to) {
                    if noticed {
                        self.at(sender).delivery_failed(to);
                    }
                    continue;
                }
                let in_doubt = self.at(to).receive(sender, &message).unwrap();
                self.at(sender).in_doubt(to, &in_doubt);
            }
        }
    }

    fn settle(&mut self) {
        (0..3).for_each(|_| self.round(|_, _| false, true));
    }

    /// What `asker` finds out about `blocks` from all routers.
    fn found(&mut self, asker: RouterLife, blocks: &[BlockHash]) -> Vec<(EngineId, Incarnation)> {
        let mut questions = self.at(asker).questions(blocks, NOW);
        for question in questions.remote.clone() {
            let holders = self.at(question.owner).lookup(&question.keys, NOW);
            questions.answer(&question, holders);
        }
        questions.holders().iter().map(|holder| (holder.engine, holder.incarnation)).collect()
    }
}

fn three() -> [RouterLife; 3] {
    [router(1, 10), router(2, 20), router(3, 30)]
}

#[test]
fn every_router_finds_what_one_of_them_followed() {
    let mut zone = Zone::new(&three());
    let blocks = prompt(1, 320);
    zone.at(router(1, 10)).cache_events(ENGINE, LIFE, &[event(1, &blocks, &[])]);
    zone.settle();
    for asker in three() {
        assert_eq!(zone.found(asker, &blocks), [(ENGINE, LIFE)]);
    }
    zone.at(router(1, 10)).cache_events(ENGINE, LIFE, &[event(2, &[], &blocks)]);
    zone.settle();
    assert!(zone.found(router(2, 20), &blocks).is_empty());
}

#[test]
fn stored_and_evicted_in_one_round_is_sent_at_most_once() {
    let [first, second, third] = three();
    let mut sharing = Sharing::new(first);
    sharing.set_group(Group::new([first, second, third]));
    // A first message to every owner, so that the next one holds changes only.
    sharing.cache_events(ENGINE, LIFE, &[event(1, &prompt(1, 640), &[])]);
    sharing.flush(NOW).unwrap();
    let blocks = prompt(4, 640);
    sharing.cache_events(ENGINE, LIFE, &[event(2, &blocks, &[]), event(3, &[], &blocks)]);
    let messages = sharing.flush(NOW).unwrap();
    assert_eq!(messages.len(), 2);
    for delta in messages.iter().flat_map(|(_, message)| &message.deltas) {
        assert_eq!(delta.stored.iter().count(), 0, "a block that is gone again is not stored");
        assert!(delta.removed.iter().count() > 0);
    }
}

#[test]
fn lost_message_is_repaired_whether_or_not_the_sender_noticed() {
    for noticed in [true, false] {
        let mut zone = Zone::new(&three());
        let follower = router(1, 10);
        let (first, second, third) = (prompt(1, 160), prompt(2, 160), prompt(3, 160));
        zone.at(follower).cache_events(ENGINE, LIFE, &[event(1, &first, &[])]);
        zone.settle();
        zone.at(follower).cache_events(ENGINE, LIFE, &[event(2, &second, &first)]);
        zone.round(|_, _| true, noticed);
        zone.at(follower).cache_events(ENGINE, LIFE, &[event(3, &third, &[])]);
        zone.settle();
        assert!(zone.found(router(2, 20), &first).is_empty());
        assert_eq!(zone.found(router(3, 30), &second), [(ENGINE, LIFE)]);
        assert_eq!(zone.found(router(3, 30), &third), [(ENGINE, LIFE)]);
    }
}

#[test]
fn restarted_router_gets_its_shard_back_and_a_departed_one_hands_it_over() {
    let mut zone = Zone::new(&three());
    let follower = router(1, 10);
    let blocks = prompt(4, 480);
    zone.at(follower).cache_events(ENGINE, LIFE, &[event(1, &blocks, &[])]);
    zone.settle();
    let before = zone.routers.iter().map(|(_, sharing)| sharing.size().owned_keys).sum::<usize>();
    // The third router restarts with an empty shard.
    zone.routers[2] = (router(3, 31), Sharing::new(router(3, 31)));
    zone.agree();
    zone.settle();
    let after = zone.routers.iter().map(|(_, sharing)| sharing.size().owned_keys).sum::<usize>();
    assert_eq!(before, after);
    // Then it goes for good.
    zone.routers.pop();
    zone.agree();
    zone.settle();
    let left = zone.routers.iter().map(|(_, sharing)| sharing.size().owned_keys).sum::<usize>();
    assert_eq!(before, left);
    assert_eq!(zone.found(router(2, 20), &blocks), [(ENGINE, LIFE)]);
}

#[test]
fn another_follower_takes_over_though_its_numbers_start_again() {
    let mut zone = Zone::new(&three());
    let (old, new) = (prompt(5, 320), prompt(6, 320));
    for sequence in 1..20 {
        let blocks = prompt(100 + sequence, 64);
        zone.at(router(1, 10)).cache_events(ENGINE, LIFE, &[event(sequence, &blocks, &[])]);
        zone.settle();
    }
    zone.at(router(1, 10)).cache_events(ENGINE, LIFE, &[event(20, &old, &[])]);
    zone.settle();
    zone.at(router(1, 10)).unfollow(ENGINE);
    let snapshot = Snapshot { incarnation: LIFE, sequence: 21, blocks: new.clone() };
    zone.at(router(2, 20)).cache_snapshot(ENGINE, &snapshot);
    zone.settle();
    assert!(zone.found(router(3, 30), &old).is_empty());
    assert_eq!(zone.found(router(3, 30), &new), [(ENGINE, LIFE)]);
}

#[test]
fn nothing_counts_of_an_earlier_life_or_of_an_engine_that_is_down() {
    let mut zone = Zone::new(&three());
    let blocks = prompt(7, 320);
    zone.at(router(1, 10)).cache_events(ENGINE, LIFE, &[event(1, &blocks, &[])]);
    zone.settle();
    zone.at(router(1, 10)).cache_events(ENGINE, Incarnation(8), &[]);
    zone.settle();
    assert!(zone.found(router(2, 20), &blocks).is_empty());
    let again = [event(1, &blocks, &[])];
    zone.at(router(1, 10)).cache_events(ENGINE, Incarnation(8), &again);
    zone.settle();
    assert_eq!(zone.found(router(2, 20), &blocks), [(ENGINE, Incarnation(8))]);
    zone.at(router(1, 10)).mark_down(ENGINE);
    zone.settle();
    assert!(zone.found(router(2, 20), &blocks).is_empty());
}

fn digests(leaving: bool) -> (ServingDigest, LoadDigest) {
    let serving = ServingDigest {
        engine: ENGINE,
        incarnation: LIFE,
        model: None,
        weights: WeightsVersion(1),
        adapters: Vec::new(),
        leaving,
        up: true,
    };
    let load =
        LoadDigest { engine: ENGINE, age_ms: 5, running: 1, waiting: 2, waiting_prompt_tokens: 3 };
    (serving, load)
}

#[test]
fn serving_state_is_sent_on_change_only_and_again_after_a_failure() {
    let [first, second, _] = three();
    let mut sharing = Sharing::new(first);
    sharing.set_group(Group::new([first, second]));
    let sent = |sharing: &mut Sharing, leaving| {
        let (serving, load) = digests(leaving);
        sharing.load(serving, load, NOW);
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
fn small_fleets_follow_everything_and_large_ones_share() {
    let own = router(1, 10);
    let group = Group::new(three());
    let engines = |from: u32, count: u32| (from..from + count).map(EngineId).collect::<Vec<_>>();
    let small =
        FollowPlan::new(own, &group, &engines(0, 6), &[engines(6, 6), engines(12, 6)], 64, true);
    assert_eq!((small.followed.len(), small.shared), (18, false));
    let zones = [engines(100, 107), engines(300, 107)];
    let plans = three().map(|own| FollowPlan::new(own, &group, &engines(0, 107), &zones, 64, true));
    let mut followed: Vec<EngineId> =
        plans.iter().flat_map(|plan| plan.followed.iter().copied()).collect();
    followed.sort_unstable();
    assert_eq!(followed, engines(0, 107), "each engine of the zone has one follower");
    assert!(plans.iter().all(|plan| plan.shared && plan.sampled.len() == 4));
}

#[test]
fn a_router_that_does_not_know_its_group_yet_follows_no_engine_of_a_large_fleet() {
    let own = router(1, 10);
    let alone = Group::new([own]);
    let engines: Vec<EngineId> = (0..107).map(EngineId).collect();
    let unsettled = FollowPlan::new(own, &alone, &engines, &[], 64, false);
    assert_eq!((unsettled.followed.len(), unsettled.sampled.len()), (0, 8));
    let settled = FollowPlan::new(own, &alone, &engines, &[], 64, true);
    assert_eq!(settled.followed.len(), 107);
}

quickcheck! {
    fn hostile_bytes_are_refused_without_a_panic(bytes: Vec<u8>) -> bool {
        let _ = minicbor::decode::<ShareMessage>(&bytes);
        true
    }
}

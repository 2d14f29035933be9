//! Choice of servers after many of a service's servers were lost, and of restarted servers.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use juniper_placement::{DispatchRecord, Outcome, Placement, ServerRequest, ServiceProfile};
use juniper_registry::{Instance, InstanceId, InstanceMap, InstanceReport, StartTime};

use support::{SERVICE, at, choose, instance, placement, prompt, request, send};

const SERVERS: u16 = 20;

/// Queued tokens that are dearer than an eighth of the segments' recomputation, but not than all.
const POPULAR_QUEUE: u32 = 12_000;

/// Queued tokens that are cheaper than an eighth of the segments' recomputation.
const SHORT_QUEUE: u32 = 2_000;

/// Queued tokens that cost more than an eighth of the segments' recomputation, but less than this
/// and the initial cost of a started server together.
const MODERATE_QUEUE: u32 = 8_000;

/// Queued tokens that cost more than the initial cost of a started server.
const LONG_QUEUE: u32 = 40_000;

fn set_tight(placement: &mut Placement, is_tight: bool) {
    let profile = ServiceProfile {
        transfer_ms_per_token: 0.005,
        cache_tokens: 160_000,
        is_tight,
        ..ServiceProfile::default()
    };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
}

fn tight_placement() -> Placement {
    let mut placement = placement(SERVERS);
    set_tight(&mut placement, true);
    placement
}

fn queue(placement: &mut Placement, instance: &InstanceId, tokens: u32, millis: u64) {
    let busy = DispatchRecord {
        instance: instance.clone(),
        version: 1,
        keys: Vec::new(),
        segment_tokens: Vec::new(),
        own_tokens: 0,
        tokens: 0,
        prefill_tokens: tokens,
    };
    placement.apply_untracked_dispatch(&busy, at(millis));
}

/// A connection to each server breaks, as after a crash of its machine.
fn lose(placement: &mut Placement, servers: &[InstanceId], millis: u64) {
    let request = prompt(0, 0);
    for server in servers {
        let mut choice = choose(placement, &request, millis);
        choice.instance = server.clone();
        choice.keys.clear();
        let ticket = placement.begin_request(&choice, true, at(millis));
        placement.end_request(ticket, Outcome::Interrupted, at(millis));
    }
}

/// Placement that lost `lost` servers at 2,000 ms, first the one that held the segments of
/// `prompt(1, _)`, which `requests` requests had asked for.
struct AfterLoss {
    placement: Placement,
    lost: Vec<InstanceId>,
    /// Home of the segments among the remaining servers.
    home: InstanceId,
}

fn after_loss(requests: u64, lost: usize) -> AfterLoss {
    let mut placement = tight_placement();
    let sent = (0..requests).map(|own| send(&mut placement, &prompt(1, own), 700 + own * 100));
    let holder = sent.last().expect("a request").instance;
    let excluded = [holder.clone()];
    let home = tight_placement().choose(&request(&prompt(1, 0), &excluded), at(0), 0);
    let home = home.expect("a server").instance;
    let others = (1..=SERVERS).map(|number| instance(number, 1).id);
    let others = others.filter(|id| ![&holder, &home].contains(&id));
    let lost: Vec<InstanceId> = std::iter::once(holder.clone()).chain(others).take(lost).collect();
    lose(&mut placement, &lost, 2_000);
    AfterLoss { placement, lost, home }
}

impl AfterLoss {
    /// Whether the prompt goes to the home of its segments if `queued_tokens` are queued there.
    fn goes_home(&self, queued_tokens: u32, millis: u64) -> bool {
        let mut placement = self.placement.clone();
        queue(&mut placement, &self.home, queued_tokens, millis);
        choose(&mut placement, &prompt(1, 99), millis).instance == self.home
    }
}

/// After a large loss the segments that are requested most are restored at one server, also if it
/// has a queue: else each router would compute them elsewhere. After a small one nothing changes.
#[test]
fn popular_lost_segments_are_restored_at_their_new_home() {
    assert!(after_loss(12, 2).goes_home(POPULAR_QUEUE, 2_100));
    assert!(!after_loss(12, 1).goes_home(POPULAR_QUEUE, 2_100));
}

/// Restoring a segment that was requested once would delay others at its home.
#[test]
fn segments_requested_once_go_to_the_least_loaded_server() {
    assert!(!after_loss(1, 2).goes_home(SHORT_QUEUE, 2_100));
    assert!(after_loss(1, 1).goes_home(SHORT_QUEUE, 2_100));
}

/// The state must end by itself when nothing more is lost.
#[test]
fn loss_state_ends_after_two_seconds() {
    let world = after_loss(12, 2);
    assert!(world.goes_home(POPULAR_QUEUE, 3_900));
    assert!(!world.goes_home(POPULAR_QUEUE, 4_100));
}

/// A router that was cut off uses the servers that it reaches, and returns to the ordinary rules
/// once it reaches the others again.
#[test]
fn loss_state_ends_when_the_servers_are_reachable_again() {
    let mut world = after_loss(12, 10);
    assert!(world.goes_home(POPULAR_QUEUE, 2_100));
    let (holder, others) = world.lost.split_first().expect("lost servers");
    others.iter().for_each(|id| world.placement.record_probe_success(id));
    assert!(!world.goes_home(POPULAR_QUEUE, 2_100));
    world.placement.record_probe_success(holder);
    let choice = choose(&mut world.placement, &prompt(1, 99), 2_100);
    assert_eq!(choice.prefill_tokens, 1_000, "the holder's cache was kept: {choice:?}");
}

/// Servers that leave the instance list have lost their segments like unreachable ones.
#[test]
fn removed_servers_count_as_lost() {
    let mut world = after_loss(12, 1);
    let removed: Vec<InstanceId> = (1..=SERVERS)
        .map(|number| instance(number, 1).id)
        .filter(|id| *id != world.home)
        .take(3)
        .collect();
    let kept = (1..=SERVERS).map(|number| Arc::new(instance(number, 1)));
    let kept = kept.filter(|instance| !removed.contains(&instance.id));
    world.placement.set_instances(&kept.collect::<InstanceMap>());
    assert!(world.goes_home(POPULAR_QUEUE, 2_100));
}

/// A crash that is long past must not count again when its servers leave the instance list.
#[test]
fn removal_of_servers_that_were_lost_before_is_no_new_loss() {
    let mut world = after_loss(12, 4);
    queue(&mut world.placement, &world.home, 0, 5_000);
    let kept = (1..=SERVERS).map(|number| Arc::new(instance(number, 1)));
    let kept = kept.filter(|instance| !world.lost.contains(&instance.id));
    world.placement.set_instances(&kept.collect::<InstanceMap>());
    assert!(!world.goes_home(POPULAR_QUEUE, 5_100));
}

/// The caller has already got part of the answer, so a refusal would waste it.
#[test]
fn resumed_streams_are_not_refused_after_a_loss() {
    let mut world = after_loss(12, 10);
    // Without samples of the service's timing nothing is refused.
    for own in 0..30 {
        let choice = choose(&mut world.placement, &prompt(2, own), 2_010);
        let mut ticket = world.placement.begin_request(&choice, true, at(2_010));
        world.placement.record_first_output(&mut ticket, at(2_040));
    }
    for number in 1..=SERVERS {
        queue(&mut world.placement, &instance(number, 1).id, 400_000, 2_050);
    }
    let resumed = prompt(1, 99);
    let new = ServerRequest { may_be_refused: true, ..request(&resumed, &[]) };
    assert!(world.placement.choose(&new, at(2_100), 0).is_err());
    world.placement.choose(&request(&resumed, &[]), at(2_100), 0).expect("a server");
}

/// All routers learn of an idle server at once. Until they see each other's dispatches, only those
/// prompts may go there that gain much.
#[test]
fn restarted_server_gets_its_share_gradually() {
    // Share of 40 prompts with other segments that go to the restarted server.
    let share = |queued_tokens: u32, is_tight: bool, age_ms: u64| {
        let mut placement = tight_placement();
        set_tight(&mut placement, is_tight);
        send(&mut placement, &prompt(0, 0), 1_000);
        let mut restarted = instance(SERVERS, 1);
        restarted = Instance::of(InstanceReport {
            started: StartTime::from_unix_ms(7),
            ..(*restarted.report).clone()
        });
        let all = (1..SERVERS).map(|number| Arc::new(instance(number, 1)));
        let all = all.chain([Arc::new(restarted.clone())]);
        placement.set_instances(&all.collect::<InstanceMap>());
        let now = 1_200 + age_ms;
        for number in 1..SERVERS {
            queue(&mut placement, &instance(number, 1).id, queued_tokens, now);
        }
        let chosen = (1..=40).map(|shared| choose(&mut placement, &prompt(shared, 1), now));
        chosen.filter(|choice| choice.instance == restarted.id).count()
    };
    assert!(share(MODERATE_QUEUE, false, 10) == 40);
    assert!(share(MODERATE_QUEUE, true, 10) < 10);
    assert!(share(MODERATE_QUEUE, true, 500) == 40);
    assert!(share(LONG_QUEUE, true, 10) == 40);
}

//! Routing decisions: examples and properties.

mod support;

use std::time::Duration;

use juniper_prefix_index::Holder;
use juniper_routing::drain::DepartureSource;
use juniper_routing::{
    CostModel, CostWeights, Decision, DispatchId, DispatchedWork, EngineTable, Reason, Refusal,
    RefusalCode, RouteRequest, decide,
};
use juniper_types::{
    BlockHash, EngineId, Incarnation, SoftwareVersion, Timestamp, WeightsVersion, ZoneName,
};
use quickcheck::QuickCheck;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::{blocks, holder, idle_load, incarnation, serving, table};

const NOW: Timestamp = Timestamp::from_millis(10_000);
const TOKENS: u32 = 2_600;

fn route(table: &EngineTable, holders: &[Holder], prompt: u64) -> Result<Decision, Refusal> {
    let (key, chain) = (serving(), blocks(prompt, 40));
    decide(table, holders, &request(&key, &chain), NOW, &mut ChaCha8Rng::seed_from_u64(prompt))
}

fn request<'a>(key: &'a juniper_routing::ServingKey, chain: &'a [BlockHash]) -> RouteRequest<'a> {
    RouteRequest {
        serving: key,
        blocks: chain,
        tokens: TOKENS,
        importable_blocks: 0,
        first_token_within: Duration::from_secs(10),
        excluded: &[],
        begun: false,
        weights: CostWeights { latency: 1.0, waste: 1.0 },
    }
}

fn dispatch_attempts(
    table: &mut EngineTable,
    engine: EngineId,
    attempts: u64,
    prefill_tokens: u32,
) {
    for attempt in 0..attempts {
        let id = DispatchId(u64::from(engine.0) << 32 | attempt);
        let work = DispatchedWork { prompt_tokens: TOKENS, prefill_tokens };
        table.record_dispatch(engine, id, work, NOW);
    }
}

#[test]
fn engine_with_the_longest_cached_prefix_is_chosen() {
    let table = table(6, NOW);
    let holders = [holder(2, 10), holder(4, 38), holder(5, 20)];
    let decision = route(&table, &holders, 1).expect("routed");
    assert_eq!((decision.engine, decision.expected_blocks), (EngineId(4), 38));
    assert_eq!(decision.reason, Reason::BestHolder);
    assert_eq!(decision.incarnation, Some(incarnation(4)));
}

#[test]
fn long_queue_outweighs_a_longer_cached_prefix() {
    let mut table = table(3, NOW);
    dispatch_attempts(&mut table, EngineId(1), 4, 2_600);
    let decision = route(&table, &[holder(1, 38), holder(2, 20)], 1).expect("routed");
    assert_eq!((decision.engine, decision.reason), (EngineId(2), Reason::Spread));
}

#[test]
fn cached_blocks_of_an_ended_incarnation_do_not_count() {
    let table = table(2, NOW);
    let stale = Holder { incarnation: Incarnation(1), ..holder(1, 38) };
    let decision = route(&table, &[stale], 1).expect("routed");
    assert_eq!(decision.expected_blocks, 0);
}

#[test]
fn routers_choose_the_same_engine_for_an_uncached_prefix() {
    let table = table(12, NOW);
    let chosen = route(&table, &[], 5).expect("routed").engine;
    let (key, chain) = (serving(), blocks(5, 40));
    for seed in 0..20 {
        let random = &mut ChaCha8Rng::seed_from_u64(seed);
        let decision = decide(&table, &[], &request(&key, &chain), NOW, random).expect("routed");
        assert_eq!(decision.engine, chosen);
    }
}

#[test]
fn different_prompts_spread_over_idle_engines() {
    let table = table(12, NOW);
    let mut counts = [0_u32; 12];
    for prompt in 0..600 {
        let engine = route(&table, &[], prompt).expect("routed").engine;
        counts[engine.0 as usize] += 1;
    }
    assert!(counts.iter().all(|count| (20..100).contains(count)), "{counts:?}");
}

#[test]
fn request_for_unserved_weights_is_refused() {
    let table = table(4, NOW);
    let key = juniper_routing::ServingKey { weights: WeightsVersion(9), ..serving() };
    let chain = blocks(1, 40);
    let random = &mut ChaCha8Rng::seed_from_u64(0);
    let refusal = decide(&table, &[holder(1, 38)], &request(&key, &chain), NOW, random);
    assert_eq!(refusal.map_err(|refusal| refusal.code), Err(RefusalCode::NoEngine));
}

#[test]
fn unreported_engine_is_used_only_until_another_has_reported() {
    let mut fresh = table(0, NOW);
    support::insert(&mut fresh, EngineId(9));
    let decision = route(&fresh, &[], 1).expect("routed");
    assert_eq!((decision.engine, decision.incarnation), (EngineId(9), None));
    assert_eq!(decision.reason, Reason::Unreported);

    let mut known = table(1, NOW);
    support::insert(&mut known, EngineId(9));
    assert!((0..50).all(|prompt| route(&known, &[], prompt).expect("routed").engine.0 == 0));
}

#[test]
fn unreported_engine_is_not_used_when_the_others_depart() {
    let mut table = table(1, NOW);
    support::insert(&mut table, EngineId(9));
    table.set_leaving(EngineId(0), DepartureSource::Engine, true);
    let refusal = route(&table, &[], 1).expect_err("engine 9 may be leaving as well");
    assert_eq!(refusal.code, RefusalCode::NoEngine);
}

#[test]
fn departing_engine_is_excluded_until_every_source_withdraws() {
    let mut table = table(1, NOW);
    table.set_leaving(EngineId(0), DepartureSource::Platform, true);
    table.set_leaving(EngineId(0), DepartureSource::Settings, true);
    assert_eq!(route(&table, &[holder(0, 38)], 1).map_err(|r| r.code), Err(RefusalCode::NoEngine));
    table.set_leaving(EngineId(0), DepartureSource::Settings, false);
    assert!(route(&table, &[holder(0, 38)], 1).is_err());
    table.set_leaving(EngineId(0), DepartureSource::Platform, false);
    assert!(route(&table, &[holder(0, 38)], 1).is_ok());
    let leaving = juniper_routing::EngineLoad { leaving: true, ..idle_load(EngineId(0)) };
    table.apply_load_report(EngineId(0), &leaving, NOW);
    assert!(route(&table, &[holder(0, 38)], 1).is_err());
}

#[test]
fn engine_marked_down_is_excluded_until_it_reports() {
    let mut table = table(2, NOW);
    table.mark_down(EngineId(0));
    assert!((0..50).all(|prompt| route(&table, &[], prompt).expect("routed").engine.0 == 1));
    table.apply_load_report(EngineId(0), &idle_load(EngineId(0)), NOW);
    assert!((0..50).any(|prompt| route(&table, &[], prompt).expect("routed").engine.0 == 0));
}

#[test]
fn begun_request_is_bound_by_its_deadline_only() {
    let mut table = table(2, NOW);
    dispatch_attempts(&mut table, EngineId(0), 10, 2_600);
    dispatch_attempts(&mut table, EngineId(1), 10, 2_600);
    let (key, chain) = (serving(), blocks(1, 40));
    let random = &mut ChaCha8Rng::seed_from_u64(0);
    let within = Duration::from_secs(11);
    let fresh = RouteRequest { first_token_within: within, ..request(&key, &chain) };
    let refusal = decide(&table, &[], &fresh, NOW, random).expect_err("the queues are full");
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    let begun = RouteRequest { begun: true, ..fresh };
    assert!(decide(&table, &[], &begun, NOW, random).is_ok());
    let late = RouteRequest { first_token_within: Duration::from_secs(1), ..begun };
    assert!(decide(&table, &[], &late, NOW, random).is_err());
}

/// A queue that is too long for a short deadline has room for requests with a
/// long deadline.
#[test]
fn maximum_queue_depends_on_the_deadline() {
    let mut table = table(2, NOW);
    dispatch_attempts(&mut table, EngineId(0), 4, 2_600);
    dispatch_attempts(&mut table, EngineId(1), 4, 2_600);
    let (key, chain) = (serving(), blocks(1, 40));
    let random = &mut ChaCha8Rng::seed_from_u64(0);
    // The queue of four prompts with 2,600 tokens each takes about 3.5 s.
    let due = |seconds| RouteRequest {
        first_token_within: Duration::from_secs(seconds),
        ..request(&key, &chain)
    };
    assert!(decide(&table, &[], &due(10), NOW, random).is_ok());
    let refusal = decide(&table, &[], &due(5), NOW, random).expect_err("no room");
    assert_eq!(refusal.code, RefusalCode::Overloaded);
}

#[test]
fn late_request_is_refused_with_the_time_to_drain_the_queue() {
    let mut table = table(2, NOW);
    dispatch_attempts(&mut table, EngineId(0), 30, 2_600);
    dispatch_attempts(&mut table, EngineId(1), 30, 2_600);
    let (key, chain) = (serving(), blocks(1, 40));
    let random = &mut ChaCha8Rng::seed_from_u64(0);
    let soon = RouteRequest { first_token_within: Duration::from_secs(2), ..request(&key, &chain) };
    let refusal = decide(&table, &[], &soon, NOW, random).expect_err("too late");
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    // 31 prompts of 2,600 tokens take about 27.4 s, and the deadline is 2 s.
    let seconds = refusal.retry_after.as_secs_f64();
    assert!((25.0..26.0).contains(&seconds), "{seconds}");

    let later = NOW.after(refusal.retry_after);
    assert!(decide(&table, &[], &soon, later, random).is_ok());
    let hasty = RouteRequest { first_token_within: Duration::from_millis(100), ..soon };
    let refusal = decide(&table, &[], &hasty, NOW, random).expect_err("too late");
    assert_eq!(refusal.code, RefusalCode::DeadlineTooShort);
}

#[test]
fn import_replaces_prefill_where_it_is_cheaper() {
    let table = table(2, NOW);
    let (key, chain) = (serving(), blocks(1, 40));
    let random = &mut ChaCha8Rng::seed_from_u64(0);
    let importable = RouteRequest { importable_blocks: 30, ..request(&key, &chain) };
    let decision = decide(&table, &[holder(1, 5)], &importable, NOW, random).expect("routed");
    assert_eq!(decision.import_blocks, 30);
    let left = f64::from(TOKENS - 30 * 64) * CostModel::default().token_us;
    assert_eq!(decision.terms.compute_us, left);
    let nothing_new = RouteRequest { importable_blocks: 5, ..request(&key, &chain) };
    let decision = decide(&table, &[holder(1, 5)], &nothing_new, NOW, random).expect("routed");
    assert_eq!((decision.engine, decision.import_blocks), (EngineId(1), 0));
}

#[test]
fn reported_work_of_other_routers_counts() {
    let mut table = table(2, NOW);
    let busy = juniper_routing::EngineLoad {
        running: 8,
        waiting: 10,
        waiting_prompt_tokens: 26_000,
        ..idle_load(EngineId(0))
    };
    table.apply_load_report(EngineId(0), &busy, NOW);
    assert!((0..50).all(|prompt| route(&table, &[], prompt).expect("routed").engine.0 == 1));
}

#[test]
fn request_waits_for_the_attempt_that_computes_its_prefix() {
    let mut table = table(2, NOW);
    let computing = DispatchId(8);
    let work = DispatchedWork { prompt_tokens: TOKENS, prefill_tokens: TOKENS };
    table.record_dispatch(EngineId(1), computing, work, NOW);
    let predicted = Holder { predicted: 38, computed_by: Some(computing.into()), ..holder(1, 38) };
    let decision = route(&table, &[predicted], 1).expect("routed");
    assert_eq!(decision.engine, EngineId(1));
    assert_eq!(decision.wait.map(|wait| wait.dispatch), Some(computing));
    assert!(decision.wait.is_some_and(|wait| wait.max_wait <= Duration::from_secs(5)));

    table.record_first_token(EngineId(1), computing, NOW);
    assert_eq!(route(&table, &[predicted], 1).expect("routed").wait, None);
    let known = Holder { predicted: 0, computed_by: None, ..predicted };
    assert_eq!(route(&table, &[known], 1).expect("routed").wait, None);
}

#[test]
fn nearer_zone_is_preferred_between_equal_engines() {
    let mut table = table(4, NOW);
    let far = ZoneName::new("zone-1").expect("valid");
    table.set_round_trip(&far, Duration::from_millis(60));
    for prompt in 0..100 {
        let engine = route(&table, &[], prompt).expect("routed").engine;
        assert_eq!(engine.0 % 2, 0, "engines of zone-0 have even numbers");
    }
}

#[test]
fn first_token_completes_the_work_ahead() {
    let mut table = table(1, NOW);
    dispatch_attempts(&mut table, EngineId(0), 4, 2_600);
    let later = NOW.after(Duration::from_millis(100));
    table.record_first_token(EngineId(0), DispatchId(0), later);
    let view = table.view(EngineId(0), later).expect("known");
    let CostModel { token_us, busy_start_us, .. } = CostModel::default();
    let three_prompts = f64::from(3 * TOKENS) * token_us + busy_start_us;
    assert_eq!(view.queue, Duration::from_micros(three_prompts as u64));
    for attempt in 0..4 {
        table.record_end(EngineId(0), DispatchId(attempt), later);
    }
    let view = table.view(EngineId(0), later).expect("known");
    assert_eq!((view.queue, view.own_in_flight), (Duration::ZERO, 0));
}

#[test]
fn decision_chooses_a_usable_engine_that_is_not_excluded() {
    fn holds(engines: u8, held: Vec<(u8, u8)>, excluded: Vec<u8>, down: Vec<u8>) -> bool {
        let engines = u32::from(engines % 24);
        let mut table = table(engines, NOW);
        for engine in &down {
            table.mark_down(EngineId(u32::from(*engine)));
        }
        let holders: Vec<Holder> = held
            .iter()
            .map(|(engine, blocks)| holder(u32::from(*engine), u32::from(*blocks)))
            .collect();
        let excluded: Vec<EngineId> =
            excluded.iter().map(|engine| EngineId(u32::from(*engine))).collect();
        let (key, chain) = (serving(), blocks(1, 40));
        let asked = RouteRequest { excluded: &excluded, ..request(&key, &chain) };
        let mut usable = table.usable_engines().filter(|engine| !excluded.contains(engine));
        match decide(&table, &holders, &asked, NOW, &mut ChaCha8Rng::seed_from_u64(7)) {
            Ok(decision) => {
                let expected = decision.expected_blocks;
                let holds =
                    |holder: &Holder| holder.engine == decision.engine && holder.blocks >= expected;
                usable.any(|engine| engine == decision.engine)
                    && (expected == 0 || holders.iter().any(holds))
            }
            Err(refusal) => refusal.code == RefusalCode::NoEngine && usable.next().is_none(),
        }
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(u8, Vec<(u8, u8)>, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn removed_engine_is_never_chosen() {
    fn holds(engines: u8, removed: Vec<u8>) -> bool {
        let mut table = table(u32::from(engines % 24) + 1, NOW);
        for engine in &removed {
            table.remove(EngineId(u32::from(*engine)));
        }
        (0..20).all(|prompt| match route(&table, &[], prompt) {
            Ok(decision) => !removed.iter().any(|engine| decision.engine.0 == u32::from(*engine)),
            Err(_) => table.usable_engines().next().is_none(),
        })
    }
    QuickCheck::new().tests(300).quickcheck(holds as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn an_engine_of_unknown_software_version_counts_as_one_of_a_known_version() {
    let mut table = table(3, NOW);
    let (one, other) = (SoftwareVersion::new("v1"), SoftwareVersion::new("v2"));
    let (known, unknown) = (one.clone().expect("a version"), other.clone().expect("a version"));
    let window = Duration::from_secs(60);
    let later = NOW.after(window);
    assert_eq!(table.sole_software(window, later), None);
    let mut report = |engine: u32, software: &Option<SoftwareVersion>| {
        let software = software.clone();
        let load = juniper_routing::EngineLoad { software, ..idle_load(EngineId(engine)) };
        table.apply_load_report(EngineId(engine), &load, NOW);
        let running = table.engines_running(&known).collect::<Vec<_>>();
        let others = table.engines_not_running(&known).collect::<Vec<_>>();
        (running, others, table.sole_software(window, later).cloned())
    };
    let engines = |ids: &[u32]| ids.iter().copied().map(EngineId).collect::<Vec<_>>();
    assert_eq!(report(0, &one), (engines(&[0]), engines(&[1, 2]), None));
    assert_eq!(report(1, &one), (engines(&[0, 1]), engines(&[2]), None));
    assert_eq!(report(2, &one), (engines(&[0, 1, 2]), engines(&[]), one.clone()));
    assert_eq!(report(2, &other), (engines(&[0, 1]), engines(&[2]), None));
    assert_eq!(table.engines_running(&unknown).count(), 1);
    // Until its next report nothing is known of an engine that was down, but that it may have begun
    // answers.
    table.mark_down(EngineId(2));
    assert_eq!((table.sole_software(window, later), table.awaits_reports()), (None, true));
    assert_eq!(table.engines_running(&unknown).count(), 0);
}

// Guards against answers joined from two versions: one that no engine runs any more may have begun them.
#[test]
fn a_version_that_engines_ran_until_recently_is_not_taken_into_account() {
    let (one, other) = (SoftwareVersion::new("v1"), SoftwareVersion::new("v2"));
    let window = Duration::from_secs(60);
    let after = |seconds| NOW.after(Duration::from_secs(seconds));
    let mut table = table(2, NOW);
    let report = |table: &mut EngineTable, engine: u32, software: &Option<SoftwareVersion>, now| {
        let software = software.clone();
        let load = juniper_routing::EngineLoad { software, ..idle_load(EngineId(engine)) };
        table.apply_load_report(EngineId(engine), &load, now);
    };
    (0..2).for_each(|engine| report(&mut table, engine, &one, after(10)));
    // A router that has just started doesn't know what ran before.
    assert_eq!(table.sole_software(window, after(69)), None);
    assert_eq!(table.sole_software(window, after(70)), one.as_ref());
    // Both engines restart with another version.
    (0..2).for_each(|engine| table.mark_down(EngineId(engine)));
    (0..2).for_each(|engine| report(&mut table, engine, &other, after(100)));
    assert_eq!(table.sole_software(window, after(159)), None);
    assert_eq!(table.sole_software(window, after(160)), other.as_ref());
    // An engine that is removed may have begun answers until then.
    report(&mut table, 1, &one, after(200));
    table.remove(EngineId(1));
    assert_eq!(table.sole_software(window, after(300)), None);
    report(&mut table, 0, &other, after(300));
    assert_eq!(table.sole_software(window, after(359)), None);
    assert_eq!(table.sole_software(window, after(360)), other.as_ref());
}

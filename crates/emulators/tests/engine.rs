//! Tests of the engine model: batching, cache, crashes and rejections.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use common::{INCARNATION, check, config, engine, indexes, model, request, run_to_idle};
use juniper_emulators::engine::orders::{
    Order, OrderAction, OrderNumber, OrderRefusal, OrderState,
};
use juniper_emulators::engine::transfer::TransferRefusal;
use juniper_emulators::engine::{
    CancelState, DropReason, Engine, Output, Refusal, RequestStatistics, WeightLoad,
};
use juniper_emulators::witness::BreachKind;
use juniper_types::{BlockHash, Incarnation, RequestId, TenantName, Timestamp, WeightsVersion};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn statistics(outputs: &[Output], wanted: u128) -> RequestStatistics {
    let select = |output: &Output| match output {
        Output::Finished { id, statistics, .. } if id.0 == wanted => Some(*statistics),
        _ => None,
    };
    outputs.iter().find_map(select).expect("finished")
}

fn first_token_at(outputs: &[Output], wanted: u128) -> Timestamp {
    let select = |output: &Output| match output {
        Output::FirstToken { id, at, .. } if id.0 == wanted => Some(*at),
        _ => None,
    };
    outputs.iter().find_map(select).expect("first token")
}

#[test]
fn cached_prefix_shortens_prefill() {
    let mut engine = engine(256);
    engine.submit(request(1, &[1, 2, 3, 4, 5, 6, 7, 8], 2), at(0)).unwrap();
    let (cold, end) = run_to_idle(&mut engine);
    engine.submit(request(2, &[1, 2, 3, 4, 5, 6, 7, 9], 2), end).unwrap();
    let (warm, _) = run_to_idle(&mut engine);
    assert_eq!(statistics(&cold, 1).cached_tokens, 0);
    assert_eq!(statistics(&warm, 2).cached_tokens, 7 * 64);
    assert_eq!(statistics(&warm, 2).computed_tokens, 64 + 1);
    let cold_time = first_token_at(&cold, 1).since(at(0));
    let warm_time = first_token_at(&warm, 2).since(end);
    assert!(warm_time * 4 < cold_time, "{warm_time:?} {cold_time:?}");
    assert_eq!(engine.witness().total(), 0);
}

#[test]
fn batched_requests_share_iterations() {
    let mut engine = engine(1_024);
    for id in 0..8 {
        engine.submit(request(id, &[id as u32], 50), at(0)).unwrap();
    }
    let (outputs, end) = run_to_idle(&mut engine);
    for id in 0..8 {
        assert_eq!(indexes(&outputs, RequestId(id)), (0..50).collect::<Vec<u32>>());
    }
    // Run one after the other, the requests would take at least 8 x 50 weight reads of 16 ms.
    assert!(end < at(8 * 50 * 16 / 4), "{end:?}");
}

#[test]
fn higher_priority_is_admitted_first() {
    let mut config = config(1_024);
    config.max_running = 1;
    let mut engine = Engine::new(config, INCARNATION, at(0));
    for (id, priority) in [(1, 5), (2, 1), (3, 9)] {
        let mut request = request(id, &[id as u32], 1);
        request.priority = priority;
        engine.submit(request, at(0)).unwrap();
    }
    let (outputs, _) = run_to_idle(&mut engine);
    let finished: Vec<u128> = outputs
        .iter()
        .filter(|output| matches!(output, Output::Finished { .. }))
        .filter_map(|output| output.request().map(|id| id.0))
        .collect();
    assert_eq!(finished, [1, 3, 2]);
}

#[test]
fn cancel_releases_memory_and_is_idempotent() {
    let mut engine = engine(16);
    engine.submit(request(1, &[1, 2, 3, 4], 400), at(0)).unwrap();
    engine.submit(request(2, &[5, 6, 7, 8, 9, 10, 11, 12], 1), at(0)).unwrap();
    engine.advance(at(100));
    assert_eq!(engine.current_load().waiting, 1);
    assert_eq!(engine.cancel(RequestId(1), at(100)), CancelState::Cancelled);
    assert_eq!(engine.cancel(RequestId(1), at(100)), CancelState::Finished);
    assert_eq!(engine.cancel(RequestId(3), at(100)), CancelState::Unknown);
    let (outputs, _) = run_to_idle(&mut engine);
    statistics(&outputs, 2);
}

#[test]
fn resumed_request_continues_at_its_next_token() {
    let mut engine = engine(64);
    let mut resumed = request(1, &[1, 2], 10);
    resumed.resume_from = 6;
    engine.submit(resumed, at(0)).unwrap();
    let (outputs, _) = run_to_idle(&mut engine);
    assert_eq!(indexes(&outputs, RequestId(1)), [6, 7, 8, 9]);
    assert_eq!(statistics(&outputs, 1).computed_tokens, 2 * 64 + 1 + 6);
}

#[test]
fn request_with_unmeetable_deadline_is_dropped_immediately() {
    let mut engine = engine(64);
    let mut unmeetable = request(1, &[1], 1_000);
    unmeetable.deadline = Some(at(500));
    engine.submit(unmeetable, at(0)).unwrap();
    let expected =
        Output::Dropped { id: RequestId(1), at: at(0), reason: DropReason::Deadline, run: false };
    assert_eq!(engine.advance(at(0)), [expected]);
}

#[test]
fn full_queue_rejects_with_retry_after() {
    let mut config = config(1_024);
    config.max_running = 1;
    config.max_waiting = 2;
    let mut engine = Engine::new(config, INCARNATION, at(0));
    for id in 1..=3 {
        engine.submit(request(id, &[id as u32], 10), at(0)).unwrap();
    }
    let refusal = engine.submit(request(4, &[4], 10), at(0)).unwrap_err();
    assert!(matches!(refusal, Refusal::Overloaded { retry_after } if !retry_after.is_zero()));
}

#[test]
fn crash_clears_cache_and_restart_changes_incarnation() {
    let mut engine = engine(64);
    engine.submit(request(1, &[1, 2], 100), at(0)).unwrap();
    engine.advance(at(200));
    engine.crash(at(200));
    let dropped = engine.advance(at(200));
    assert!(matches!(
        dropped[..],
        [Output::Dropped { reason: DropReason::Crashed, run: true, .. }]
    ));
    assert_eq!(engine.submit(request(2, &[1, 2], 1), at(300)), Err(Refusal::Down));
    engine.start(Incarnation(8), at(1_000));
    let load = WeightLoad::Model(model(), WeightsVersion(1));
    engine.complete_load(&load, at(2_000));
    assert_eq!(engine.snapshot(), (0, Vec::new()));
    let refusal = engine.submit(request(3, &[1, 2], 1), at(2_000)).unwrap_err();
    assert_eq!(refusal, Refusal::IncarnationMismatch(Incarnation(8)));
}

#[test]
fn departing_engine_rejects_work_after_grace_and_records_breach() {
    let mut engine = engine(64);
    engine.leave(at(0));
    engine.submit(request(1, &[1], 200), at(2_000)).unwrap();
    assert_eq!(engine.submit(request(2, &[2], 1), at(2_001)), Err(Refusal::Leaving));
    assert_eq!(engine.witness().counts()[&BreachKind::WorkAfterLeaving], 1);
    let (outputs, _) = run_to_idle(&mut engine);
    statistics(&outputs, 1);
}

fn order(token: u64, sequence: u64, action: OrderAction) -> Order {
    Order { number: OrderNumber { token, sequence }, incarnation: INCARNATION, action }
}

#[test]
fn repeated_order_is_idempotent_and_older_order_is_fenced() {
    let mut engine = engine(64);
    let leave = order(5, 1, OrderAction::Leave);
    assert!(!engine.order(&leave, at(0)).unwrap().repeated);
    assert!(engine.order(&leave, at(1)).unwrap().repeated);
    engine.order(&order(5, 2, OrderAction::Return), at(2)).unwrap();
    let newest = OrderNumber { token: 5, sequence: 2 };
    assert_eq!(engine.order(&leave, at(3)), Err(OrderRefusal::Fenced { newest }));
    let former_holder = order(4, 9, OrderAction::Leave);
    assert_eq!(engine.order(&former_holder, at(3)), Err(OrderRefusal::Fenced { newest }));
    assert!(!engine.current_load().leaving);
    assert_eq!(engine.applied_orders().len(), 2);
    assert_eq!(engine.witness().total(), 0);
}

#[test]
fn order_for_earlier_incarnation_is_rejected() {
    let mut engine = engine(64);
    engine.crash(at(0));
    engine.start(Incarnation(8), at(1));
    let refused = engine.order(&order(1, 1, OrderAction::Leave), at(2));
    assert_eq!(refused, Err(OrderRefusal::IncarnationMismatch(Incarnation(8))));
}

#[test]
fn switching_weights_drains_clears_cache_and_rejects_old_version() {
    let mut engine = engine(64);
    engine.submit(request(1, &[1, 2], 5), at(0)).unwrap();
    let switch = OrderAction::LoadModel { model: model(), weights: WeightsVersion(2) };
    let answer = engine.order(&order(1, 1, switch), at(10)).unwrap();
    assert_eq!(answer.state, OrderState::Loading);
    assert_eq!(engine.submit(request(2, &[1, 2], 5), at(20)), Err(Refusal::Loading));
    let (outputs, end) = run_to_idle(&mut engine);
    statistics(&outputs, 1);
    let load = WeightLoad::Model(model(), WeightsVersion(2));
    assert!(outputs.contains(&Output::LoadNeeded { at: end, load: load.clone() }));
    assert!(engine.snapshot().1.is_empty());
    engine.complete_load(&load, at(30_000));
    let refusal = engine.submit(request(3, &[1, 2], 5), at(30_000)).unwrap_err();
    assert_eq!(refusal, Refusal::WeightsMismatch(WeightsVersion(2)));
}

#[test]
fn cache_reuse_across_tenants_is_a_breach() {
    let mut engine = engine(64);
    engine.submit(request(1, &[1, 2, 3], 1), at(0)).unwrap();
    let (_, end) = run_to_idle(&mut engine);
    // Simulates a router that computes block hashes without the tenant.
    let mut foreign = request(2, &[1, 2, 3], 1);
    foreign.owner = TenantName::new("other").unwrap();
    engine.submit(foreign, end).unwrap();
    assert!(engine.witness().counts()[&BreachKind::ForeignTenant] > 0);
}

#[test]
fn expected_blocks_without_incarnation_is_a_breach() {
    let mut engine = engine(64);
    let mut unnamed = request(1, &[1], 1);
    unnamed.incarnation = None;
    unnamed.expected_blocks = 1;
    engine.submit(unnamed, at(0)).unwrap();
    assert_eq!(engine.witness().counts()[&BreachKind::UnnamedIncarnation], 1);
}

#[test]
fn import_rejects_foreign_scope_damage_and_stale_incarnation() {
    let mut source = engine(64);
    source.submit(request(1, &[1, 2, 3], 1), at(0)).unwrap();
    let (_, end) = run_to_idle(&mut source);
    let wanted = request(2, &[1, 2, 3, 4], 1);
    let (entry, ready) = source.export(&wanted.scope, &wanted.blocks, end).unwrap();
    assert_eq!(entry.blocks.len(), 3);
    assert!(ready > end);

    let mut target = engine(64);
    let foreign = target.import(&entry, &common::scope("other"), INCARNATION, ready);
    assert_eq!(foreign, Err(TransferRefusal::ForeignScope));
    let mut damaged = entry.clone();
    damaged.blocks.pop();
    let refused = target.import(&damaged, &wanted.scope, INCARNATION, ready);
    assert_eq!(refused, Err(TransferRefusal::Damaged));
    let stale = target.import(&entry, &wanted.scope, Incarnation(1), ready);
    assert_eq!(stale, Err(TransferRefusal::IncarnationMismatch(INCARNATION)));

    let cached_at = target.import(&entry, &wanted.scope, INCARNATION, ready).unwrap();
    assert_eq!(target.advance(cached_at), [Output::Imported { at: cached_at, blocks: 3 }]);
    target.submit(wanted, cached_at).unwrap();
    let (outputs, _) = run_to_idle(&mut target);
    assert_eq!(statistics(&outputs, 2).cached_tokens, 3 * 64);
    assert_eq!(target.witness().total(), 0);
}

#[test]
fn load_reports_lag_behind_current_load() {
    let mut engine = engine(64);
    engine.submit(request(1, &[1], 200), at(300)).unwrap();
    assert_eq!(engine.load_report(at(310)).unwrap().running, 0);
    engine.advance(at(1_000));
    let report = engine.load_report(at(1_000)).unwrap();
    assert_eq!(report.running, 1);
    assert!(report.age_ms >= 250, "{report:?}");
}

/// Runs a scripted mix of requests that share prefixes; some are cancelled.
fn drive(engine: &mut Engine, script: &[(u8, u8, u8)]) -> Vec<Output> {
    let mut outputs = Vec::new();
    let mut now = at(0);
    for (step, (prefix, length, pause)) in script.iter().enumerate() {
        now = now.after(Duration::from_millis(u64::from(*pause)));
        outputs.extend(engine.advance(now));
        let contents: Vec<u32> =
            (0..u32::from(length % 12)).map(|depth| u32::from(prefix % 3) * 100 + depth).collect();
        let _ = engine.submit(request(step as u128, &contents, u32::from(length % 7)), now);
        if pause % 5 == 0 {
            engine.cancel(RequestId(step as u128 / 2), now);
        }
    }
    outputs.extend(run_to_idle(engine).0);
    outputs
}

#[test]
fn lossless_events_reproduce_the_snapshot() {
    fn property(script: Vec<(u8, u8, u8)>) -> bool {
        let mut engine = engine(24);
        drive(&mut engine, &script);
        let mut known: HashSet<BlockHash> = HashSet::new();
        let mut last = 0;
        for event in engine.take_events(at(u64::MAX / 1_000)) {
            assert_eq!(event.sequence, last + 1);
            last = event.sequence;
            for block in &event.stored {
                assert!(known.insert(*block), "stored twice");
            }
            for block in &event.removed {
                assert!(known.remove(block), "removed twice");
            }
            assert!(known.len() <= 24);
        }
        let (sequence, blocks) = engine.snapshot();
        last == sequence && known == blocks.into_iter().collect()
    }
    check(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn every_request_ends_exactly_once_with_tokens_in_order() {
    fn property(script: Vec<(u8, u8, u8)>) -> bool {
        let mut engine = engine(24);
        let outputs = drive(&mut engine, &script);
        let mut ended = HashSet::new();
        for output in &outputs {
            if let Output::Finished { id, .. } | Output::Dropped { id, .. } = output {
                assert!(ended.insert(*id), "{id} ended twice");
            }
        }
        for id in &ended {
            let numbers = indexes(&outputs, *id);
            assert!(numbers.iter().copied().eq(0..numbers.len() as u32));
        }
        ended.len() as u64 == engine.counters().accepted
            && engine.current_load().running == 0
            && engine.witness().total() == 0
    }
    check(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn lost_events_are_visible_as_sequence_gaps() {
    fn property(script: Vec<(u8, u8, u8)>, seed: u64) -> bool {
        let mut config = config(24);
        config.events.loss = 0.3;
        config.seed = seed;
        let mut engine = Engine::new(config, INCARNATION, at(0));
        drive(&mut engine, &script);
        let end = at(u64::MAX / 1_000);
        let events = engine.take_events(end);
        let lost = engine.events().last_published(end) - events.len() as u64;
        let numbers: Vec<u64> = events.iter().map(|event| event.sequence).collect();
        numbers.is_sorted()
            && engine.events().last_published(end) == engine.snapshot().0
            && (lost == 0) == (numbers.len() as u64 == engine.snapshot().0)
    }
    check(property as fn(Vec<(u8, u8, u8)>, u64) -> bool);
}

#[test]
fn outputs_are_deterministic() {
    fn property(script: Vec<(u8, u8, u8)>) -> bool {
        drive(&mut engine(24), &script) == drive(&mut engine(24), &script)
    }
    check(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

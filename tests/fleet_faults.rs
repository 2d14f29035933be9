//! A fleet of real processes under load and faults, without violations for callers or engines.
//!
//! The tests assert no latencies; the load and the callers' timeouts bound their duration.

mod support {
    pub mod checked_load;
    pub mod fleets;
}

use std::time::Duration;

use juniper_lab::fleet::{BackEndKind, Signal};
use juniper_lab::load::outcome::RequestKind;
use juniper_lab::proxy::LinkState;
use support::checked_load::{
    assert_complete, assert_no_violations, at_most_once_trace, load_options, mixed_trace,
    run_under_load, send_trace,
};
use support::fleets::{SIZES, Setup, start_fleet};
use tokio::time::sleep;

async fn sleep_seconds(count: u64) {
    sleep(Duration::from_secs(count)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_killed_engines() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &mixed_trace(1, 8), async |fleet| {
        sleep_seconds(2).await;
        fleet.back_end_process(BackEndKind::Engine, 0).unwrap().kill();
        sleep_seconds(2).await;
        fleet.restart_back_end(BackEndKind::Engine, 0).await.unwrap();
        sleep_seconds(1).await;
        fleet.back_end_process(BackEndKind::Engine, 1).unwrap().kill();
    })
    .await;
    assert_complete(&report);
    assert_eq!(report.unknown, 0, "{:?}", report.failures);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_switch_routers_when_theirs_is_killed() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &mixed_trace(2, 8), async |fleet| {
        sleep_seconds(3).await;
        fleet.router_process(0).unwrap().kill();
        sleep_seconds(2).await;
        fleet.restart_router(0).await.unwrap();
        fleet.router_process(1).unwrap().kill();
    })
    .await;
    assert_complete(&report);
    assert!(report.retries > 0, "no caller met the killed router");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_complete_despite_a_frozen_engine() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &mixed_trace(3, 8), async |fleet| {
        sleep_seconds(2).await;
        let engine = fleet.back_end_process(BackEndKind::Engine, 2).unwrap();
        engine.signal(Signal::Stop).unwrap();
        sleep_seconds(8).await;
        engine.signal(Signal::Continue).unwrap();
    })
    .await;
    assert_complete(&report);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_routers_interrupts_no_request() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &mixed_trace(4, 12), async |fleet| {
        for place in 0..SIZES.routers {
            sleep_seconds(1).await;
            let status = fleet.stop_router(place).await.unwrap();
            assert_eq!(status.code(), Some(0), "router {place} ended with {status}");
            fleet.restart_router(place).await.unwrap();
        }
    })
    .await;
    assert_complete(&report);
    assert_eq!(report.unknown, 0, "{:?}", report.failures);
    assert_eq!(report.resumed, 0, "a planned stop interrupted streams");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_departing_engine_gets_no_requests_after_the_grace_period() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &mixed_trace(5, 10), async |fleet| {
        sleep_seconds(2).await;
        // Engine 0 only announces its departure, which routers observe late; engine 1 is
        // drained in the tree.
        fleet.announce_leaving(0).await.unwrap();
        fleet.drain_engine(1).await.unwrap();
        // The engines count requests after the grace period of two seconds.
    })
    .await;
    assert_complete(&report);
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_requests_run_at_most_once_when_their_server_is_killed() {
    let setup = Setup { application_work: Duration::from_millis(400), ..Setup::default() };
    let mut test = start_fleet(setup).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &at_most_once_trace(6, 8), async |fleet| {
        for place in [0, 1, 0] {
            sleep_seconds(1).await;
            fleet.back_end_process(BackEndKind::Application, place).unwrap().kill();
            sleep_seconds(1).await;
            fleet.restart_back_end(BackEndKind::Application, place).await.unwrap();
        }
    })
    .await;
    assert_eq!(report.requests, report.complete + report.refused + report.unknown);
    assert!(report.complete > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_zone_serves_retryable_requests_and_refuses_at_most_once_requests() {
    let mut test = start_fleet(Setup { cuttable: true, ..Setup::default() }).await;
    let fleet = &mut test.fleet;
    let mut options = load_options(fleet);
    let zone = options.routers.last().and_then(|router| router.zone.clone()).unwrap();
    options.routers.retain(|router| router.zone.as_ref() == Some(&zone));
    options.retry_policy.refusals = 2;
    let mut trace = mixed_trace(7, 6);
    // The zone has a third of the fleet: send a quarter of the load.
    let mut place = 0;
    trace.records.retain(|_| {
        place += 1;
        place % 4 == 0
    });
    trace.records.iter_mut().for_each(|record| record.zone = zone.clone());

    fleet.set_last_zone(LinkState::Cut);
    let partitioned = send_trace(&trace, options.clone()).await;
    fleet.set_last_zone(LinkState::Whole);
    assert_no_violations(fleet, &partitioned).await;
    for (kind, counts) in &partitioned.by_kind {
        let served = if *kind == RequestKind::AtMostOnce { 0 } else { counts.requests };
        assert_eq!(counts.complete, served, "{kind:?} {counts:?} {:?}", partitioned.failures);
        assert_eq!(counts.refused, counts.requests - served, "{kind:?} {:?}", partitioned.refusals);
    }

    let healed = send_trace(&trace, options).await;
    assert_no_violations(fleet, &healed).await;
    assert_complete(&healed);
}

#[tokio::test(flavor = "multi_thread")]
async fn traffic_and_settings_survive_a_control_restart() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &mixed_trace(8, 8), async |fleet| {
        sleep_seconds(1).await;
        fleet.drain_engine(0).await.unwrap();
        fleet.control_process(0).unwrap().kill();
        fleet.restart_router(0).await.unwrap();
        sleep_seconds(1).await;
        fleet.control_process(0).unwrap().restart().unwrap();
        fleet.wait_until_ready().await.unwrap();
    })
    .await;
    assert_eq!(report.failed, 0, "{:?}", report.failures);
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_requests_survive_the_crash_of_one_control_replica() {
    let mut test = start_fleet(Setup { control: 3, ..Setup::default() }).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &at_most_once_trace(9, 10), async |fleet| {
        for place in 0..3 {
            sleep_seconds(1).await;
            fleet.control_process(place).unwrap().kill();
            sleep_seconds(2).await;
            fleet.control_process(place).unwrap().restart().unwrap();
        }
        fleet.drain_engine(0).await.unwrap();
        fleet.wait_until_ready().await.unwrap();
    })
    .await;
    assert_eq!(report.failed, 0, "{:?}", report.failures);
    assert!(report.complete > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_that_restart_together_without_control_serve_at_once() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &mixed_trace(10, 8), async |fleet| {
        sleep_seconds(3).await;
        for place in 0..SIZES.routers {
            fleet.router_process(place).unwrap().kill();
        }
        // Without control, the restarted routers use their stored configuration.
        fleet.control_process(0).unwrap().kill();
        for place in 0..SIZES.routers {
            fleet.restart_router(place).await.unwrap();
        }
        sleep_seconds(1).await;
        fleet.control_process(0).unwrap().restart().unwrap();
    })
    .await;
    assert_eq!(report.failed, 0, "{:?}", report.failures);
    assert!(report.retries > 0, "no caller met a killed router");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_router_runs_no_request_twice() {
    let mut test = start_fleet(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = run_under_load(fleet, &at_most_once_trace(11, 8), async |fleet| {
        sleep_seconds(2).await;
        let router = fleet.router_process(0).unwrap();
        router.signal(Signal::Stop).unwrap();
        sleep_seconds(8).await;
        router.signal(Signal::Continue).unwrap();
    })
    .await;
    assert_eq!(report.failed, 0, "{:?}", report.failures);
    assert!(report.complete > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_between_zones_cause_no_false_refusal() {
    let mut test = start_fleet(Setup { cuttable: true, ..Setup::default() }).await;
    let fleet = &mut test.fleet;
    let mut options = load_options(fleet);
    let zone = options.routers.last().and_then(|router| router.zone.clone()).unwrap();
    options.routers.retain(|router| router.zone.as_ref() == Some(&zone));
    options.retry_policy.total = Duration::from_secs(20);
    let mut trace = at_most_once_trace(12, 5);
    trace.records.iter_mut().for_each(|record| record.zone = zone.clone());

    fleet.set_last_zone(LinkState::AnswersLost);
    let report = send_trace(&trace, options).await;
    assert_no_violations(fleet, &report).await;
    // A claim whose answer is lost must not count as granted.
    assert_eq!(report.complete, 0);
}

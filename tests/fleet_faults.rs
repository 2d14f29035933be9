//! A fleet of real processes keeps its promises under checked load and faults.
//!
//! No test asserts how fast anything is; each is bounded by its load and by the
//! patience of the callers.

mod support {
    pub mod checked_load;
    pub mod fleets;
}

use std::time::Duration;

use juniper_lab::fleet::{BackEndKind, Signal};
use juniper_lab::load::outcome::RequestKind;
use juniper_lab::proxy::LinkState;
use support::checked_load::{
    assert_complete, assert_kept, load_options, mixed, only_at_most_once, send, under_load,
};
use support::fleets::{SIZES, Setup, start};
use tokio::time::sleep;

async fn seconds(count: u64) {
    sleep(Duration::from_secs(count)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_outlive_killed_engines() {
    let mut test = start(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &mixed(1, 8), async |fleet| {
        seconds(2).await;
        fleet.back_end_process(BackEndKind::Engine, 0).unwrap().kill();
        seconds(2).await;
        fleet.restart_back_end(BackEndKind::Engine, 0).await.unwrap();
        seconds(1).await;
        fleet.back_end_process(BackEndKind::Engine, 1).unwrap().kill();
    })
    .await;
    assert_complete(&report);
    assert_eq!(report.unknown, 0, "{:?}", report.failures);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_go_on_through_another_router_when_theirs_is_killed() {
    let mut test = start(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &mixed(2, 8), async |fleet| {
        seconds(3).await;
        fleet.router_process(0).unwrap().kill();
        seconds(2).await;
        fleet.restart_router(0).await.unwrap();
        fleet.router_process(1).unwrap().kill();
    })
    .await;
    assert_complete(&report);
    assert!(report.retries > 0, "no caller met the killed router");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_holds_nobody_up_for_good() {
    let mut test = start(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &mixed(3, 8), async |fleet| {
        seconds(2).await;
        let engine = fleet.back_end_process(BackEndKind::Engine, 2).unwrap();
        engine.signal(Signal::Stop).unwrap();
        seconds(8).await;
        engine.signal(Signal::Continue).unwrap();
    })
    .await;
    assert_complete(&report);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_routers_cuts_nothing() {
    let mut test = start(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &mixed(4, 12), async |fleet| {
        for place in 0..SIZES.routers {
            seconds(1).await;
            let status = fleet.stop_router(place).await.unwrap();
            assert_eq!(status.code(), Some(0), "router {place} ended with {status}");
            fleet.restart_router(place).await.unwrap();
        }
    })
    .await;
    assert_complete(&report);
    assert_eq!(report.unknown, 0, "{:?}", report.failures);
    assert_eq!(report.resumed, 0, "a planned stop cut streams");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work_after_its_grace() {
    let mut test = start(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &mixed(5, 10), async |fleet| {
        seconds(2).await;
        // One by its own word only, which routers hear late; one by the tree.
        fleet.announce_leaving(0).await.unwrap();
        fleet.drain_engine(1).await.unwrap();
        // The engines count work that comes after the grace of two seconds.
    })
    .await;
    assert_complete(&report);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_run_at_most_once_when_their_server_is_killed() {
    let setup = Setup { application_work: Duration::from_millis(400), ..Setup::default() };
    let mut test = start(setup).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &only_at_most_once(6, 8), async |fleet| {
        for place in [0, 1, 0] {
            seconds(1).await;
            fleet.back_end_process(BackEndKind::Application, place).unwrap().kill();
            seconds(1).await;
            fleet.restart_back_end(BackEndKind::Application, place).await.unwrap();
        }
    })
    .await;
    assert_eq!(report.requests, report.complete + report.refused + report.unknown);
    assert!(report.complete > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_zone_serves_what_may_be_repeated_and_refuses_truthfully() {
    let mut test = start(Setup { cuttable: true, ..Setup::default() }).await;
    let fleet = &mut test.fleet;
    let mut options = load_options(fleet);
    let zone = options.routers.last().and_then(|router| router.zone.clone()).unwrap();
    options.routers.retain(|router| router.zone.as_ref() == Some(&zone));
    options.patience.refusals = 2;
    let mut trace = mixed(7, 6);
    // The zone has a third of the fleet.
    let mut place = 0;
    trace.records.retain(|_| {
        place += 1;
        place % 4 == 0
    });
    trace.records.iter_mut().for_each(|record| record.zone = zone.clone());

    fleet.set_last_zone(LinkState::Cut);
    let cut = send(&trace, options.clone()).await;
    fleet.set_last_zone(LinkState::Whole);
    assert_kept(fleet, &cut).await;
    for (kind, counts) in &cut.by_kind {
        let served = if *kind == RequestKind::AtMostOnce { 0 } else { counts.requests };
        assert_eq!(counts.complete, served, "{kind:?} {counts:?} {:?}", cut.failures);
        assert_eq!(counts.refused, counts.requests - served, "{kind:?} {:?}", cut.refusals);
    }

    let mended = send(&trace, options).await;
    assert_kept(fleet, &mended).await;
    assert_complete(&mended);
}

#[tokio::test(flavor = "multi_thread")]
async fn traffic_goes_on_and_settings_stay_while_control_restarts() {
    let mut test = start(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &mixed(8, 8), async |fleet| {
        seconds(1).await;
        fleet.drain_engine(0).await.unwrap();
        fleet.control_process(0).unwrap().kill();
        fleet.restart_router(0).await.unwrap();
        seconds(1).await;
        fleet.control_process(0).unwrap().restart().unwrap();
        fleet.wait_until_ready().await.unwrap();
    })
    .await;
    assert_eq!(report.failed, 0, "{:?}", report.failures);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_go_on_when_one_of_three_control_replicas_is_lost() {
    let mut test = start(Setup { control: 3, ..Setup::default() }).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &only_at_most_once(9, 10), async |fleet| {
        for place in 0..3 {
            seconds(1).await;
            fleet.control_process(place).unwrap().kill();
            seconds(2).await;
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
async fn a_herd_of_restarting_routers_serves_at_once() {
    let mut test = start(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &mixed(10, 8), async |fleet| {
        seconds(3).await;
        for place in 0..SIZES.routers {
            fleet.router_process(place).unwrap().kill();
        }
        // Routers that come back while control is away serve on what they kept.
        fleet.control_process(0).unwrap().kill();
        for place in 0..SIZES.routers {
            fleet.restart_router(place).await.unwrap();
        }
        seconds(1).await;
        fleet.control_process(0).unwrap().restart().unwrap();
    })
    .await;
    assert_eq!(report.failed, 0, "{:?}", report.failures);
    assert!(report.retries > 0, "no caller met a killed router");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_router_runs_nothing_twice_when_it_wakes() {
    let mut test = start(Setup::default()).await;
    let fleet = &mut test.fleet;
    let report = under_load(fleet, &only_at_most_once(11, 8), async |fleet| {
        seconds(2).await;
        let router = fleet.router_process(0).unwrap();
        router.signal(Signal::Stop).unwrap();
        seconds(8).await;
        router.signal(Signal::Continue).unwrap();
    })
    .await;
    assert_eq!(report.failed, 0, "{:?}", report.failures);
    assert!(report.complete > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_between_zones_make_no_refusal_false() {
    let mut test = start(Setup { cuttable: true, ..Setup::default() }).await;
    let fleet = &mut test.fleet;
    let mut options = load_options(fleet);
    let zone = options.routers.last().and_then(|router| router.zone.clone()).unwrap();
    options.routers.retain(|router| router.zone.as_ref() == Some(&zone));
    options.patience.total = Duration::from_secs(20);
    let mut trace = only_at_most_once(12, 5);
    trace.records.iter_mut().for_each(|record| record.zone = zone.clone());

    fleet.set_last_zone(LinkState::AnswersLost);
    let report = send(&trace, options).await;
    assert_kept(fleet, &report).await;
    // A claim whose answer is lost must not be taken for a granted one.
    assert_eq!(report.complete, 0);
}

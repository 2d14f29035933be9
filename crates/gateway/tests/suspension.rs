//! Suspension of the router's machine, after which its state may be outdated. In a process of its
//! own, since a suspension applies to everything in the process.

// This test uses only part of the support module.
#![allow(dead_code)]

#[path = "paths/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use juniper_clock::testing::suspend;
use juniper_protocol::message::{RouterUpdate, ServerLimitUpdate};
use juniper_registry::StartTime;
use tokio::sync::Mutex;
use tokio::time::sleep;

use support::caller::{ask, get};
use support::control::ChargeHandling;
use support::server::{FakeServer, Step, complete_answer, healthy};
use support::{TEST_TIMEOUT, TestGateway};

/// Longer than the maximum age of the configuration for which keys are accepted.
const SUSPENSION: Duration = Duration::from_secs(10);

/// Shorter than the caller's deadline, and longer than a granted retry may wait.
const SHORT_SUSPENSION: Duration = Duration::from_millis(1_500);

/// Lets one test run at a time, since a suspension applies to all of them.
static SERIAL: Mutex<()> = Mutex::const_new(());

/// The key may have been revoked during the suspension.
#[tokio::test]
async fn after_a_suspension_keys_are_refused_until_the_configuration_is_confirmed_again() {
    let _serial = SERIAL.lock().await;
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r1").await.status, 200);
    gateway.control.stop_confirming();
    suspend(SUSPENSION);
    let answer = get(gateway.callers, "/once/x", "r2").await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, Some("0.500")));
    assert_eq!(server.requests().len(), 1, "nothing is sent while the key is unconfirmed");
    let ready = ask(gateway.readiness, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert_eq!(ready.status, 503, "not ready");
    gateway.control.confirm();
    let started_at = Instant::now();
    while get(gateway.callers, "/once/x", "r3").await.status != 200 {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "requests are served again without a restart");
        sleep(Duration::from_millis(20)).await;
    }
}

/// The caller's deadline passes during the suspension.
#[tokio::test]
async fn a_request_whose_deadline_passed_in_a_suspension_is_not_retried() {
    let _serial = SERIAL.lock().await;
    let script = |_: usize, _: &str| vec![Step::Wait(Duration::from_millis(300)), Step::Close];
    let (one, other) = (FakeServer::start("a", script).await, FakeServer::start("b", script).await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    let answer_pending = get(gateway.callers, "/safe/x", "r1");
    let suspending = async {
        sleep(Duration::from_millis(150)).await;
        suspend(SUSPENSION);
    };
    let (answer, ()) = tokio::join!(answer_pending, suspending);
    assert_eq!(answer.status, 502, "a server may have run it");
    assert_eq!(one.requests().len() + other.requests().len(), 1);
}

/// Servers close idle connections after some seconds, also during the suspension.
#[tokio::test]
async fn a_connection_that_was_idle_in_a_suspension_is_not_reused() {
    let _serial = SERIAL.lock().await;
    let server =
        FakeServer::start("a", |_, head| vec![Step::Send(complete_answer(head, "200 OK", "fine"))])
            .await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r1").await.status, 200);
    assert_eq!(get(gateway.callers, "/once/x", "r2").await.status, 200);
    assert_eq!(server.connections(), 1, "the connection was reused");
    suspend(SUSPENSION);
    let started_at = Instant::now();
    while get(gateway.callers, "/once/x", "r3").await.status != 200 {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "confirmed again");
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(server.connections(), 2);
}

/// Guards against retries that are earned by requests sent before the machine woke, and with savings
/// of a window that is over.
#[tokio::test]
async fn requests_that_waited_for_a_suspended_router_exceed_the_retry_budget() {
    let _serial = SERIAL.lock().await;
    let script = |_: usize, _: &str| vec![Step::Close];
    let (one, other) = (FakeServer::start("a", script).await, FakeServer::start("b", script).await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    let arrivals = || one.requests().len() + other.requests().len();
    assert_eq!(get(gateway.callers, "/safe/x", "r1").await.status, 502);
    assert_eq!(arrivals(), 2, "a request earns a retry");
    suspend(SUSPENSION);
    let started_at = Instant::now();
    while get(gateway.callers, "/safe/x", "r2").await.status == 503 {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "the configuration is confirmed again");
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(arrivals(), 3, "none after the suspension");
}

/// Guards against a retry that is sent after a suspension, in another window than it was granted in.
#[tokio::test]
async fn retries_granted_before_a_suspension_exceed_the_retry_budget() {
    let _serial = SERIAL.lock().await;
    let script = |_: usize, _: &str| vec![Step::Wait(Duration::from_millis(200)), Step::Close];
    let (one, other) = (FakeServer::start("a", script).await, FakeServer::start("b", script).await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    let arrivals = || one.requests().len() + other.requests().len();
    let limit = |server: &FakeServer| ServerLimitUpdate {
        instance: server.report().name,
        started: StartTime::UNKNOWN,
        sequence: 9,
        per_second: 50.0,
        is_withdrawn: false,
    };
    let server_limits = Some(vec![limit(&one), limit(&other)]);
    let update = RouterUpdate { server_limits, ..RouterUpdate::default() };
    gateway.control.send_peer_update(2, "south", update);
    sleep(Duration::from_millis(100)).await;
    let suspending = async {
        while arrivals() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        // The retry waits for the owner of the server's account.
        gateway.control.set_charge_handling(ChargeHandling::Ignore);
        while gateway.control.charges().len() < 2 {
            sleep(Duration::from_millis(1)).await;
        }
        suspend(SHORT_SUSPENSION);
    };
    let (answer, ()) = tokio::join!(get(gateway.callers, "/safe/x", "r1"), suspending);
    assert_eq!((answer.status, arrivals()), (502, 1));
}

//! A machine that was suspended wakes up with what it knew then, however old that is now.
//!
//! A process of its own: the suspension holds for all that runs in it.

// The support serves more tests than this one.
#![allow(dead_code)]

#[path = "paths/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use juniper_clock::testing::suspend;
use tokio::sync::Mutex;
use tokio::time::sleep;

use support::caller::{ask, get};
use support::server::{FakeServer, Step, good, whole};
use support::{PATIENCE, TestGateway};

/// Longer than any time for which keys are honoured without a confirmation.
const SUSPENSION: Duration = Duration::from_secs(10);

/// One test at a time: each suspension holds for all.
static ALONE: Mutex<()> = Mutex::const_new(());

/// While the machine slept, the key may have been taken away.
#[tokio::test]
async fn a_router_that_wakes_up_honours_no_key_until_the_configuration_is_confirmed_again() {
    let _alone = ALONE.lock().await;
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r1").await.status, 200);
    gateway.control.stop_confirming();
    suspend(SUSPENSION);
    let answer = get(gateway.callers, "/once/x", "r2").await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, Some("0.500")));
    assert_eq!(server.requests().len(), 1, "nothing is sent under an old key");
    let ready = ask(gateway.readiness, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert_eq!(ready.status, 503, "it asks for no new connections");
    gateway.control.confirm();
    let begun = Instant::now();
    while get(gateway.callers, "/once/x", "r3").await.status != 200 {
        assert!(begun.elapsed() < PATIENCE, "it serves again, without a restart");
        sleep(Duration::from_millis(20)).await;
    }
}

/// The caller's time went on while the machine slept: nobody waits for a second attempt.
#[tokio::test]
async fn a_request_whose_time_passed_in_a_suspension_is_not_sent_again() {
    let _alone = ALONE.lock().await;
    let script = |_: usize, _: &str| vec![Step::Wait(Duration::from_millis(300)), Step::Close];
    let (one, other) = (FakeServer::start("a", script).await, FakeServer::start("b", script).await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    let asked = get(gateway.callers, "/safe/x", "r1");
    let sleeping = async {
        sleep(Duration::from_millis(150)).await;
        suspend(SUSPENSION);
    };
    let (answer, ()) = tokio::join!(asked, sleeping);
    assert_eq!(answer.status, 502, "a server may have run it");
    assert_eq!(one.requests().len() + other.requests().len(), 1);
}

/// Servers close idle connections after some seconds, also while the router sleeps.
#[tokio::test]
async fn a_connection_that_was_idle_in_a_suspension_is_not_used_again() {
    let _alone = ALONE.lock().await;
    let server =
        FakeServer::start("a", |_, head| vec![Step::Send(whole(head, "200 OK", "fine"))]).await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r1").await.status, 200);
    assert_eq!(get(gateway.callers, "/once/x", "r2").await.status, 200);
    assert_eq!(server.connections(), 1, "the connection was kept");
    suspend(SUSPENSION);
    let begun = Instant::now();
    while get(gateway.callers, "/once/x", "r3").await.status != 200 {
        assert!(begun.elapsed() < PATIENCE, "confirmed again");
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(server.connections(), 2);
}

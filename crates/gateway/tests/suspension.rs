//! A machine that was suspended wakes up with what it knew then, however old that is now.
//!
//! A process of its own: the suspension holds for all that runs in it.

// The support serves more tests than this one.
#![allow(dead_code)]

#[path = "paths/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use juniper_clock::testing::suspend;

use support::caller::{ask, get};
use support::server::good;
use support::{PATIENCE, TestGateway};

/// Longer than any time for which keys are honoured without a confirmation.
const SUSPENSION: Duration = Duration::from_secs(10);

/// While the machine slept, the key may have been taken away.
#[tokio::test]
async fn a_router_that_wakes_up_honours_no_key_until_the_configuration_is_confirmed_again() {
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
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

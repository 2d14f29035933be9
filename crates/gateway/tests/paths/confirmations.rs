//! Confirmations of the configuration by replicas that have lost their quorum.

use std::time::Duration;

use crate::support::TestGateway;
use crate::support::caller::{ask, get};
use crate::support::server::healthy;

/// Older than keys may be honoured, and older than the gateway's process.
const OLD: Duration = Duration::from_secs(8);

/// A key may have been revoked since a quorum last confirmed the replica, before the router started.
#[tokio::test]
async fn a_router_that_starts_beside_a_replica_without_a_quorum_honours_a_revoked_key() {
    let server = healthy("a").await;
    let gateway =
        TestGateway::start_with(&[&server], |control| control.confirm_with_age(OLD)).await;
    for _ in 0..3 {
        let answer = get(gateway.callers, "/once/x", "r1").await;
        assert_eq!((answer.status, server.requests().len()), (503, 0));
    }
    let ready = ask(gateway.readiness, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert_eq!(ready.status, 503, "not ready");
}

/// The quorum is back while the request waits.
#[tokio::test]
async fn a_request_is_refused_although_its_router_is_confirmed_in_time() {
    let server = healthy("a").await;
    let gateway =
        TestGateway::start_with(&[&server], |control| control.confirm_with_age(OLD)).await;
    let confirming = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        gateway.control.confirm_with_age(Duration::ZERO);
    };
    let (answer, ()) = tokio::join!(get(gateway.callers, "/once/x", "r1"), confirming);
    assert_eq!(answer.status, 200);
}

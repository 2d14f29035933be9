//! Who is served: routes, keys, readiness, and planned stops.

use std::time::Duration;

use crate::support::TestGateway;
use crate::support::caller::{ask, get, request};
use crate::support::server::{FakeServer, Step, good, whole};

#[tokio::test]
async fn requests_without_id_route_or_key_are_refused_and_reach_no_server() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    let without_id = "GET /once/x HTTP/1.1\r\nHost: test.example\r\nx-key: good\r\n\r\n";
    assert_eq!(ask(gateway.callers, without_id).await.status, 400);
    assert_eq!(get(gateway.callers, "/nowhere/x", "r1").await.status, 404);
    let bad_key = request("GET", "/once/x", "r2").replace("x-key: good", "x-key: bad");
    assert_eq!(ask(gateway.callers, &format!("{bad_key}\r\n")).await.status, 401);
    assert!(server.requests().is_empty());
}

/// A gateway that knows nothing for certain refuses nobody for good.
#[tokio::test]
async fn nothing_is_served_or_denied_before_a_quorum_has_confirmed_the_configuration() {
    let server = good("a").await;
    let gateway = TestGateway::start_unready(&[&server]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for path in ["/once/x", "/nowhere/x"] {
        let answer = get(gateway.callers, path, "r1").await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some(), "when to come back");
    }
    assert_eq!(ask(gateway.readiness, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.status, 503);
    assert!(server.requests().is_empty());
}

/// A key may have been taken away by a configuration that this node can't hear of.
#[tokio::test]
async fn keys_are_not_honoured_for_long_without_a_confirmation() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r1").await.status, 200);
    gateway.control.stop_confirming();
    tokio::time::sleep(Duration::from_millis(4_800)).await;
    assert_eq!(get(gateway.callers, "/once/x", "r2").await.status, 503);
    assert_eq!(server.requests().len(), 1);
    gateway.control.confirm();
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    assert_eq!(get(gateway.callers, "/once/x", "r3").await.status, 200);
}

#[tokio::test]
async fn a_service_whose_servers_are_gone_tells_when_to_come_back() {
    let gateway = TestGateway::start(&[]).await;
    let answer = get(gateway.callers, "/once/x", "r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn a_planned_stop_cuts_no_request_and_takes_new_ones_until_callers_know() {
    let slow = FakeServer::start("a", |_, head| {
        vec![Step::Wait(Duration::from_millis(900)), Step::Send(whole(head, "200 OK", "fine"))]
    })
    .await;
    let mut gateway = TestGateway::start(&[&slow]).await;
    let callers = gateway.callers;
    let under_way = tokio::spawn(async move { get(callers, "/once/x", "r1").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateway.stop();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let readiness = ask(gateway.readiness, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert_eq!(readiness.status, 503);
    let late = get(callers, "/once/x", "r2").await;
    assert_eq!((late.status, late.header("connection")), (200, Some("close")));
    assert_eq!(under_way.await.expect("no panic").status, 200);
    gateway.stopped().await;
}

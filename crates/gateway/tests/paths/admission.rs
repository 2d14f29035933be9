//! Admission of requests: routes, keys, readiness and planned shutdowns.

use std::time::Duration;

use crate::support::TestGateway;
use crate::support::caller::{ask, get, request_head};
use crate::support::server::{FakeServer, Step, complete_answer, healthy};

#[tokio::test]
async fn requests_without_id_route_or_valid_key_are_refused_and_not_sent() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    let without_id = "GET /once/x HTTP/1.1\r\nHost: test.example\r\nx-key: good\r\n\r\n";
    assert_eq!(ask(gateway.callers, without_id).await.status, 400);
    assert_eq!(get(gateway.callers, "/nowhere/x", "r1").await.status, 404);
    let bad_key = request_head("GET", "/once/x", "r2").replace("x-key: good", "x-key: bad");
    assert_eq!(ask(gateway.callers, &format!("{bad_key}\r\n")).await.status, 401);
    assert!(server.requests().is_empty());
}

/// Without a confirmed configuration no request is rejected for good.
#[tokio::test]
async fn nothing_is_served_or_denied_before_a_quorum_has_confirmed_the_configuration() {
    let server = healthy("a").await;
    let gateway = TestGateway::start_unready(&[&server]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for path in ["/once/x", "/nowhere/x"] {
        let answer = get(gateway.callers, path, "r1").await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some(), "retry-after is set");
    }
    assert_eq!(ask(gateway.readiness, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.status, 503);
    assert!(server.requests().is_empty());
}

/// The key may have been revoked by a configuration that this router didn't receive.
#[tokio::test]
async fn keys_are_refused_once_the_configuration_is_unconfirmed_for_too_long() {
    let server = healthy("a").await;
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
async fn a_request_without_available_servers_is_refused_with_retry_after() {
    let gateway = TestGateway::start(&[]).await;
    let answer = get(gateway.callers, "/once/x", "r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn a_planned_shutdown_interrupts_no_request_and_serves_new_ones_while_draining() {
    let slow = FakeServer::start("a", |_, head| {
        vec![
            Step::Wait(Duration::from_millis(900)),
            Step::Send(complete_answer(head, "200 OK", "fine")),
        ]
    })
    .await;
    let mut gateway = TestGateway::start(&[&slow]).await;
    let callers = gateway.callers;
    let in_flight = tokio::spawn(async move { get(callers, "/once/x", "r1").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateway.stop();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let readiness = ask(gateway.readiness, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert_eq!(readiness.status, 503);
    let new_request = get(callers, "/once/x", "r2").await;
    assert_eq!((new_request.status, new_request.header("connection")), (200, Some("close")));
    assert_eq!(in_flight.await.expect("no panic").status, 200);
    gateway.wait_until_stopped().await;
}

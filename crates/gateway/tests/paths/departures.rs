//! A server announces its departure in every answer, possibly before the replicas report it.
//! Routers must then send it no more requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use juniper_protocol::message::{RouterUpdate, ServerNoticeUpdate};
use juniper_registry::StartTime;
use tokio::time::sleep;

use crate::support::caller::get;
use crate::support::server::{FakeServer, Step, complete_answer, healthy};
use crate::support::{TEST_TIMEOUT, TestGateway};

/// Starts a server with answers of this status that announce its departure while the returned flag
/// is set.
async fn departing_server(name: &str, status: &'static str) -> (FakeServer, Arc<AtomicBool>) {
    let announces = Arc::new(AtomicBool::new(true));
    let still_announces = Arc::clone(&announces);
    let server = FakeServer::start(name, move |_, head| {
        let status = match still_announces.load(Ordering::Relaxed) {
            true => format!("{status}\r\nx-leaving: 1"),
            false => status.to_owned(),
        };
        vec![Step::Send(complete_answer(head, &status, "fine"))]
    })
    .await;
    (server, announces)
}

async fn check_no_more_requests(status: &'static str) {
    let (server, announces) = departing_server("a", status).await;
    let other = healthy("b").await;
    let gateway = TestGateway::start(&[&server, &other]).await;
    let started_at = Instant::now();
    while server.requests().is_empty() {
        get(gateway.callers, "/safe/x", "r").await;
        assert!(started_at.elapsed() < TEST_TIMEOUT);
    }
    // A departure is final: neither an answer without it nor another view of the servers undoes it.
    announces.store(false, Ordering::Relaxed);
    let received = server.requests().len();
    for _ in 0..10 {
        assert_eq!(get(gateway.callers, "/safe/x", "r").await.status, 200);
        gateway.control.add_server(healthy("c").await.report());
        sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(server.requests().len(), received, "no request after an answer of status {status}");
}

#[tokio::test]
async fn a_departing_server_gets_no_new_requests() {
    check_no_more_requests("200 OK").await;
}

#[tokio::test]
async fn refusals_and_failures_may_announce_a_departure_too() {
    check_no_more_requests("503 Busy\r\nx-not-run: 1").await;
    check_no_more_requests("500 Failed").await;
}

#[tokio::test]
async fn if_all_servers_depart_callers_are_refused_at_once_with_503() {
    let (server, _) = departing_server("a", "200 OK").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r").await.status, 200);
    let started_at = Instant::now();
    let answer = get(gateway.callers, "/once/x", "r").await;
    assert_eq!((answer.status, server.requests().len()), (503, 1));
    assert!(started_at.elapsed() < Duration::from_secs(1), "at once");
}

#[tokio::test]
async fn a_departure_is_published_and_applied_by_other_routers() {
    let (server, _) = departing_server("a", "200 OK").await;
    let gateway = TestGateway::start(&[&server]).await;
    get(gateway.callers, "/once/x", "r").await;
    let started_at = Instant::now();
    while gateway.control.published_notices().is_empty() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "published");
        sleep(Duration::from_millis(20)).await;
    }
    let published = gateway.control.published_notices();
    assert_eq!(
        (published[0].instance.clone(), published[0].is_departing),
        (server.report().name, true)
    );

    let (elsewhere, other) = (healthy("c").await, healthy("d").await);
    let gateway = TestGateway::start(&[&elsewhere, &other]).await;
    let (instance, started) = (elsewhere.report().name, StartTime::UNKNOWN);
    let notice =
        ServerNoticeUpdate { instance, started, backoff_ms: 0, is_departing: true, through: None };
    let update = RouterUpdate { notices: Some(vec![notice]), ..RouterUpdate::default() };
    gateway.control.send_peer_update(2, "north", update);
    sleep(Duration::from_millis(100)).await;
    for _ in 0..10 {
        assert_eq!(get(gateway.callers, "/safe/x", "r").await.status, 200);
    }
    assert!(elsewhere.requests().is_empty(), "a departure reported by one router applies");
}

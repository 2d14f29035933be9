//! Requests whose servers begin to answer later than the timeout after which another one is asked.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::support::TestGateway;
use crate::support::caller::get;
use crate::support::server::{FakeServer, LAST_CHUNK, Step, complete_answer, event, stream_head};

/// Longer than the answer timeout of all routes, and much shorter than their deadlines.
const SLOW: Duration = Duration::from_millis(1_600);

/// Time within which a healthy server answers what a silent one left.
const TAKEN_OVER: Duration = Duration::from_millis(1_200);

/// Routes that may be sent to a second server.
const PATHS: [&str; 2] = ["/safe/x", "/resumable/x"];

/// Server that begins to answer after a while.
async fn slow_server() -> FakeServer {
    FakeServer::start("a", |_, head| {
        let answer = match head.contains("/resumable/") {
            true => [stream_head(head, "a"), event(1), LAST_CHUNK.to_owned()].concat(),
            false => complete_answer(head, "200 OK", "d1"),
        };
        vec![Step::Wait(SLOW), Step::Send(answer)]
    })
    .await
}

/// Server that rejects everything, after a while.
async fn rejecting_server(name: &str, after: Duration) -> FakeServer {
    FakeServer::start(name, move |_, head| {
        vec![Step::Wait(after), Step::Send(complete_answer(head, "503 Full\r\nx-not-run: 1", ""))]
    })
    .await
}

/// Two servers of which the one that gets the first request waits before it answers.
async fn pair_with_a_first_wait(wait: Duration) -> [FakeServer; 2] {
    pair(wait, "200 OK").await
}

/// Two servers of which the one that gets the first request waits before it answers, and which answer
/// all later ones with this status.
async fn pair(wait: Duration, later: &'static str) -> [FakeServer; 2] {
    let has_waited = Arc::<AtomicBool>::default();
    let start = |name| {
        let has_waited = Arc::clone(&has_waited);
        FakeServer::start(name, move |_, head| match has_waited.swap(true, Ordering::Relaxed) {
            false => vec![Step::Wait(wait), Step::Send(complete_answer(head, "200 OK", "fine"))],
            true => vec![Step::Send(complete_answer(head, later, "fine"))],
        })
    };
    [start("a").await, start("b").await]
}

fn total(servers: &[FakeServer], count: fn(&FakeServer) -> usize) -> usize {
    servers.iter().map(count).sum()
}

async fn check_answered(gateway: &TestGateway, id: &str) {
    for path in PATHS {
        let answer = get(gateway.callers, path, &format!("{id}{}", path.len())).await;
        assert!(answer.complete && answer.body.contains("d1"), "{path}: {answer:?}");
    }
}

// Guards against requests that end long before their deadlines while their only server is at work.
#[tokio::test]
async fn a_request_of_a_slow_server_is_given_up_without_another_server() {
    let slow = slow_server().await;
    let gateway = TestGateway::start(&[&slow]).await;
    check_answered(&gateway, "r").await;
    assert_eq!((slow.abandoned(), slow.requests().len()), (0, PATHS.len()));
}

// Guards against the same if all other servers reject the request.
#[tokio::test]
async fn a_request_of_a_slow_server_is_given_up_if_others_reject_it() {
    let slow = slow_server().await;
    let full = rejecting_server("b", Duration::ZERO).await;
    let gateway = TestGateway::start(&[&slow, &full]).await;
    for number in 0..3 {
        check_answered(&gateway, &format!("r{number}-")).await;
    }
    assert_eq!(slow.abandoned(), 0);
}

// Guards against the same once the retry budget is spent.
#[tokio::test]
async fn a_request_of_a_slow_server_is_given_up_once_the_retry_budget_is_spent() {
    let servers = pair_with_a_first_wait(SLOW).await;
    let gateway = TestGateway::start_without_retries(&[&servers[0], &servers[1]]).await;
    let answer = get(gateway.callers, "/safe/x", "r1").await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(total(&servers, |server| server.requests().len()), 1);
    assert_eq!(total(&servers, FakeServer::abandoned), 0);
}

// Guards against the same if another server fails.
#[tokio::test]
async fn a_request_of_a_slow_server_is_given_up_if_another_one_fails() {
    let servers = pair(SLOW, "500 Failed").await;
    let gateway = TestGateway::start(&[&servers[0], &servers[1]]).await;
    let answer = get(gateway.callers, "/safe/x", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "fine"), "{answer:?}");
    assert_eq!(total(&servers, |server| server.requests().len()), 2);
    assert_eq!(total(&servers, FakeServer::abandoned), 0);
}

// Guards against a late rejection that is reported as if the request may have run.
#[tokio::test]
async fn a_late_rejection_is_reported_as_a_failure() {
    let late = rejecting_server("a", SLOW).await;
    let gateway = TestGateway::start(&[&late]).await;
    for path in PATHS {
        let answer = get(gateway.callers, path, path).await;
        assert_eq!(answer.status, 503, "{path}: {answer:?}");
    }
}

// Guards against a silent server that is waited for although another one answers.
#[tokio::test]
async fn a_request_of_a_silent_server_waits_for_it_beside_another_server() {
    let servers = pair_with_a_first_wait(Duration::from_secs(20)).await;
    let gateway = TestGateway::start(&[&servers[0], &servers[1]]).await;
    let began_at = Instant::now();
    let answer = get(gateway.callers, "/safe/x", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "fine"), "{answer:?}");
    assert!(began_at.elapsed() < TAKEN_OVER, "{:?}", began_at.elapsed());
    assert_eq!(total(&servers, |server| server.requests().len()), 2);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(total(&servers, FakeServer::abandoned), 1);
}

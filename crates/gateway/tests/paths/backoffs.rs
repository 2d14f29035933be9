//! A server that refuses a request with a backoff gets no more requests until the backoff is over.
//! Otherwise routers waste their attempts on it and refuse callers while other servers have room.

use std::time::{Duration, Instant};

use juniper_protocol::message::{RouterUpdate, ServerLimitUpdate, ServerNoticeUpdate};
use juniper_registry::StartTime;
use tokio::time::sleep;

use crate::support::caller::{Answer, get};
use crate::support::control::ChargeHandling;
use crate::support::server::{FakeServer, Step, complete_answer, healthy};
use crate::support::{TEST_TIMEOUT, TestGateway};

/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Time after which the gateway decides by itself if the owner of a server's account is silent.
const OWNER_TIMEOUT: Duration = Duration::from_millis(60);

/// Delay of a refusal, well below [`OWNER_TIMEOUT`].
const REFUSAL_DELAY: Duration = Duration::from_millis(20);

/// Tries to have a refusal arrive within [`OWNER_TIMEOUT`], which a busy machine may prevent.
const MAX_ROUNDS: usize = 50;

/// An answer that refuses a request and requests a backoff of the given text.
fn refusal(head: &str, backoff: &str) -> Step {
    Step::Send(complete_answer(
        head,
        &format!("503 Busy\r\nx-not-run: 1\r\nx-pause: {backoff}"),
        "full",
    ))
}

fn success(head: &str) -> Step {
    Step::Send(complete_answer(head, "200 OK", "fine"))
}

/// Starts a server that requests a backoff in its first answer and serves all later requests.
async fn backing_off_once(name: &str, backoff: &'static str) -> FakeServer {
    FakeServer::start(name, move |number, head| match number {
        0 => vec![refusal(head, backoff)],
        _ => vec![success(head)],
    })
    .await
}

async fn ask(gateway: &TestGateway) -> Answer {
    get(gateway.callers, "/safe/x", "r").await
}

/// Sends requests until the server has received one.
async fn ask_until_received(gateway: &TestGateway, server: &FakeServer) -> Instant {
    let started_at = Instant::now();
    while server.requests().is_empty() {
        assert_eq!(ask(gateway).await.status, 200, "the other server answers");
        assert!(started_at.elapsed() < TEST_TIMEOUT);
    }
    Instant::now()
}

fn retry_after(answer: &Answer) -> Duration {
    let seconds = answer.header("retry-after").and_then(|it| it.parse().ok()).expect("a time");
    Duration::from_secs_f64(seconds)
}

#[tokio::test]
async fn a_server_that_is_backing_off_gets_no_requests() {
    let (backing_off, other) = (backing_off_once("a", "2").await, healthy("b").await);
    let gateway = TestGateway::start(&[&backing_off, &other]).await;
    let received_at = ask_until_received(&gateway, &backing_off).await;
    while received_at.elapsed() < Duration::from_millis(1_950) {
        assert_eq!(ask(&gateway).await.status, 200);
        sleep(REQUEST_INTERVAL).await;
    }
    assert_eq!(backing_off.requests().len(), 1, "only the refused request was sent");
    while backing_off.requests().len() < 3 {
        assert_eq!(ask(&gateway).await.status, 200);
        assert!(received_at.elapsed() < TEST_TIMEOUT, "requests are sent again");
        sleep(REQUEST_INTERVAL).await;
    }
}

#[tokio::test]
async fn while_all_servers_are_backing_off_callers_are_refused_at_once_with_the_shortest_backoff() {
    let (long, short) = (backing_off_once("a", "9").await, backing_off_once("b", "2").await);
    let gateway = TestGateway::start(&[&long, &short]).await;
    assert_eq!(ask(&gateway).await.status, 503);
    let started_at = Instant::now();
    let answer = ask(&gateway).await;
    assert!(started_at.elapsed() < Duration::from_millis(500), "at once");
    assert_eq!((answer.status, long.requests().len(), short.requests().len()), (503, 1, 1));
    let backoff = retry_after(&answer);
    let range = Duration::from_millis(1_400)..Duration::from_millis(3_500);
    assert!(range.contains(&backoff), "the shortest backoff with jitter: {backoff:?}");
}

/// Sends a request and, before its server refuses it with a backoff, a second one whose charge the
/// owner of the server's account doesn't answer. Returns the second answer and the number of requests
/// that the server received; `None` if the second request may have been sent before the refusal.
async fn choose_server_before_its_backoff() -> Option<(Answer, usize)> {
    let server = FakeServer::start("a", |number, head| match number {
        0 => vec![Step::Wait(REFUSAL_DELAY), refusal(head, "3")],
        _ => vec![success(head)],
    })
    .await;
    let gateway = TestGateway::start(&[&server]).await;
    let limit = ServerLimitUpdate {
        instance: server.report().name,
        started: StartTime::UNKNOWN,
        sequence: 9,
        per_second: 50.0,
        is_withdrawn: false,
    };
    let update = RouterUpdate { server_limits: Some(vec![limit]), ..RouterUpdate::default() };
    gateway.control.send_peer_update(2, "south", update);
    sleep(Duration::from_millis(100)).await;
    let first = async {
        let answer = ask(&gateway).await;
        (answer.status, Instant::now(), gateway.control.charges().len())
    };
    let second = async {
        while server.requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        gateway.control.set_charge_handling(ChargeHandling::Ignore);
        let asked_at = Instant::now();
        (asked_at, ask(&gateway).await)
    };
    let ((status, refused_at, charges), (asked_at, answer)) = tokio::join!(first, second);
    assert_eq!(status, 503);
    let is_chosen_before = charges == 2 && refused_at < asked_at + OWNER_TIMEOUT;
    is_chosen_before.then(|| (answer, server.requests().len()))
}

#[tokio::test]
async fn a_server_chosen_before_its_backoff_gets_no_request_during_it() {
    for _ in 0..MAX_ROUNDS {
        if let Some((answer, requests)) = choose_server_before_its_backoff().await {
            assert_eq!((answer.status, requests), (503, 1), "charged, but not sent");
            return;
        }
    }
    panic!("the refusal never arrived while the second request waited for the owner");
}

/// Answers to requests that were sent before the backoff and arrive during it.
#[tokio::test]
async fn neither_a_success_nor_a_shorter_or_invalid_backoff_ends_a_backoff() {
    let server = FakeServer::start("a", |number, head| match number {
        0 => vec![Step::Wait(Duration::from_millis(200)), refusal(head, "3")],
        1 => vec![Step::Wait(Duration::from_millis(300)), success(head)],
        2 => vec![Step::Wait(Duration::from_millis(300)), refusal(head, "0.2")],
        3 => vec![Step::Wait(Duration::from_millis(300)), refusal(head, "-1")],
        4 => vec![Step::Wait(Duration::from_millis(300)), refusal(head, "soon")],
        _ => vec![success(head)],
    })
    .await;
    let gateway = TestGateway::start(&[&server]).await;
    let answers =
        tokio::join!(ask(&gateway), ask(&gateway), ask(&gateway), ask(&gateway), ask(&gateway));
    let (a, b, c, d, e) = answers;
    let served = [a, b, c, d, e].iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, 1);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(ask(&gateway).await.status, 503);
    assert_eq!(server.requests().len(), 5);
}

#[tokio::test]
async fn an_invalid_backoff_is_ignored() {
    let server = backing_off_once("a", "soon").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(ask(&gateway).await.status, 503);
    assert_eq!(ask(&gateway).await.status, 200);
}

/// Another router's report of a requested backoff.
fn backoff_update(server: &FakeServer, backoff_ms: u64) -> RouterUpdate {
    let (instance, started) = (server.report().name, StartTime::UNKNOWN);
    let notice =
        ServerNoticeUpdate { instance, started, backoff_ms, is_departing: false, through: None };
    RouterUpdate { notices: Some(vec![notice]), ..RouterUpdate::default() }
}

#[tokio::test]
async fn a_backoff_is_published_once() {
    let (backing_off, other) = (backing_off_once("a", "2").await, healthy("b").await);
    let gateway = TestGateway::start(&[&backing_off, &other]).await;
    let received_at = ask_until_received(&gateway, &backing_off).await;
    while gateway.control.published_notices().is_empty() {
        assert!(received_at.elapsed() < TEST_TIMEOUT, "published");
        sleep(Duration::from_millis(20)).await;
    }
    let published = gateway.control.published_notices();
    assert_eq!(
        (published.len(), published[0].backoff_ms, published[0].is_departing),
        (1, 2_000, false)
    );
    assert_eq!(published[0].instance, backing_off.report().name);
}

/// Reports of two routers are believed; a single router may itself have sent too much.
#[tokio::test]
async fn a_server_that_backs_off_from_two_other_routers_is_avoided_while_others_serve() {
    let (avoided, other) = (healthy("a").await, healthy("b").await);
    let gateway = TestGateway::start(&[&avoided, &other]).await;
    gateway.control.send_peer_update(2, "north", backoff_update(&avoided, 60_000));
    gateway.control.send_peer_update(2, "north", backoff_update(&avoided, 60_000));
    sleep(Duration::from_millis(100)).await;
    let started_at = Instant::now();
    while avoided.requests().is_empty() {
        assert_eq!(ask(&gateway).await.status, 200);
        assert!(started_at.elapsed() < TEST_TIMEOUT, "a report of one router alone doesn't count");
    }
    gateway.control.send_peer_update(3, "north", backoff_update(&avoided, 60_000));
    sleep(Duration::from_millis(100)).await;
    let received = avoided.requests().len();
    for _ in 0..12 {
        assert_eq!(ask(&gateway).await.status, 200);
    }
    assert_eq!(avoided.requests().len(), received);
    for from in [2, 3] {
        gateway.control.send_peer_update(from, "north", backoff_update(&other, 60_000));
    }
    sleep(Duration::from_millis(100)).await;
    assert_eq!(
        ask(&gateway).await.status,
        200,
        "no server has requested a backoff from this router"
    );
}

//! A server that leaves says so in every answer, also where the list of servers hasn't heard of it
//! yet. No router read that: they went on sending to it what callers had sent long after the bound,
//! until its own word had come by way of the replicas, or it was gone.
//!
//! ```text
//! answers that said so: any, from the first one on; lines and counters of ours that tell of it: none
//! ```

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use juniper_protocol::message::{RouterUpdate, ServerNoticeUpdate};
use juniper_registry::StartTime;
use tokio::time::sleep;

use crate::support::caller::get;
use crate::support::server::{FakeServer, Step, good, whole};
use crate::support::{PATIENCE, TestGateway};

/// A server that says that it leaves for as long as it is to, with answers of this status.
async fn leaving(name: &str, status: &'static str) -> (FakeServer, Arc<AtomicBool>) {
    let says_so = Arc::new(AtomicBool::new(true));
    let still = Arc::clone(&says_so);
    let server = FakeServer::start(name, move |_, head| {
        let status = match still.load(Ordering::Relaxed) {
            true => format!("{status}\r\nx-leaving: 1"),
            false => status.to_owned(),
        };
        vec![Step::Send(whole(head, &status, "fine"))]
    })
    .await;
    (server, says_so)
}

async fn nothing_more_is_sent(status: &'static str) {
    let (server, says_so) = leaving("a", status).await;
    let other = good("b").await;
    let gateway = TestGateway::start(&[&server, &other]).await;
    let begun = Instant::now();
    while server.requests().is_empty() {
        get(gateway.callers, "/safe/x", "r").await;
        assert!(begun.elapsed() < PATIENCE);
    }
    // It is final: neither an answer without it nor another view of the servers takes it back.
    says_so.store(false, Ordering::Relaxed);
    let got = server.requests().len();
    for _ in 0..10 {
        assert_eq!(get(gateway.callers, "/safe/x", "r").await.status, 200);
        gateway.control.hear(good("c").await.report());
        sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(server.requests().len(), got, "after an answer of status {status}");
}

#[tokio::test]
async fn a_server_that_says_that_it_leaves_gets_nothing_new() {
    nothing_more_is_sent("200 OK").await;
}

#[tokio::test]
async fn one_that_turns_requests_away_or_fails_may_say_so_too() {
    nothing_more_is_sent("503 Busy\r\nx-not-run: 1").await;
    nothing_more_is_sent("500 Failed").await;
}

#[tokio::test]
async fn if_every_server_leaves_callers_are_refused_at_once_with_a_promise() {
    let (server, _) = leaving("a", "200 OK").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r").await.status, 200);
    let begun = Instant::now();
    let answer = get(gateway.callers, "/once/x", "r").await;
    assert_eq!((answer.status, server.requests().len()), (503, 1));
    assert!(begun.elapsed() < Duration::from_secs(1), "at once");
}

#[tokio::test]
async fn the_other_routers_are_told_and_take_it_over() {
    let (server, _) = leaving("a", "200 OK").await;
    let gateway = TestGateway::start(&[&server]).await;
    get(gateway.callers, "/once/x", "r").await;
    let begun = Instant::now();
    while gateway.control.told_notices().is_empty() {
        assert!(begun.elapsed() < PATIENCE, "told");
        sleep(Duration::from_millis(20)).await;
    }
    let told = gateway.control.told_notices();
    assert_eq!((told[0].instance.clone(), told[0].is_departing), (server.report().name, true));

    let (elsewhere, other) = (good("c").await, good("d").await);
    let gateway = TestGateway::start(&[&elsewhere, &other]).await;
    let (instance, started) = (elsewhere.report().name, StartTime::UNKNOWN);
    let notice = ServerNoticeUpdate { instance, started, backoff_ms: 0, is_departing: true };
    let news = RouterUpdate { notices: Some(vec![notice]), ..RouterUpdate::default() };
    gateway.control.relay(2, "north", news);
    sleep(Duration::from_millis(100)).await;
    for _ in 0..10 {
        assert_eq!(get(gateway.callers, "/safe/x", "r").await.status, 200);
    }
    assert!(elsewhere.requests().is_empty(), "one router's word is enough: it holds for all");
}

//! Requests that come before a quorum has confirmed the configuration, or before the
//! servers have been heard of.

use std::time::{Duration, Instant};

use crate::support::TestGateway;
use crate::support::caller::{ask, get, request};
use crate::support::control::FakeControl;
use crate::support::server::good;

/// Time until the replica confirms or hears; far below a third of the callers' 3 s.
const LATER: Duration = Duration::from_millis(300);

#[tokio::test]
async fn a_request_that_comes_before_the_first_confirmation_is_served_after_it() {
    let server = good("a").await;
    let gateway = TestGateway::start_unready(&[&server]).await;
    let body = "the caller's own body";
    let head = request("POST", "/once/x", "r1");
    let post = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    let asked = ask(gateway.callers, &post);
    let confirmed = async {
        tokio::time::sleep(LATER).await;
        assert!(server.requests().is_empty(), "nothing is sent before");
        gateway.control.confirm();
    };
    let (answer, ()) = tokio::join!(asked, confirmed);
    assert_eq!(answer.status, 200);
    let requests = server.requests();
    assert_eq!(requests.len(), 1);
    assert!(requests[0].ends_with(body), "the body that was read while it waited");
}

/// It has been given up, so its caller is told at once and not at its deadline of 3 s.
#[tokio::test]
async fn a_request_waits_for_the_start_for_a_third_of_its_time_and_is_then_refused() {
    let server = good("a").await;
    let gateway = TestGateway::start_unready(&[&server]).await;
    let begun = Instant::now();
    let answer = get(gateway.callers, "/once/x", "r1").await;
    let took = begun.elapsed();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some(), "when to come back");
    assert!(took > Duration::from_millis(800) && took < Duration::from_millis(1_800), "{took:?}");
    assert!(server.requests().is_empty());
}

#[tokio::test]
async fn a_request_waits_for_the_first_server_that_a_replica_hears_of_after_the_start() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[]).await;
    let heard = async {
        tokio::time::sleep(LATER).await;
        gateway.control.hear(server.report());
    };
    let (answer, ()) = tokio::join!(get(gateway.callers, "/once/x", "r1"), heard);
    assert_eq!(answer.status, 200);
}

/// A replica answers calls side by side, so the answer to a later one may come first.
#[tokio::test]
async fn a_confirmation_counts_though_a_later_call_was_answered_before_it() {
    let server = good("a").await;
    let gateway = TestGateway::start_with(&[&server], FakeControl::confirm_once_late).await;
    let answer = get(gateway.callers, "/once/x", "r1").await;
    assert_eq!(answer.status, 200);
}

/// Bodies that wait take memory, so too large a one is refused, but not for good.
#[tokio::test]
async fn a_large_body_does_not_wait_for_the_start() {
    let gateway = TestGateway::start_unready(&[&good("a").await]).await;
    let head = request("POST", "/once/x", "r1");
    let begun = Instant::now();
    let answer = ask(gateway.callers, &format!("{head}content-length: 200000\r\n\r\n")).await;
    assert_eq!(answer.status, 503);
    assert!(begun.elapsed() < Duration::from_millis(800));
}

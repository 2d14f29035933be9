//! Requests that arrive before the configuration is confirmed or servers are known.

use std::time::{Duration, Instant};

use crate::support::TestGateway;
use crate::support::caller::{ask, get, request_head};
use crate::support::control::FakeControl;
use crate::support::server::healthy;

/// Delay of the confirmation or of the first server; far below a third of the callers' 3 s.
const DELAY: Duration = Duration::from_millis(300);

#[tokio::test]
async fn a_request_that_arrives_before_the_first_confirmation_is_served_after_it() {
    let server = healthy("a").await;
    let gateway = TestGateway::start_unready(&[&server]).await;
    let body = "the caller's own body";
    let head = request_head("POST", "/once/x", "r1");
    let post = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    let answer_pending = ask(gateway.callers, &post);
    let confirming = async {
        tokio::time::sleep(DELAY).await;
        assert!(server.requests().is_empty(), "nothing is sent before");
        gateway.control.confirm();
    };
    let (answer, ()) = tokio::join!(answer_pending, confirming);
    assert_eq!(answer.status, 200);
    let requests = server.requests();
    assert_eq!(requests.len(), 1);
    assert!(requests[0].ends_with(body), "the body that was read before the confirmation");
}

/// The caller is answered when the wait is over, not at its deadline of 3 s.
#[tokio::test]
async fn a_request_waits_for_the_start_for_a_third_of_its_time_and_is_then_refused() {
    let server = healthy("a").await;
    let gateway = TestGateway::start_unready(&[&server]).await;
    let started_at = Instant::now();
    let answer = get(gateway.callers, "/once/x", "r1").await;
    let took = started_at.elapsed();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some(), "retry-after is set");
    assert!(took > Duration::from_millis(800) && took < Duration::from_millis(1_800), "{took:?}");
    assert!(server.requests().is_empty());
}

#[tokio::test]
async fn a_request_waits_for_the_first_server_that_registers_after_the_start() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[]).await;
    let registering = async {
        tokio::time::sleep(DELAY).await;
        gateway.control.add_server(server.report());
    };
    let (answer, ()) = tokio::join!(get(gateway.callers, "/once/x", "r1"), registering);
    assert_eq!(answer.status, 200);
}

/// A replica handles requests concurrently, so the answer to a later one may come first.
#[tokio::test]
async fn a_confirmation_counts_even_if_a_later_request_was_answered_before_it() {
    let server = healthy("a").await;
    let gateway = TestGateway::start_with(&[&server], FakeControl::confirm_once_out_of_order).await;
    let answer = get(gateway.callers, "/once/x", "r1").await;
    assert_eq!(answer.status, 200);
}

/// Waiting bodies take memory, so a large one is refused with `Retry-After`.
#[tokio::test]
async fn a_large_body_does_not_wait_for_the_start() {
    let gateway = TestGateway::start_unready(&[&healthy("a").await]).await;
    let head = request_head("POST", "/once/x", "r1");
    let started_at = Instant::now();
    let answer = ask(gateway.callers, &format!("{head}content-length: 200000\r\n\r\n")).await;
    assert_eq!(answer.status, 503);
    assert!(started_at.elapsed() < Duration::from_millis(800));
}

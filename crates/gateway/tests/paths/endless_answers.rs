//! Servers that send bytes without end, in place of an answer or within one, until the router closes
//! the connection.

use std::time::{Duration, Instant};

use crate::support::TestGateway;
use crate::support::caller::get;
use crate::support::server::{
    FakeServer, Step, complete_answer, healthy, open_ended_head, stream_head,
};

/// Deadline of the callers, with time for the answer.
const ANSWER_TIME: Duration = Duration::from_millis(3_500);

/// Bytes that a router takes in per answer, with the buffers of both sockets.
const MAX_BYTES: usize = 16 << 20;

/// Server that answers its first request with `head` and then bytes without end, and later ones well.
async fn pouring(head: fn(&str) -> String, text: &'static str) -> FakeServer {
    FakeServer::start("a", move |number, request| match number {
        0 => vec![Step::Send(head(request)), Step::Pour(text.to_owned())],
        _ => vec![Step::Send(complete_answer(request, "200 OK", "fine"))],
    })
    .await
}

fn open_ended_answer(request: &str) -> String {
    complete_answer(request, "200 OK", "").replace("content-length: 0\r\n", "")
}

fn chunked_answer(request: &str) -> String {
    let head = complete_answer(request, "200 OK", "");
    head.replace("content-length: 0", "transfer-encoding: chunked")
}

async fn check(head: fn(&str) -> String, text: &'static str, path: &str, allowed: &[u16]) {
    let server = pouring(head, text).await;
    let gateway = TestGateway::start(&[&server]).await;
    let started_at = Instant::now();
    let answer = get(gateway.callers, path, "r1").await;
    let took = started_at.elapsed();
    let what = format!("{path} {text:?}: {answer:?} after {took:?}");
    assert!(allowed.contains(&answer.status), "{what}");
    assert!(answer.status != 200 || !answer.complete, "{what}");
    assert!(took < ANSWER_TIME, "{what}");
    while server.poured().1 > 0 {
        assert!(started_at.elapsed() < ANSWER_TIME, "the connection is still open: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(server.poured().0 < MAX_BYTES, "{} bytes: {what}", server.poured().0);
    assert!(answer.body.len() < 2 << 20, "{} bytes passed on: {path} {text:?}", answer.body.len());
    let next = get(gateway.callers, "/safe/x", "r2").await;
    assert_eq!((next.status, next.body.as_str()), (200, "fine"), "the next request: {what}");
}

/// The request was sent, so it may have run.
const UNKNOWN: &[u16] = &[502, 504];

#[tokio::test]
async fn a_head_without_end_holds_its_connection_open() {
    let nothing: fn(&str) -> String = |_| String::new();
    for text in ["x", "\0", "\r\n", "HTTP/1.1 200 OK", "HTTP/1.1 100 Continue\r\n\r\n"] {
        check(nothing, text, "/once/x", UNKNOWN).await;
    }
    let begun: fn(&str) -> String = |_| "HTTP/1.1 200 OK\r\n".to_owned();
    check(begun, "x-more: 1\r\n", "/once/x", UNKNOWN).await;
    check(begun, "x", "/stream/x", UNKNOWN).await;
}

#[tokio::test]
async fn a_body_without_end_is_passed_on_as_an_answer() {
    for path in ["/once/x", "/safe/x"] {
        check(open_ended_answer, "x", path, &[200, 502, 504]).await;
        check(chunked_answer, "x", path, UNKNOWN).await;
        check(chunked_answer, "1;x", path, UNKNOWN).await;
        check(chunked_answer, "0", path, UNKNOWN).await;
    }
}

#[tokio::test]
async fn a_stream_without_end_is_passed_on_as_events() {
    for text in ["x", "\n", "\0\n\n", "no field\n\n"] {
        check(open_ended_head, text, "/stream/x", &[200, 502, 504]).await;
        check(|request| stream_head(request, "s"), text, "/stream/x", &[200, 502, 504]).await;
    }
}

/// The answer is whole, and what follows it belongs to no request.
#[tokio::test]
async fn bytes_without_end_after_an_answer_hold_its_connection_open() {
    for text in ["x", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n"] {
        let whole: fn(&str) -> String = |request| complete_answer(request, "200 OK", "fine");
        let server = pouring(whole, text).await;
        let gateway = TestGateway::start(&[&server]).await;
        let answer = get(gateway.callers, "/once/x", "r1").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "fine"), "{text:?}");
        let answered_at = Instant::now();
        while server.poured().1 > 0 {
            assert!(answered_at.elapsed() < ANSWER_TIME, "still open: {text:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(server.poured().0 < MAX_BYTES, "{} bytes: {text:?}", server.poured().0);
        let next = get(gateway.callers, "/once/x", "r2").await;
        assert_eq!((next.status, next.body.as_str()), (200, "fine"), "{text:?}");
    }
}

/// Twenty callers of a server that sends without end, beside callers of a sound one.
#[tokio::test]
async fn answers_without_end_keep_others_from_being_served() {
    let bad = FakeServer::start("a", |_, request| {
        vec![Step::Send(open_ended_answer(request)), Step::Pour("x".to_owned())]
    })
    .await;
    let sound = healthy("b").await;
    let gateway = TestGateway::start(&[&bad, &sound]).await;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..40 {
        let address = gateway.callers;
        callers.spawn(async move { get(address, "/safe/x", &format!("r{number}")).await });
    }
    let answers = callers.join_all().await;
    let served = answers.iter().filter(|answer| answer.status == 200 && answer.complete).count();
    assert!(served >= 20, "{served} of 40 served");
    let complete = answers.iter().filter(|answer| answer.complete);
    let wrong = complete.filter(|answer| answer.status == 200 && answer.body != "fine").count();
    assert_eq!(wrong, 0, "bytes without end look like a complete answer");
    for number in 0..10 {
        let answer = get(gateway.callers, "/once/x", &format!("s{number}")).await;
        assert_ne!(answer.status, 503, "a request that may have run");
    }
}

//! Answers and streams that reach callers are complete or visibly broken, and at-most-once requests
//! never run twice.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::support::TestGateway;
use crate::support::caller::{ask, get, request_head};
use crate::support::server::{
    FakeServer, LAST_CHUNK, Step, chunk, complete_answer, event, header, healthy, stream_head,
};

/// Number of times that requests ran on both servers.
fn total_requests(servers: [&FakeServer; 2]) -> usize {
    servers.iter().map(|server| server.requests().len()).sum()
}

#[tokio::test]
async fn an_answer_is_relayed_with_its_status_seal_and_body() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    let answer = get(gateway.callers, "/once/x?q=1", "r1").await;
    assert_eq!((answer.status, answer.body.as_str(), answer.complete), (200, "fine", true));
    assert_eq!(answer.header("x-seal"), Some("s"));
    let sent = server.requests();
    assert!(sent[0].starts_with("GET /once/x?q=1 HTTP/1.1"), "{}", sent[0]);
    assert_eq!(header(&sent[0], "x-tenant"), Some("tenant-1"));
    assert_eq!(header(&sent[0], "x-instance"), Some("a"));
    assert_eq!(header(&sent[0], "x-key"), None);
    let time_left: u64 =
        header(&sent[0], "x-deadline").and_then(|ms| ms.parse().ok()).expect("a number");
    assert!(time_left <= 3_000);
}

#[tokio::test]
async fn an_at_most_once_request_is_not_retried_after_its_connection_broke() {
    let broken = |_: usize, _: &str| vec![Step::Close];
    let (one, other) = (FakeServer::start("a", broken).await, FakeServer::start("b", broken).await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    let answer = get(gateway.callers, "/once/x", "r1").await;
    assert_eq!(answer.status, 502);
    assert_eq!(total_requests([&one, &other]), 1);
}

#[tokio::test]
async fn a_repeatable_request_is_retried_when_an_answer_breaks_off() {
    let cut = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 100\r\n\r\npart";
    let breaking_off = move |number: usize, head: &str| match number {
        0 => vec![Step::Send(cut.to_owned()), Step::Close],
        _ => vec![Step::Send(complete_answer(head, "200 OK", "fine"))],
    };
    let (one, other) =
        (FakeServer::start("a", breaking_off).await, FakeServer::start("b", breaking_off).await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    let answer = get(gateway.callers, "/safe/x", "r1").await;
    // Both servers break off their first answer, and at most two attempts are allowed.
    assert_eq!((answer.status, total_requests([&one, &other])), (502, 2));
    let answer = get(gateway.callers, "/safe/x", "r2").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "fine"));
}

#[tokio::test]
async fn a_request_that_a_server_did_not_run_is_sent_to_another() {
    let full = FakeServer::start("a", |_, head| {
        vec![Step::Send(complete_answer(head, "503 Full\r\nx-not-run: 1", ""))]
    })
    .await;
    let free = healthy("b").await;
    let gateway = TestGateway::start(&[&full, &free]).await;
    for number in 0..6 {
        let answer = get(gateway.callers, "/once/x", &format!("r{number}")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "fine"));
    }
    assert_eq!(free.requests().len(), 6);
}

/// A router may assume old weights for as long as it receives no reports of the server.
#[tokio::test]
async fn a_request_refused_for_other_weights_is_sent_to_another_server() {
    let renewed = FakeServer::start("a", |_, head| {
        vec![Step::Send(complete_answer(head, "421 No\r\nx-other-weights: 1", ""))]
    })
    .await;
    let other = healthy("b").await;
    let gateway = TestGateway::start(&[&renewed, &other]).await;
    for number in 0..40 {
        let answer = get(gateway.callers, &format!("/once/{number}"), &format!("r{number}")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "fine"));
    }
    assert_eq!(other.requests().len(), 40);
    // No request was sent twice to this server.
    let asked = renewed.requests();
    let lines: BTreeSet<&str> = asked.iter().filter_map(|head| head.lines().next()).collect();
    assert_eq!(lines.len(), asked.len());
}

#[tokio::test]
async fn a_503_is_not_relayed_for_a_request_that_may_have_run() {
    let server =
        FakeServer::start("a", |_, head| vec![Step::Send(complete_answer(head, "503 No", ""))])
            .await;
    let gateway = TestGateway::start(&[&server]).await;
    let answer = get(gateway.callers, "/once/x", "r1").await;
    assert_eq!((answer.status, answer.header("x-seal")), (502, None));
}

/// The server runs the request although a late rejection of an earlier one comes in its place.
#[tokio::test]
async fn an_at_most_once_request_runs_twice_after_the_rejection_of_another_request() {
    let rejections = [
        "HTTP/1.1 503 No\r\nx-id: r0\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 421 No\r\nx-id: r0\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 421 No\r\nx-id: r0\r\nx-other-weights: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    ];
    for rejection in rejections {
        let late = move |_: usize, head: &str| {
            let own = complete_answer(head, "200 OK", "fine");
            vec![Step::Send(rejection.to_owned()), Step::Send(own)]
        };
        let (one, other) = (FakeServer::start("a", late).await, FakeServer::start("b", late).await);
        let gateway = TestGateway::start(&[&one, &other]).await;
        let answer = get(gateway.callers, "/once/x", "r1").await;
        assert_eq!((answer.status, total_requests([&one, &other])), (502, 1), "{rejection}");
    }
}

#[tokio::test]
async fn a_success_without_a_seal_and_an_answer_to_another_request_are_not_relayed() {
    let server = FakeServer::start("a", |number, head| {
        let answer = match number {
            0 => complete_answer(head, "200 OK", "fine").replace("x-seal: s\r\n", ""),
            1 => complete_answer(head, "200 OK", "of another").replace("x-id: r1", "x-id: r0"),
            _ => complete_answer(head, "200 OK", "fine"),
        };
        vec![Step::Send(answer)]
    })
    .await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r0").await.status, 502);
    let crossed = get(gateway.callers, "/once/x", "r1").await;
    assert_eq!((crossed.status, crossed.body.contains("another")), (502, false));
    // The connection of an invalid answer is closed.
    assert_eq!(get(gateway.callers, "/once/x", "r2").await.body, "fine");
    assert_eq!(server.connections(), 3);
}

#[tokio::test]
async fn a_broken_stream_is_resumed_at_another_server_under_its_original_head() {
    let breaking = |name: &'static str| {
        move |_: usize, head: &str| match header(head, "x-last") {
            None => vec![
                Step::Send(stream_head(head, name)),
                Step::Send(event(1)),
                Step::Send(event(2)),
                // A partial event.
                Step::Send(chunk("id: 3\nda")),
                Step::Close,
            ],
            Some(last) => {
                let next = last.parse::<u64>().expect("a number") + 1;
                // The last event is sent again.
                let steps =
                    [stream_head(head, name), event(next - 1), event(next), event(next + 1)];
                steps.into_iter().chain([LAST_CHUNK.to_owned()]).map(Step::Send).collect()
            }
        }
    };
    let one = FakeServer::start("a", breaking("a")).await;
    let other = FakeServer::start("b", breaking("b")).await;
    let gateway = TestGateway::start(&[&one, &other]).await;
    let answer = get(gateway.callers, "/resumable/x", "r1").await;
    assert!(answer.complete, "{answer:?}");
    let numbers: Vec<&str> =
        answer.body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    assert_eq!(numbers, ["1", "2", "3", "4"]);
    let first = if one.requests()[0].contains("x-last") { "b" } else { "a" };
    let first_server = if header(&one.requests()[0], "x-last").is_none() { "a" } else { first };
    assert_eq!(answer.header("x-seal"), Some(first_server));
    assert_eq!(total_requests([&one, &other]), 2);
}

#[tokio::test]
async fn a_broken_stream_that_can_not_be_resumed_ends_incomplete() {
    let server = FakeServer::start("a", |_, head| {
        vec![Step::Send(stream_head(head, "a")), Step::Send(event(1)), Step::Close]
    })
    .await;
    let gateway = TestGateway::start(&[&server]).await;
    let answer = get(gateway.callers, "/stream/x", "r1").await;
    assert_eq!((answer.status, answer.complete), (200, false));
    assert!(answer.body.contains("d1"));
}

#[tokio::test]
async fn a_caller_that_leaves_closes_the_connection_to_its_server() {
    let server = FakeServer::start("a", |_, head| {
        vec![
            Step::Send(stream_head(head, "a")),
            Step::Send(event(1)),
            Step::Wait(Duration::from_secs(10)),
        ]
    })
    .await;
    let gateway = TestGateway::start(&[&server]).await;
    let aborted =
        tokio::time::timeout(Duration::from_millis(300), get(gateway.callers, "/stream/x", "r1"));
    assert!(aborted.await.is_err(), "the stream has not ended");
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(server.abandoned(), 1);
}

/// A server may lose requests while its health checks and connections are good. The loss of an
/// at-most-once request shows only when its caller leaves.
#[tokio::test]
async fn a_server_that_never_answers_is_avoided_once_callers_have_left() {
    let silent = FakeServer::start("a", |_, _| vec![Step::Wait(Duration::from_secs(20))]).await;
    let healthy_server =
        FakeServer::start("b", |_, head| vec![Step::Send(complete_answer(head, "200 OK", "b"))])
            .await;
    let gateway = TestGateway::start(&[&silent, &healthy_server]).await;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..24 {
        let callers = gateway.callers;
        calls.spawn(async move {
            let id = format!("r{number}");
            let call = get(callers, "/once/x", &id);
            tokio::time::timeout(Duration::from_millis(1_200), call).await.is_ok()
        });
    }
    let answered = calls.join_all().await;
    let lost = silent.requests().len();
    assert!(lost >= 6 && answered.contains(&false), "{lost} requests got no answer");
    tokio::time::sleep(Duration::from_millis(100)).await;
    for number in 0..10 {
        let answer = get(gateway.callers, "/once/x", &format!("s{number}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(silent.requests().len(), lost);
}

#[tokio::test]
async fn a_request_ends_at_the_timeout_of_its_route() {
    let server = FakeServer::start("a", |_, _| vec![Step::Wait(Duration::from_secs(10))]).await;
    let gateway = TestGateway::start(&[&server]).await;
    let started = Instant::now();
    let answer = get(gateway.callers, "/hasty/x", "r1").await;
    assert_eq!(answer.status, 504);
    let took = started.elapsed();
    assert!((300..900).contains(&took.as_millis()), "{took:?}");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(server.abandoned(), 1, "the connection to the server is closed");
}

#[tokio::test]
async fn bodies_reach_the_server_and_too_large_ones_are_refused() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    let with = |id: &str, body: &str| {
        format!(
            "{}content-length: {}\r\n\r\n{body}",
            request_head("POST", "/once/x", id),
            body.len()
        )
    };
    assert_eq!(ask(gateway.callers, &with("r1", "hello")).await.status, 200);
    assert_eq!(header(&server.requests()[0], "content-length"), Some("5"));
    let chunked = format!(
        "{}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        request_head("POST", "/once/x", "r2")
    );
    assert_eq!(ask(gateway.callers, &chunked).await.status, 200);
    assert_eq!(header(&server.requests()[1], "content-length"), Some("5"));
    assert_eq!(ask(gateway.callers, &with("r3", &"x".repeat(1_001))).await.status, 413);
    assert_eq!(server.requests().len(), 2);
}

//! Streams whose server is silent for a while, as after a preemption.

use std::time::Duration;

use crate::support::TestGateway;
use crate::support::caller::get;
use crate::support::server::{
    FakeServer, LAST_CHUNK, Step, chunk, complete_answer, event, header, stream_head,
};

/// Longer than the gap after which another server is looked for, and shorter than the route's timeout.
const SILENCE: Duration = Duration::from_millis(2_400);

/// Server whose streams have a long gap, in the middle of an event.
async fn silent_server(name: &'static str) -> FakeServer {
    let script = move |_: usize, head: &str| {
        let second = "id: 2\ndata: d2\n\n";
        let (begin, end) = second.split_at(9);
        vec![
            Step::Send(stream_head(head, name)),
            Step::Send(event(1)),
            Step::Send(chunk(begin)),
            Step::Wait(SILENCE),
            Step::Send(chunk(end)),
            Step::Send(LAST_CHUNK.to_owned()),
        ]
    };
    FakeServer::start(name, script).await
}

// Guards against answers that are ended because their server is silent, although no other one takes over.
#[tokio::test]
async fn a_stream_of_a_silent_server_is_broken_off_without_another_server() {
    let server = silent_server("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    let answer = get(gateway.callers, "/resumable/x", "r1").await;
    assert!(answer.complete && answer.body.contains("d2"), "{answer:?}");
    assert_eq!((server.abandoned(), server.requests().len()), (0, 1));
}

// Guards against the same if all other servers turn the rest away.
#[tokio::test]
async fn a_stream_of_a_silent_server_is_broken_off_if_others_reject_the_rest() {
    let silent = silent_server("a").await;
    let full = FakeServer::start("b", |_, head| {
        vec![Step::Send(complete_answer(head, "503 Full\r\nx-not-run: 1", ""))]
    });
    let full = full.await;
    let gateway = TestGateway::start(&[&silent, &full]).await;
    for number in 0..4 {
        let answer = get(gateway.callers, "/resumable/x", &format!("r{number}")).await;
        assert!(answer.complete && answer.body.contains("d2"), "{answer:?}");
    }
    assert_eq!(silent.abandoned(), 0);
    assert!(full.requests().iter().any(|head| header(head, "x-last") == Some("1")));
}

// Guards against a silent server that keeps a stream which another one could continue.
#[tokio::test]
async fn a_stream_of_a_silent_server_waits_for_it_beside_another_server() {
    let script = |_: usize, head: &str| match header(head, "x-last") {
        None => vec![
            Step::Send(stream_head(head, "s")),
            Step::Send(event(1)),
            Step::Wait(Duration::from_secs(20)),
        ],
        Some(_) => [stream_head(head, "s"), event(2), LAST_CHUNK.to_owned()].map(Step::Send).into(),
    };
    let servers = [FakeServer::start("a", script).await, FakeServer::start("b", script).await];
    let gateway = TestGateway::start(&[&servers[0], &servers[1]]).await;
    let answer = get(gateway.callers, "/resumable/x", "r1").await;
    assert!(answer.complete && answer.body.contains("d2"), "{answer:?}");
    let total = |count: fn(&FakeServer) -> usize| servers.iter().map(count).sum::<usize>();
    assert_eq!(total(|server| server.requests().len()), 2);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(total(FakeServer::abandoned), 1);
}

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

/// Two servers with the same script, and a gateway before them.
async fn pair(script: fn(&str) -> Vec<Step>) -> ([FakeServer; 2], TestGateway) {
    let servers = [
        FakeServer::start("a", move |_, head| script(head)).await,
        FakeServer::start("b", move |_, head| script(head)).await,
    ];
    let gateway = TestGateway::start(&[&servers[0], &servers[1]]).await;
    (servers, gateway)
}

// Guards against events that are lost because they arrive while another server is looked for.
#[tokio::test]
async fn data_that_arrives_during_the_search_for_another_server_is_lost() {
    let (servers, gateway) = pair(|head| match header(head, "x-last") {
        None => vec![
            Step::Send(stream_head(head, "s")),
            Step::Send(event(1)),
            Step::Wait(SILENCE),
            Step::Send(event(2)),
            Step::Send(event(3)),
            Step::Send(LAST_CHUNK.to_owned()),
        ],
        Some(_) => vec![Step::Wait(Duration::from_secs(20))],
    })
    .await;
    let answer = get(gateway.callers, "/resumable/x", "r1").await;
    assert!(answer.complete, "{answer:?}");
    let data: Vec<_> = answer.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(data, ["d1", "d2", "d3"]);
    assert_eq!(servers.iter().map(|server| server.requests().len()).sum::<usize>(), 2);
}

// Guards against a retry that is spent on a silent server which went on by itself.
#[tokio::test]
async fn a_stream_that_was_silent_is_not_resumed_when_it_breaks() {
    let (_servers, gateway) = pair(|head| match header(head, "x-last") {
        None if head.contains("/safe/") => vec![Step::Send(complete_answer(head, "200 OK", ""))],
        None => vec![
            Step::Send(stream_head(head, "s")),
            Step::Send(event(1)),
            Step::Wait(SILENCE),
            Step::Send(event(2)),
            Step::Reset,
        ],
        Some("1") => vec![Step::Send(complete_answer(head, "503 Full\r\nx-not-run: 1", ""))],
        Some(_) => [stream_head(head, "s"), event(3), LAST_CHUNK.to_owned()].map(Step::Send).into(),
    })
    .await;
    // Earns a second retry.
    get(gateway.callers, "/safe/x", "r0").await;
    let answer = get(gateway.callers, "/resumable/x", "r1").await;
    assert!(answer.complete && answer.body.contains("d3"), "{answer:?}");
}

// Guards against a third server for a stream whose rest was being sent to a second one when the silent
// server went on.
#[tokio::test]
async fn a_stream_is_sent_to_more_servers_than_its_route_allows() {
    let (servers, gateway) = pair(|head| match header(head, "x-last") {
        None if head.contains("/safe/") => vec![Step::Send(complete_answer(head, "200 OK", ""))],
        None => vec![
            Step::Send(stream_head(head, "s")),
            Step::Send(event(1)),
            Step::Wait(SILENCE),
            Step::Send(event(2)),
            Step::Wait(Duration::from_millis(100)),
            Step::Reset,
        ],
        Some(_) => vec![Step::Wait(Duration::from_secs(20))],
    })
    .await;
    // Earns a second retry.
    get(gateway.callers, "/safe/x", "r0").await;
    let answer = get(gateway.callers, "/resumable/x", "r1").await;
    assert!(!answer.complete && answer.body.contains("d2"), "{answer:?}");
    let sent = |server: &FakeServer| {
        server.requests().iter().filter(|head| head.contains("/resumable/")).count()
    };
    assert_eq!(servers.iter().map(sent).sum::<usize>(), 2);
}

//! Routers whose own thread doesn't run for longer than they allow a server to be silent.

use std::time::Duration;

use tokio::time::sleep;

use crate::support::caller::get;
use crate::support::router::RouterProcess;
use crate::support::server::{FakeServer, LAST_CHUNK, Step, complete_answer, event, stream_head};

/// Longer than the gap after which another server is looked for, and shorter than the route's timeout.
const STALL: Duration = Duration::from_millis(2_300);

/// Longer than the answer timeout of all routes.
const SHORT_STALL: Duration = Duration::from_millis(1_500);

const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const EVENTS: u64 = 27;

/// Server that sends an event at each interval.
async fn steady_server(name: &str) -> FakeServer {
    FakeServer::start(name, |_, head| {
        let begin = [Step::Send(stream_head(head, "s"))];
        let events =
            (1..=EVENTS).flat_map(|id| [Step::Send(event(id)), Step::Wait(EVENT_INTERVAL)]);
        begin.into_iter().chain(events).chain([Step::Send(LAST_CHUNK.to_owned())]).collect()
    })
    .await
}

/// Server that answers after a fifth of a second.
async fn quick_server(name: &str) -> FakeServer {
    FakeServer::start(name, |_, head| {
        let answer = complete_answer(head, "200 OK", "fine");
        vec![Step::Wait(Duration::from_millis(200)), Step::Send(answer)]
    })
    .await
}

fn total(servers: &[FakeServer], count: fn(&FakeServer) -> usize) -> usize {
    servers.iter().map(count).sum()
}

async fn start_router(servers: &[FakeServer]) -> RouterProcess {
    let router = RouterProcess::start().await;
    for server in servers {
        router.gateway.control.add_server(server.report());
    }
    router.gateway.control.confirm();
    sleep(Duration::from_millis(300)).await;
    router
}

// Guards against servers that count as silent because their router didn't read what they had sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_sent_to_a_second_server_after_a_stall_of_their_router() {
    const STREAMS: usize = 6;
    let servers = [steady_server("a").await, steady_server("b").await];
    let router = start_router(&servers).await;
    let callers = router.gateway.callers;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            tokio::spawn(async move { get(callers, "/resumable/x", &format!("r{number}")).await })
        })
        .collect();
    sleep(Duration::from_millis(250)).await;
    router.freeze(STALL);
    for stream in streams {
        let answer = stream.await.expect("no panic");
        let found = answer.body.matches("data: ").count() as u64;
        assert!(answer.complete && found == EVENTS, "{answer:?}");
    }
    assert_eq!(total(&servers, |server| server.requests().len()), STREAMS);
    assert_eq!(total(&servers, FakeServer::abandoned), 0);
}

// Guards against the same before the first byte of an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_sent_to_a_second_server_after_a_stall_of_their_router() {
    const REQUESTS: usize = 6;
    let servers = [quick_server("a").await, quick_server("b").await];
    let router = start_router(&servers).await;
    let callers = router.gateway.callers;
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            tokio::spawn(async move { get(callers, "/safe/x", &format!("r{number}")).await })
        })
        .collect();
    sleep(Duration::from_millis(100)).await;
    router.freeze(SHORT_STALL);
    for request in requests {
        let answer = request.await.expect("no panic");
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    assert_eq!(total(&servers, |server| server.requests().len()), REQUESTS);
    assert_eq!(total(&servers, FakeServer::abandoned), 0);
}

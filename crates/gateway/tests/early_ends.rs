//! Reasons of answers that end early, in the log. In a process of its own, since a process has one
//! logger.

// This test uses only part of the support module.
#![allow(dead_code)]

#[path = "paths/support/log_lines.rs"]
mod log_lines;
#[path = "paths/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use juniper_gateway::GatewaySettings;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use log_lines::{line, text, value};
use support::caller::{get, request_head};
use support::router::RouterProcess;
use support::server::{
    FakeServer, LAST_CHUNK, Step, chunk, complete_answer, event, header, open_ended_head,
    stream_head,
};
use support::{TestGateway, catalog};

/// Longer than the timeout of the routes.
const FOREVER: Duration = Duration::from_secs(20);

/// Longer than the gap after which another server is looked for, and shorter than the route's timeout.
const SILENCE: Duration = Duration::from_millis(2_300);

/// Grace period whose end comes soon after the end of the drain.
const GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Bytes of an answer that is passed on before its end.
const LONG: usize = 300_000;

/// Ways in which a server fails, by the caller's request id.
fn fail(request: &str) -> Vec<Step> {
    let begin = [Step::Send(stream_head(request, "s")), Step::Send(event(1))];
    let long = complete_answer(request, "200 OK", &"x".repeat(LONG));
    let with = |step: Step| begin.clone().into_iter().chain([step]).collect();
    match (header(request, "x-id").unwrap_or(""), header(request, "x-last")) {
        ("deadline" | "caller", _) => with(Step::Wait(FOREVER)),
        ("broken" | "gap", None) => with(Step::Reset),
        ("gap", Some(_)) => {
            vec![Step::Send(stream_head(request, "s")), Step::Send(event(7)), Step::Wait(FOREVER)]
        }
        ("unnumbered", _) => vec![
            Step::Send(stream_head(request, "s")),
            Step::Send(chunk("data: d\n\n")),
            Step::Reset,
        ],
        ("long", _) => vec![
            Step::Send(long[..long.len() - 1].to_owned()),
            Step::Wait(Duration::from_millis(500)),
            Step::Reset,
        ],
        ("endless", _) => vec![Step::Send(open_ended_head(request)), Step::Pour("x".to_owned())],
        _ => with(Step::Send(LAST_CHUNK.to_owned())),
    }
}

/// Guards against an answer that ends early for a reason that can't be told from the log.
#[tokio::test]
async fn an_answer_that_ends_early_logs_its_reason() {
    log_lines::collect();
    let servers = [
        FakeServer::start("a", |_, request| fail(request)).await,
        FakeServer::start("b", |_, request| fail(request)).await,
    ];
    let gateway = TestGateway::start(&[&servers[0], &servers[1]]).await;
    for (path, id, reason, not_continued) in [
        ("/stream/x", "deadline", "deadline", "not_resumable"),
        ("/stream/x", "broken", "server_broke_off", "attempts_spent"),
        ("/resumable/x", "gap", "missing_events", "not_resumable"),
        ("/resumable/x", "unnumbered", "server_broke_off", "no_position"),
        ("/safe/x", "long", "server_broke_off", "not_resumable"),
        ("/safe/x", "endless", "endless", "not_resumable"),
    ] {
        let answer = get(gateway.callers, path, id).await;
        assert!(answer.status == 200 && !answer.complete, "{id}: {answer:?}");
        let line = line("answer_ended_early", id).await;
        let found = (text(&line, "reason"), text(&line, "not_continued"));
        assert_eq!(found, (Some(reason), Some(not_continued)), "{line}");
        assert_eq!(value(&line, "left_ms") == Some(0), reason == "deadline", "{line}");
    }
    let mut caller = TcpStream::connect(gateway.callers).await.expect("connected");
    let request = format!("{}\r\n", request_head("GET", "/stream/x", "caller"));
    caller.write_all(request.as_bytes()).await.expect("sent");
    line("attempt", "caller").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(caller);
    let line = line("answer_ended_early", "caller").await;
    assert_eq!(text(&line, "reason"), Some("caller_left"), "{line}");
}

// Guards against a caller that is reported to have left although its stream goes on.
#[tokio::test]
async fn a_stream_that_goes_on_after_a_silence_is_logged_as_left_by_its_caller() {
    log_lines::collect();
    let script = |_: usize, head: &str| match header(head, "x-last") {
        None => vec![
            Step::Send(stream_head(head, "s")),
            Step::Send(event(1)),
            Step::Wait(SILENCE),
            Step::Send(event(2)),
            Step::Send(LAST_CHUNK.to_owned()),
        ],
        Some(_) => vec![Step::Wait(FOREVER)],
    };
    let servers = [FakeServer::start("a", script).await, FakeServer::start("b", script).await];
    let gateway = TestGateway::start(&[&servers[0], &servers[1]]).await;
    let answer = get(gateway.callers, "/resumable/x", "silent").await;
    assert!(answer.complete, "{answer:?}");
    line("stream_silent", "silent").await;
    line("request_done", "silent").await;
    let ends = log_lines::lines("request_done", "silent");
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(text(&ends[0], "outcome"), Some("answered"), "{ends:?}");
}

/// Sends a request without reading its answer.
async fn send(callers: SocketAddr, path: &str, id: &str) -> TcpStream {
    let mut caller = TcpStream::connect(callers).await.expect("connected");
    let request = format!("{}\r\n", request_head("GET", path, id));
    caller.write_all(request.as_bytes()).await.expect("sent");
    caller
}

// Guards against requests without an answer whose end isn't logged, or for the wrong reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_ends_without_an_answer_logs_its_reason() {
    log_lines::collect();
    let server = FakeServer::start("a", |_, head| match header(head, "x-id").unwrap_or("") {
        id if id.ends_with("-body") => vec![
            Step::Send(complete_answer(head, "200 OK", "fine").replace("fine", "fi")),
            Step::Wait(FOREVER),
        ],
        id if id.ends_with("-stream") => {
            vec![Step::Send(stream_head(head, "s")), Step::Send(event(1)), Step::Wait(FOREVER)]
        }
        _ => vec![Step::Wait(FOREVER)],
    })
    .await;
    let mut router = RouterProcess::start_gateway(async move {
        let change = |settings: &mut GatewaySettings| settings.grace_period = GRACE_PERIOD;
        TestGateway::start_changed(catalog(), &[&server], change, |_| ()).await.ready().await
    })
    .await;
    let callers = router.gateway.callers;
    for id in ["left-head", "left-body"] {
        let caller = send(callers, "/once/x", id).await;
        line("attempt", id).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        drop(caller);
        let end = line("request_done", id).await;
        assert_eq!(text(&end, "outcome"), Some("caller_left"), "{end}");
    }
    router.stop();
    tokio::time::sleep(GRACE_PERIOD - Duration::from_secs(1)).await;
    let ids = ["aborted-head", "aborted-body", "aborted-stream"];
    let mut open = Vec::new();
    for (id, path) in ids.into_iter().zip(["/once/x", "/once/x", "/stream/x"]) {
        open.push(send(callers, path, id).await);
        line("attempt", id).await;
    }
    router.gateway.wait_until_stopped().await;
    drop(router);
    for id in &ids[..2] {
        let end = line("request_done", id).await;
        assert_eq!(text(&end, "outcome"), Some("aborted"), "{end}");
    }
    let end = line("answer_ended_early", ids[2]).await;
    assert_eq!(text(&end, "reason"), Some("aborted"), "{end}");
    drop(open);
}

//! Reasons of answers that end early, in the log. In a process of its own, since a process has one
//! logger.

// This test uses only part of the support module.
#![allow(dead_code)]

#[path = "paths/support/log_lines.rs"]
mod log_lines;
#[path = "paths/support/mod.rs"]
mod support;

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use log_lines::{line, text, value};
use support::TestGateway;
use support::caller::{get, request_head};
use support::server::{
    FakeServer, LAST_CHUNK, Step, chunk, complete_answer, event, header, open_ended_head,
    stream_head,
};

/// Longer than the timeout of the routes.
const FOREVER: Duration = Duration::from_secs(20);

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

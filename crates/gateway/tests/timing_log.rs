//! Expected and observed times of prompts in the log. In a process of its own, since a process has
//! one logger.

// This test uses only part of the support module.
#![allow(dead_code)]

#[path = "paths/support/log_lines.rs"]
mod log_lines;
#[path = "paths/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use juniper_catalog::EngineProfile;
use tokio::time::sleep;

use log_lines::{line, value};
use support::caller::{ask, request_head};
use support::server::{FakeServer, LAST_CHUNK, Step, event, stream_head};
use support::{TEST_TIMEOUT, TestGateway, catalog};

/// Time until the head, and between the two events. The first event may leave the server up to 40 ms
/// after the head, since the kernel waits for an acknowledgement. On a loaded machine the gateway
/// reads it later still, with 150 ms between the events less than [`MIN_GAP`] before the second one.
const FIRST_EVENT: Duration = Duration::from_millis(80);
const GAP: Duration = Duration::from_millis(600);
const MIN_GAP: Duration = Duration::from_millis(100);

/// Guards against logs from which the error of an expected time can't be told: expected and observed
/// values must belong to the attempt that answered.
#[tokio::test]
async fn answered_prompts_log_expected_and_observed_times() {
    log_lines::collect();
    let script = |_: usize, head: &str| {
        vec![
            Step::Wait(FIRST_EVENT),
            Step::Send(stream_head(head, "seal")),
            Step::Send(event(1)),
            Step::Wait(GAP),
            Step::Send(event(2)),
            Step::Send(LAST_CHUNK.to_owned()),
        ]
    };
    let server = FakeServer::start("a", script).await;
    let mut catalog = catalog();
    catalog.services[0].engine = Some(EngineProfile {
        slots: 8,
        cache_tokens: 100_000,
        token_bytes: 100_000,
        link_mbps: 1_000.0,
        event_calls: 1,
        models: Vec::new(),
    });
    let gateway = TestGateway::start_with_catalog(catalog, &[&server], |control| {
        control.confirm();
    })
    .await;
    // Until the gateway has applied the catalog, requests are refused or the service isn't tight.
    let started_at = Instant::now();
    let (attempt, done) = loop {
        let id = format!("prompt-{}", started_at.elapsed().as_millis());
        let head = request_head("GET", "/stream/x", &id);
        let answer = ask(gateway.callers, &format!("{head}x-prompt: 1000\r\n\r\n")).await;
        if answer.status == 200 {
            let lines = (line("attempt", &id).await, line("request_done", &id).await);
            if value(&lines.1, "expected_pause_ms").is_some() {
                break lines;
            }
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "the gateway becomes ready");
        sleep(Duration::from_millis(20)).await;
    };
    // 50 ms and 10 ms per 1,000 tokens, before the first sample.
    assert_eq!(value(&attempt, "expected_ms"), Some(60), "{attempt}");
    assert_eq!(value(&done, "expected_ms"), Some(60), "{done}");
    let found = value(&done, "found_ms").expect("a first output");
    let first = value(&done, "first_ms").expect("a first event");
    assert!((FIRST_EVENT.as_millis()..=first).contains(&found), "{done}");
    assert_eq!(value(&done, "expected_pause_ms"), Some(40), "{done}");
    assert!(value(&done, "longest_pause_ms") >= Some(MIN_GAP.as_millis()), "{done}");
    // Without a prompt nothing is expected.
    ask(gateway.callers, &format!("{}\r\n", request_head("GET", "/stream/x", "plain"))).await;
    let (attempt, done) = (line("attempt", "plain").await, line("request_done", "plain").await);
    assert!(attempt.contains(" expected_ms=-1"), "{attempt}");
    assert_eq!((value(&done, "expected_ms"), value(&done, "found_ms")), (None, None), "{done}");
}

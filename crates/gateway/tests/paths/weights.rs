//! Servers with several models, whose weights change independently.

use std::time::Duration;

use juniper_protocol::message::{DispatchReport, KnownVersion, RenewalUpdate, RouterUpdate};
use juniper_registry::{InstanceName, StartTime};
use tokio::time::{Instant, sleep};

use crate::support::caller::{Answer, ask, request_head};
use crate::support::server::{FakeServer, Step, complete_answer, header};
use crate::support::{TEST_TIMEOUT, TestGateway, tight_catalog};

/// Versions of the models at the servers. They report version 1 of both.
const VERSIONS: [(&str, u64); 2] = [("m0", 1), ("m1", 2)];

/// Answers a request for a model if it expects the model's version.
fn answer(head: &str) -> String {
    let model = header(head, "x-model").expect("a model");
    let (_, version) = VERSIONS.into_iter().find(|(name, _)| *name == model).expect("known");
    let status = match header(head, "x-expected-weights") {
        Some(expected) if expected != version.to_string() => "421 No\r\nx-other-weights: 1",
        _ => "200 OK",
    };
    complete_answer(head, &format!("{status}\r\nx-weights: {version}"), "fine")
}

async fn start_server(name: &str) -> FakeServer {
    let server = FakeServer::start(name, |_, head| vec![Step::Send(answer(head))]).await;
    server.with_models(&[("m0", 1), ("m1", 1)])
}

async fn prompt(gateway: &TestGateway, model: &str, number: u64) -> Answer {
    let head = request_head("GET", "/safe/x", &format!("{model}-{number}"));
    ask(gateway.callers, &format!("{head}x-model: {model}\r\nx-prompt: {number}\r\n\r\n")).await
}

/// Requests for `model` that are served.
async fn served(gateway: &TestGateway, model: &str) -> usize {
    let mut served = 0;
    for number in 0..10 {
        served += usize::from(prompt(gateway, model, 100 + number).await.status == 200);
    }
    served
}

// Guards against requests for one model that all servers reject, since they expect the version that an
// answer for another model has stated.
#[tokio::test]
async fn an_answer_of_one_model_ends_the_requests_for_another() {
    let (one, other) = (start_server("a").await, start_server("b").await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    for number in 0..8 {
        prompt(&gateway, "m1", number).await;
    }
    assert_eq!(served(&gateway, "m0").await, 10);
    assert_eq!(served(&gateway, "m1").await, 10);
}

// Guards against the same from the version of a model that a replica has seen at a server.
#[tokio::test]
async fn a_version_known_to_a_replica_ends_the_requests_for_another_model() {
    let server = start_server("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    let (model, version) = ("m1".to_owned(), 2);
    let (instance, started) = (InstanceName::new("a"), StartTime::UNKNOWN);
    let known = KnownVersion { instance, model, version, started };
    gateway.control.push_renewals(RenewalUpdate {
        versions: vec![known],
        is_complete: true,
        ..RenewalUpdate::default()
    });
    // Before and after the update arrives.
    for _ in 0..10 {
        assert_eq!(served(&gateway, "m0").await, 10);
        sleep(Duration::from_millis(50)).await;
    }
}

// Guards against the same from an answer that belongs to an earlier request for another model.
#[tokio::test]
async fn a_late_answer_of_one_model_ends_the_requests_for_another() {
    let server = FakeServer::start("a", |number, head| {
        let late = "HTTP/1.1 200 OK\r\nx-id: late\r\nx-seal: s\r\nx-weights: 2\r\n\
                    content-length: 0\r\n\r\n";
        match number {
            0 => vec![Step::Send(late.to_owned()), Step::Close],
            _ => vec![Step::Send(answer(head))],
        }
    });
    let server = server.await.with_models(&[("m0", 1), ("m1", 1)]);
    let gateway = TestGateway::start(&[&server]).await;
    prompt(&gateway, "m0", 1).await;
    assert_eq!(served(&gateway, "m0").await, 10);
}

/// Prompt of many segments that other prompts share.
fn long_prompt(model: &str, id: &str) -> String {
    let segments: Vec<String> = (1..=60).map(|number| number.to_string()).collect();
    let head = request_head("GET", "/safe/x", id);
    format!("{head}x-model: {model}\r\nx-segments: {}\r\n\r\n", segments.join(","))
}

// Guards against routers that don't tell each other which model's segments a server has.
#[tokio::test]
async fn a_router_attributes_the_segments_of_one_model_to_another() {
    let servers = [start_server("a").await, start_server("b").await];
    let refs = [&servers[0], &servers[1]];
    let first = TestGateway::start_with_catalog(tight_catalog(), &refs, |_| ()).await.ready().await;
    assert_eq!(ask(first.callers, &long_prompt("m0", "r1")).await.status, 200);
    let asked = servers.iter().position(|server| !server.requests().is_empty()).expect("one");
    let published = || first.control.published_updates(0);
    let reported = || published().into_iter().flat_map(|update| update.dispatches).next();
    let started = Instant::now();
    while reported().is_none() && started.elapsed() < TEST_TIMEOUT {
        sleep(Duration::from_millis(20)).await;
    }
    // Another router hears that the other server, not the prompt's home, has the segments.
    let elsewhere = ["b", "a"][asked];
    let report = reported().expect("a report");
    assert!(report.model.is_some());
    let report = DispatchReport { instance: InstanceName::new(elsewhere), ..report };
    let second =
        TestGateway::start_with_catalog(tight_catalog(), &refs, |_| ()).await.ready().await;
    let dispatches = vec![report];
    let update = RouterUpdate { dispatches, ..RouterUpdate::default() };
    second.control.send_peer_update(5, "north", update);
    sleep(Duration::from_millis(300)).await;
    // Its first requests for the other model learn the version of the weights.
    for number in 0..8 {
        prompt(&second, "m1", number).await;
    }
    let counts = || [servers[0].requests().len(), servers[1].requests().len()];
    let before = counts();
    assert_eq!(ask(second.callers, &long_prompt("m0", "r2")).await.status, 200);
    assert_eq!(counts()[1 - asked], before[1 - asked] + 1, "not sent to the reported server");
    let before = counts();
    assert_eq!(ask(second.callers, &long_prompt("m1", "r3")).await.status, 200);
    assert_eq!(
        counts()[asked],
        before[asked] + 1,
        "not sent to the home of another model's prompt"
    );
}

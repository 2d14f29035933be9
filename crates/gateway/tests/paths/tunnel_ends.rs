//! Answers through a tunnel whose end only the end of the connection marks: it counts only if the
//! router that forwards the tunnel, the helper, still runs.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use juniper_loopback::unused_address;
use juniper_protocol::message::RouterUpdate;
use juniper_registry::InstanceReport;
use juniper_types::NodeId;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::support::caller::{Answer, ask, request_head};
use crate::support::link::{Link, LinkState};
use crate::support::router::RouterProcess;
use crate::support::server::{FakeServer, Step, open_ended_head};
use crate::support::{TEST_TIMEOUT, TestGateway, catalog};

/// Timeout of all routes and requests, in milliseconds.
const TIMEOUT_MS: u64 = 6_000;

/// Longer than a router that stops accepts callers.
const STOPPING: Duration = Duration::from_millis(3_200);

/// Server whose answers end with their connections, after this time.
async fn open_ended_server(duration: Duration) -> FakeServer {
    FakeServer::start("a", move |_, head| {
        let first = format!("{}id: 1\ndata: d1\n\n", open_ended_head(head));
        vec![Step::Send(first), Step::Wait(duration), Step::Close]
    })
    .await
}

fn internal_address(helper: &RouterProcess) -> SocketAddrV4 {
    let SocketAddr::V4(address) = helper.gateway.internal else { panic!("IPv4") };
    address
}

async fn start_helper(server: &FakeServer) -> RouterProcess {
    let helper = RouterProcess::start().await;
    helper.gateway.control.add_server(server.report());
    helper
}

/// A request of a router that reaches the server only through a helper.
struct TunnelledRequest {
    helper: RouterProcess,
    /// Path to the helper.
    path: Link,
    answer: JoinHandle<Answer>,
    _cut_off: TestGateway,
}

impl TunnelledRequest {
    /// Starts a request and waits until the server has begun to answer.
    async fn start(server: &FakeServer, route: &'static str) -> Self {
        let helper = start_helper(server).await;
        let path = Link::open(internal_address(&helper));
        let mut catalog = catalog();
        catalog.routes.iter_mut().for_each(|route| route.timeout_ms = TIMEOUT_MS);
        let cut_off = TestGateway::start_with_catalog(catalog, &[], |_| ()).await.ready().await;
        // Refuses connections.
        let SocketAddr::V4(address) = unused_address() else { panic!("IPv4") };
        cut_off.control.add_server(InstanceReport { address, ..server.report() });
        let update = RouterUpdate { ended_requests: vec![1], ..RouterUpdate::default() };
        let at = NodeId::of_address(path.address).0;
        cut_off.control.send_peer_update(at, "north", update);
        sleep(Duration::from_millis(150)).await;
        let (callers, earlier) = (cut_off.callers, server.requests().len());
        let head = request_head("GET", route, "r1");
        let head = head.replace("x-deadline: 3000", &format!("x-deadline: {TIMEOUT_MS}"));
        let answer = tokio::spawn(async move { ask(callers, &format!("{head}\r\n")).await });
        while server.requests().len() == earlier {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(100)).await;
        TunnelledRequest { helper, path, answer, _cut_off: cut_off }
    }

    async fn answer(answer: JoinHandle<Answer>) -> Answer {
        let answer = timeout(TEST_TIMEOUT, answer).await.expect("in time").expect("no panic");
        assert_eq!(answer.status, 200, "{answer:?}");
        answer
    }
}

// Guards against whole answers that are broken off because their helper takes a while to confirm them.
#[tokio::test]
async fn a_whole_answer_is_broken_off_if_its_helper_confirms_late() {
    let server = open_ended_server(Duration::from_millis(400)).await;
    for route in ["/stream/x", "/resumable/x", "/safe/x", "/once/x"] {
        let stream = TunnelledRequest::start(&server, route).await;
        stream.path.set(LinkState::SilentToNew);
        sleep(Duration::from_millis(1_500)).await;
        stream.path.set(LinkState::Open);
        let answer = TunnelledRequest::answer(stream.answer).await;
        assert!(answer.complete, "{route}: {answer:?}");
    }
}

// Guards against whole answers that are broken off because their helper is about to stop.
#[tokio::test]
async fn a_whole_answer_is_broken_off_if_its_helper_is_stopping() {
    let server = open_ended_server(STOPPING).await;
    let stream = TunnelledRequest::start(&server, "/stream/x").await;
    stream.helper.stop();
    sleep(STOPPING - Duration::from_millis(300)).await;
    stream.path.set(LinkState::SilentToNew);
    sleep(Duration::from_millis(600)).await;
    stream.path.set(LinkState::Open);
    let answer = TunnelledRequest::answer(stream.answer).await;
    assert!(answer.complete, "{answer:?}");
}

// Guards against an answer that looks whole because another process confirms it in place of its helper.
#[tokio::test]
async fn an_answer_looks_complete_after_its_helper_was_restarted() {
    let server = open_ended_server(TEST_TIMEOUT).await;
    let stream = TunnelledRequest::start(&server, "/stream/x").await;
    let restarted = start_helper(&server).await;
    stream.path.redirect(internal_address(&restarted));
    drop(stream.helper);
    let answer = TunnelledRequest::answer(stream.answer).await;
    assert!(!answer.complete, "{answer:?}");
}

// Guards against a helper without power that is asked beyond the deadline of the request.
#[tokio::test]
async fn an_answer_looks_complete_although_its_helper_never_confirms() {
    let server = open_ended_server(Duration::from_millis(400)).await;
    let stream = TunnelledRequest::start(&server, "/stream/x").await;
    stream.path.set(LinkState::SilentToNew);
    let answer = TunnelledRequest::answer(stream.answer).await;
    assert!(!answer.complete, "{answer:?}");
}

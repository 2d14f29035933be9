//! Exchange of unreachable servers, dispatch reports and ends of requests between routers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use juniper_protocol::message::{Reachability, RouterUpdate};
use juniper_registry::{InstanceName, InstanceReport, StartTime};
use socket2::{Domain, Socket, Type};

use crate::support::caller::get;
use crate::support::server::healthy;
use crate::support::{TEST_TIMEOUT, TestGateway, loopback};

/// Report of a server whose port is bound but not listened on, so that connections are refused and
/// no server of another test takes the port. The socket has to be kept.
async fn refusing_server(name: &str) -> (InstanceReport, Socket) {
    let bound = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    bound.bind(&SocketAddr::V4(loopback(0)).into()).expect("a port");
    let address = bound.local_addr().expect("bound").as_socket_ipv4().expect("IPv4");
    let report = healthy(name).await.report();
    (InstanceReport { name: InstanceName::new(name), address, ..report }, bound)
}

fn unreachable_update(server: &str) -> RouterUpdate {
    let instance = InstanceName::new(server);
    let reachability = vec![Reachability { instance, reached: false, started: StartTime::UNKNOWN }];
    RouterUpdate { reachability, ..RouterUpdate::default() }
}

/// Sends the reports of two routers that the server is unreachable.
async fn report_unreachable(gateway: &TestGateway, server: &str) {
    gateway.control.send_peer_update(1, "north", unreachable_update(server));
    gateway.control.send_peer_update(2, "north", unreachable_update(server));
    tokio::time::sleep(Duration::from_millis(50)).await;
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn an_unreachable_server_is_published_after_each_probe() {
    let reachable = healthy("up").await;
    let gateway = TestGateway::start(&[&reachable]).await;
    let (down, _bound) = refusing_server("down").await;
    gateway.control.add_server(down);
    tokio::time::sleep(Duration::from_millis(50)).await;
    for number in 0..12 {
        let answer = get(gateway.callers, "/once/x", &format!("r{number}")).await;
        assert_eq!(answer.status, 200);
    }
    let published = || gateway.control.published_reachability();
    wait_for("published repeatedly", || published().len() >= 2).await;
    let expected = Reachability {
        instance: InstanceName::new("down"),
        reached: false,
        started: StartTime::UNKNOWN,
    };
    assert!(published().iter().all(|report| *report == expected), "{:?}", published());
}

/// Guards against reports of a router that is cut off from all servers.
#[tokio::test]
async fn a_router_that_reaches_no_server_publishes_none_as_unreachable() {
    let gateway = TestGateway::start(&[]).await;
    let mut bound = Vec::new();
    for name in ["a", "b", "c"] {
        let (report, socket) = refusing_server(name).await;
        gateway.control.add_server(report);
        bound.push(socket);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    for number in 0..4 {
        assert_eq!(get(gateway.callers, "/once/x", &format!("r{number}")).await.status, 503);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(gateway.control.published_reachability(), []);
}

/// Guards against load and cached prefixes that other routers attribute to a server which got nothing.
#[tokio::test]
async fn requests_that_were_not_sent_are_published_as_dispatched() {
    let gateway = TestGateway::start(&[]).await;
    let (down, _bound) = refusing_server("down").await;
    gateway.control.add_server(down);
    tokio::time::sleep(Duration::from_millis(50)).await;
    for number in 0..4 {
        assert_eq!(get(gateway.callers, "/once/x", &format!("r{number}")).await.status, 503);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(gateway.control.published_dispatches(), []);
}

#[tokio::test]
async fn a_server_that_other_routers_can_not_reach_gets_no_requests() {
    let reachable = healthy("up").await;
    let gateway = TestGateway::start(&[&reachable]).await;
    let (down, _bound) = refusing_server("down").await;
    gateway.control.add_server(down);
    tokio::time::sleep(Duration::from_millis(50)).await;
    report_unreachable(&gateway, "down").await;
    for number in 0..24 {
        let answer = get(gateway.callers, "/once/x", &format!("r{number}")).await;
        assert_eq!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(reachable.requests().len(), 24);
    assert_eq!(gateway.control.published_reachability(), [], "no request has tried it");
}

/// Guards against reports of routers whose own paths are at fault.
#[tokio::test]
async fn a_server_that_a_router_reaches_is_excluded_by_reports() {
    let (one, other) = (healthy("a").await, healthy("b").await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    for _ in 0..2 {
        report_unreachable(&gateway, "a").await;
        // Longer than the time within which a probe of this router verifies the reports.
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    for number in 0..12 {
        let answer = get(gateway.callers, "/once/x", &format!("r{number}")).await;
        assert_eq!(answer.status, 200);
    }
    assert!(!one.requests().is_empty(), "{:?}", other.requests().len());
    assert!(gateway.control.published_reachability().iter().all(|report| report.reached));
}

/// Servers without prompts get congested too, while each router sends them only a few requests.
#[tokio::test]
async fn the_dispatch_and_end_of_a_request_without_a_prompt_are_published() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r1").await.status, 200);
    wait_for("published", || !gateway.control.published_dispatches().is_empty()).await;
    assert_eq!(gateway.control.published_dispatches(), [server.report().name]);
    wait_for("its end is published", || !gateway.control.published_completions().is_empty()).await;
    assert_eq!(gateway.control.published_completions(), [server.report().name]);
}

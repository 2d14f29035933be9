//! Routers tell each other which servers are down, and what they send to those that work.

use std::time::{Duration, Instant};

use juniper_protocol::message::{Reachability, RouterUpdate};
use juniper_registry::{InstanceName, InstanceReport, StartTime};

use crate::support::caller::get;
use crate::support::server::{FakeServer, good};
use crate::support::{PATIENCE, TestGateway, loopback};

/// A server that nothing listens for. The port is bound and dropped, so it is free.
async fn dead(name: &str) -> InstanceReport {
    let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let port = free.local_addr().expect("bound").port();
    InstanceReport {
        name: InstanceName::new(name),
        address: loopback(port),
        ..good(name).await.report()
    }
}

fn down(server: &FakeServer) -> RouterUpdate {
    let instance = server.report().name;
    let reachability = vec![Reachability { instance, reached: false, started: StartTime::UNKNOWN }];
    RouterUpdate { reachability, ..RouterUpdate::default() }
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_server_that_can_not_be_reached_is_told_of_and_again_with_each_probe() {
    let gateway = TestGateway::start(&[]).await;
    gateway.control.hear(dead("down").await);
    let answer = get(gateway.callers, "/once/x", "r1").await;
    assert_eq!(answer.status, 503);
    let told = || gateway.control.told_reachability();
    wait_for("told, and told again", || told().len() >= 2).await;
    let expected = Reachability {
        instance: InstanceName::new("down"),
        reached: false,
        started: StartTime::UNKNOWN,
    };
    assert!(told().iter().all(|told| *told == expected), "{:?}", told());
}

#[tokio::test]
async fn a_server_that_other_routers_can_not_reach_gets_no_request() {
    let (one, other) = (good("a").await, good("b").await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    gateway.control.relay(1, "north", down(&one));
    gateway.control.relay(2, "north", down(&one));
    tokio::time::sleep(Duration::from_millis(100)).await;
    for number in 0..12 {
        let answer = get(gateway.callers, "/once/x", &format!("r{number}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!((one.requests().len(), other.requests().len()), (0, 12));
}

/// Servers without prompts are crowded too, and no router sends them more than a few requests.
#[tokio::test]
async fn a_request_without_a_prompt_is_told_of_and_so_is_its_end() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get(gateway.callers, "/once/x", "r1").await.status, 200);
    wait_for("told", || !gateway.control.told_sightings().is_empty()).await;
    assert_eq!(gateway.control.told_sightings(), [server.report().name]);
    wait_for("its end told", || !gateway.control.told_ends().is_empty()).await;
    assert_eq!(gateway.control.told_ends(), [server.report().name]);
}

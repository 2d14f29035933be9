//! Servers that crash if they have to reject more than a few requests per second.

use std::time::Duration;

use juniper_protocol::message::{BrittleServiceUpdate, RouterUpdate};
use juniper_registry::InstanceName;
use tokio::time::sleep;

use crate::support::TestGateway;
use crate::support::caller::get;
use crate::support::server::{FakeServer, Step, complete_answer, healthy};

/// Starts a server that rejects all requests for want of room.
async fn full_server(name: &str, tolerance: &'static str) -> FakeServer {
    FakeServer::start(name, move |_, head| {
        let status = format!("503 Full\r\nx-not-run: 1\r\nx-brittle: {tolerance}");
        vec![Step::Send(complete_answer(head, &status, "full"))]
    })
    .await
}

async fn ask_repeatedly(gateway: &TestGateway, count: usize) {
    for number in 0..count {
        assert_eq!(get(gateway.callers, "/safe/x", &format!("r{number}")).await.status, 200);
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_brittle_server_that_rejects_requests_gets_more_of_them() {
    let (full, other) = (full_server("a", "2").await, healthy("b").await);
    let gateway = TestGateway::start(&[&full, &other]).await;
    ask_repeatedly(&gateway, 40).await;
    assert_eq!(full.requests().len(), 1, "no further one within a second");
    let published = gateway.control.published_brittle();
    let rejecting = |update: &BrittleServiceUpdate| {
        update.tolerance == 2 && update.rejecting == [InstanceName::new("a")]
    };
    assert!(published.iter().any(rejecting), "{published:?}");
}

#[tokio::test]
async fn a_brittle_server_that_rejected_another_routers_request_gets_more_of_them() {
    let (full, other) = (full_server("a", "2").await, healthy("b").await);
    let gateway = TestGateway::start(&[&full, &other]).await;
    let update = BrittleServiceUpdate {
        service: "app".to_owned(),
        tolerance: 2,
        rejecting: vec![InstanceName::new("a")],
    };
    let update = RouterUpdate { brittle_services: Some(vec![update]), ..RouterUpdate::default() };
    gateway.control.send_peer_update(1, "south", update);
    sleep(Duration::from_millis(100)).await;
    ask_repeatedly(&gateway, 30).await;
    assert_eq!(full.requests().len(), 0);
}

/// An unreadable tolerance has no effect on traffic.
#[tokio::test]
async fn a_server_with_an_unreadable_tolerance_is_used_as_before() {
    let (full, other) = (full_server("a", "many").await, healthy("b").await);
    let gateway = TestGateway::start(&[&full, &other]).await;
    ask_repeatedly(&gateway, 40).await;
    assert!(full.requests().len() > 1);
    assert_eq!(gateway.control.published_brittle(), []);
}

//! A server resets connections beyond its maximum, so each router may open only its share. A
//! minimum of two per router would exceed the maximum if there are many routers.

use std::time::Duration;

use crate::support::TestGateway;
use crate::support::caller::get;
use crate::support::server::{FakeServer, Step, complete_answer};

/// Connections that the test service accepts from all routers together.
const MAX_CONNECTIONS: u32 = 50;

/// Number of routers for which a router's share is between one and two connections.
const ROUTERS: u32 = 30;

async fn slow(name: &str) -> FakeServer {
    FakeServer::start(name, |_, head| {
        vec![
            Step::Wait(Duration::from_millis(200)),
            Step::Send(complete_answer(head, "200 OK", "fine")),
        ]
    })
    .await
}

#[tokio::test]
async fn all_routers_together_open_no_more_connections_than_a_server_accepts() {
    let server = slow("a").await;
    let gateway = TestGateway::start_with(&[&server], |control| {
        control.set_routers(ROUTERS);
        control.confirm();
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ids = ["r1", "r2", "r3", "r4", "r5", "r6"];
    let requests = ids.map(|id| get(gateway.callers, "/once/x", id));
    let answers = run_concurrently(requests).await;
    let open = u32::try_from(server.connections()).expect("a few");
    assert!(open >= 1 && answers.contains(&200), "{open} {answers:?}");
    assert!(open * ROUTERS <= MAX_CONNECTIONS, "{open} connections of each of {ROUTERS} routers");
}

/// Runs the requests concurrently and returns the statuses of their answers.
async fn run_concurrently<F>(requests: impl IntoIterator<Item = F>) -> Vec<u16>
where
    F: Future<Output = crate::support::caller::Answer> + Send + 'static,
{
    let mut tasks = tokio::task::JoinSet::new();
    for request in requests {
        tasks.spawn(request);
    }
    tasks.join_all().await.into_iter().map(|answer| answer.status).collect()
}

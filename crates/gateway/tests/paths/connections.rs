//! A server accepts so many connections from all routers together and resets what goes beyond. Each
//! router kept to its part, and to two at least: 985 routers might open 1,970 to a server that
//! accepts 1,800, and no router could know that the others did.

use std::time::Duration;

use crate::support::TestGateway;
use crate::support::caller::get;
use crate::support::server::{FakeServer, Step, whole};

/// Connections that the test's service accepts from all routers.
const ACCEPTED: u32 = 50;

/// Routers of which each has a part between one and two connections.
const ROUTERS: u32 = 30;

async fn slow(name: &str) -> FakeServer {
    FakeServer::start(name, |_, head| {
        vec![Step::Wait(Duration::from_millis(200)), Step::Send(whole(head, "200 OK", "fine"))]
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
    let calls = ids.map(|id| get(gateway.callers, "/once/x", id));
    let answers = statuses_of(calls).await;
    let opened = u32::try_from(server.connections()).expect("a few");
    assert!(opened >= 1 && answers.contains(&200), "{opened} {answers:?}");
    assert!(opened * ROUTERS <= ACCEPTED, "{opened} of each of {ROUTERS} routers");
}

/// The statuses of answers that are waited for side by side.
async fn statuses_of<F>(calls: impl IntoIterator<Item = F>) -> Vec<u16>
where
    F: Future<Output = crate::support::caller::Answer> + Send + 'static,
{
    let mut tasks = tokio::task::JoinSet::new();
    for call in calls {
        tasks.spawn(call);
    }
    tasks.join_all().await.into_iter().map(|answer| answer.status).collect()
}

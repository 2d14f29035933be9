//! Relay of router updates between routers.

use juniper_protocol::message::{Reachability, RelayedUpdate, RouterUpdate};
use juniper_protocol::{Connection, Message, Push, Reply, Request, connect};
use juniper_registry::{InstanceName, StartTime};
use juniper_types::NodeId;
use tokio::time::{Duration, timeout};

use crate::support::cluster::Cluster;
use crate::support::{TEST_TIMEOUT, key, router_identity};

/// Time within which a sent update would have arrived.
const DELIVERY_TIME: Duration = Duration::from_millis(400);

/// Router connected to one replica.
struct Router(Connection);

impl Router {
    async fn connect(cluster: &Cluster, replica: usize, node: u64) -> Self {
        let address = cluster.settings[replica].internal;
        Router(connect(address, &key(), &router_identity(node)).await.expect("connect"))
    }

    async fn call(&mut self, request: Request) {
        let message = Message::Request { call: 1, request };
        self.0.writer.send(&message).await.expect("send the message");
        let done = async {
            loop {
                match self.0.reader.receive().await.expect("a message") {
                    Message::Reply { reply, .. } => return assert_eq!(reply, Reply::Done),
                    _ => continue,
                }
            }
        };
        timeout(TEST_TIMEOUT, done).await.expect("a reply in time");
    }

    async fn subscribed(cluster: &Cluster, replica: usize, node: u64) -> Self {
        let mut router = Self::connect(cluster, replica, node).await;
        router.call(Request::RelayRouterUpdates { enabled: true }).await;
        router
    }

    async fn send(&mut self, update: RouterUpdate) {
        self.0.writer.send(&Message::RouterUpdate(update)).await.expect("send the message");
    }

    /// Receives relayed updates for `time`.
    async fn received(&mut self, time: Duration) -> Vec<RelayedUpdate> {
        let mut received = Vec::new();
        let receive = async {
            loop {
                match self.0.reader.receive().await.expect("a message") {
                    Message::RelayedUpdate(updates) => received.extend(updates),
                    Message::Push(Push::Fleet(_) | Push::Instances { .. }) => {}
                    other => panic!("{other:?}"),
                }
            }
        };
        let Err(_elapsed) = timeout(time, receive).await;
        received
    }
}

fn unreachable(instance: &str) -> RouterUpdate {
    let instance = InstanceName::new(instance);
    let reachability = vec![Reachability { instance, reached: false, started: StartTime::UNKNOWN }];
    RouterUpdate { reachability, ..RouterUpdate::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn update_is_delivered_once_to_the_subscribers_of_all_replicas() {
    let cluster = Cluster::start().await;
    let mut sender = Router::subscribed(&cluster, 0, 101).await;
    let mut near = Router::subscribed(&cluster, 0, 102).await;
    let mut far = Router::subscribed(&cluster, 1, 103).await;
    let mut follower = Router::connect(&cluster, 2, 104).await;
    follower.call(Request::Follow).await;
    // Replicas are connected to each other since the election.
    sender.send(unreachable("i-1")).await;
    for router in [&mut near, &mut far] {
        let received = router.received(DELIVERY_TIME).await;
        let updates: Vec<_> =
            received.iter().map(|relayed| (relayed.from, &relayed.update)).collect();
        assert_eq!(updates, [(NodeId(101), &unreachable("i-1"))]);
    }
    assert_eq!(follower.received(DELIVERY_TIME).await, [], "update without a subscription");
    cluster.stop_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unsubscribed_router_gets_no_updates() {
    let cluster = Cluster::start().await;
    let mut sender = Router::connect(&cluster, 0, 101).await;
    let mut router = Router::subscribed(&cluster, 0, 102).await;
    sender.send(unreachable("i-1")).await;
    assert_eq!(router.received(DELIVERY_TIME).await.len(), 1);
    router.call(Request::RelayRouterUpdates { enabled: false }).await;
    sender.send(unreachable("i-2")).await;
    assert_eq!(router.received(DELIVERY_TIME).await, []);
    cluster.stop_all().await;
}

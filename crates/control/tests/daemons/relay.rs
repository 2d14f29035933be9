//! What routers tell each other goes through one replica for each of them.

use juniper_protocol::message::{Reachability, RelayedUpdate, RouterUpdate};
use juniper_protocol::{Connection, Message, Push, Reply, Request, connect};
use juniper_registry::{InstanceName, StartTime};
use juniper_types::NodeId;
use tokio::time::{Duration, timeout};

use crate::support::group::Group;
use crate::support::{PATIENCE, key, router_identity};

/// Time in which what was told would have come.
const LONG_AFTER: Duration = Duration::from_millis(400);

/// A router that is connected to one replica.
struct Router(Connection);

impl Router {
    async fn at(group: &Group, replica: usize, node: u64) -> Self {
        let address = group.settings[replica].internal;
        Router(connect(address, &key(), &router_identity(node)).await.expect("it is taken in"))
    }

    async fn call(&mut self, request: Request) {
        let message = Message::Request { call: 1, request };
        self.0.writer.send(&message).await.expect("it is sent");
        let done = async {
            loop {
                match self.0.reader.receive().await.expect("a message") {
                    Message::Reply { reply, .. } => return assert_eq!(reply, Reply::Done),
                    _ => continue,
                }
            }
        };
        timeout(PATIENCE, done).await.expect("a reply in time");
    }

    async fn listening(group: &Group, replica: usize, node: u64) -> Self {
        let mut router = Self::at(group, replica, node).await;
        router.call(Request::RelayRouterUpdates { enabled: true }).await;
        router
    }

    async fn tell(&mut self, news: RouterUpdate) {
        self.0.writer.send(&Message::RouterUpdate(news)).await.expect("it is sent");
    }

    /// What comes within `time` and was told by a router.
    async fn heard(&mut self, time: Duration) -> Vec<RelayedUpdate> {
        let mut heard = Vec::new();
        let receive = async {
            loop {
                match self.0.reader.receive().await.expect("a message") {
                    Message::RelayedUpdate(told) => heard.extend(told),
                    Message::Push(Push::Fleet(_) | Push::Instances { .. }) => {}
                    other => panic!("{other:?}"),
                }
            }
        };
        let Err(_elapsed) = timeout(time, receive).await;
        heard
    }
}

fn down(instance: &str) -> RouterUpdate {
    let instance = InstanceName::new(instance);
    let reachability = vec![Reachability { instance, reached: false, started: StartTime::UNKNOWN }];
    RouterUpdate { reachability, ..RouterUpdate::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_a_router_tells_comes_once_to_those_who_listen_at_any_replica() {
    let group = Group::start().await;
    let mut teller = Router::listening(&group, 0, 101).await;
    let mut near = Router::listening(&group, 0, 102).await;
    let mut far = Router::listening(&group, 1, 103).await;
    let mut follower = Router::at(&group, 2, 104).await;
    follower.call(Request::Follow).await;
    // The links between replicas stand since they vote for each other.
    teller.tell(down("i-1")).await;
    for router in [&mut near, &mut far] {
        let heard = router.heard(LONG_AFTER).await;
        let told: Vec<_> = heard.iter().map(|told| (told.from, &told.update)).collect();
        assert_eq!(told, [(NodeId(101), &down("i-1"))]);
    }
    assert_eq!(follower.heard(LONG_AFTER).await, [], "it didn't ask for it");
    group.stop_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_listens_no_longer_gets_nothing() {
    let group = Group::start().await;
    let mut teller = Router::at(&group, 0, 101).await;
    let mut router = Router::listening(&group, 0, 102).await;
    teller.tell(down("i-1")).await;
    assert_eq!(router.heard(LONG_AFTER).await.len(), 1);
    router.call(Request::RelayRouterUpdates { enabled: false }).await;
    teller.tell(down("i-2")).await;
    assert_eq!(router.heard(LONG_AFTER).await, []);
    group.stop_all().await;
}

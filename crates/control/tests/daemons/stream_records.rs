//! Records of streams reach all replicas of a group that has more of them than may vote.

use juniper_protocol::message::RouterUpdate;
use juniper_protocol::{Connection, Message, Reply, Request, connect};
use juniper_registry::SoftwareVersion;
use juniper_stream_origins::{StreamOrigin, StreamRecord};
use juniper_types::StreamKey;
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::seeded::{Deployment, Seeded, wait_for};
use crate::support::{TEST_TIMEOUT, key, router_identity};

/// Replicas that join the three founders.
const JOINING: usize = 9;

const STREAM: StreamKey = StreamKey([7; 16]);

fn record(version: &str) -> StreamRecord {
    let software = SoftwareVersion::new(version).expect("a version");
    StreamRecord { stream: STREAM, origin: StreamOrigin { service: "app".to_owned(), software } }
}

async fn connect_router(replica: &Seeded, node: u64) -> Connection {
    connect(replica.settings.internal, &key(), &router_identity(node)).await.expect("connect")
}

async fn publish(router: &mut Connection, record: StreamRecord) {
    let update = RouterUpdate { stream_records: Some(vec![record]), ..RouterUpdate::default() };
    router.writer.send(&Message::RouterUpdate(update)).await.expect("send the record");
}

async fn find_origin(router: &mut Connection) -> Option<StreamOrigin> {
    let request = Request::FindStreamOrigin { stream: STREAM };
    router.writer.send(&Message::Request { call: 1, request }).await.expect("send the call");
    let answered = async {
        loop {
            if let Message::Reply { reply: Reply::StreamOrigin(origin), .. } =
                router.reader.receive().await.expect("a message")
            {
                return origin;
            }
        }
    };
    timeout(TEST_TIMEOUT, answered).await.expect("a reply in time")
}

/// Asks every replica until it returns `expected`.
async fn check_all(replicas: &[Seeded], expected: Option<StreamOrigin>) {
    for (index, replica) in replicas.iter().enumerate() {
        let (mut router, asked_at) = (connect_router(replica, 200).await, Instant::now());
        while find_origin(&mut router).await != expected {
            assert!(asked_at.elapsed() < TEST_TIMEOUT, "replica {index} of {}", replicas.len());
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_record_of_a_stream_is_known_only_to_some_of_twelve_replicas() {
    let (deployment, mut replicas) = Deployment::found().await;
    for _ in 0..JOINING {
        let (settings, listeners) = deployment.new_replica(false).await;
        replicas.push(Seeded::start(settings, listeners));
    }
    let size = replicas.len();
    wait_for("all replicas are members", || replicas.iter().all(|it| it.members() == size)).await;
    let last = replicas.last().expect("twelve replicas");
    let mut router = connect_router(last, 100).await;
    publish(&mut router, record("v1")).await;
    check_all(&replicas, Some(record("v1").origin)).await;
    // Two records that disagree cancel each other.
    publish(&mut router, record("v2")).await;
    check_all(&replicas, None).await;
}

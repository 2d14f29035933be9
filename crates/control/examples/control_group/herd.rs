//! Time for many nodes starting at once to get a settings tree of 31,000 tenants.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use juniper_protocol::{Message, PeerRole, Push, Refusal, Reply, Request, connect};
use juniper_settings::ApiKeyHash;
use juniper_types::Revision;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::cluster::{Cluster, identity, key};
use crate::report;

const TENANTS: usize = 31_000;
const TENANTS_A_CHANGE: usize = 1_000;

/// Delay after a lost connection: that of a router, without the jitter.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

fn tenant(number: usize) -> Value {
    let hash = ApiKeyHash::of(&number.to_string());
    let path = format!("/zone-1/tenant-{number}");
    json!({ "edit": "put", "path": path, "node": { "api_keys": [hash] } })
}

async fn add_tenants(cluster: &Cluster) {
    let leader = cluster.leader().await;
    for base in 0..TENANTS / TENANTS_A_CHANGE {
        let first = base * TENANTS_A_CHANGE;
        let mut edits = vec![json!({ "edit": "put", "path": "/zone-1", "node": {} })];
        edits.extend((first..first + TENANTS_A_CHANGE).map(tenant));
        let change = json!({
            "base_revision": base, "change_id": format!("c{base}"), "edits": edits,
        });
        let answer = cluster.post(leader, "/v1/settings/changes", &change).await;
        assert!(answer.is_some(), "the change is accepted");
    }
}

pub async fn measure(replicas: usize, subscribers: usize) {
    let cluster = Cluster::start(replicas).await;
    add_tenants(&cluster).await;
    let begin = Instant::now();
    let start = |number: usize| {
        let address = cluster.replicas[number % replicas].internal;
        tokio::spawn(subscribe_until_current(address, 1_000 + number as u64))
    };
    let nodes: Vec<_> = (0..subscribers).map(start).collect();
    let (mut times, mut refusals) = (Vec::new(), 0);
    for node in nodes {
        let (refused, arrived) = node.await.expect("a node gets its settings");
        refusals += refused;
        times.push(arrived - begin);
    }
    println!("{subscribers} nodes at once: {refusals} subscriptions refused");
    report("settings of 31,000 tenants in force after", times);
}

/// Retries a subscription until the settings tree has arrived. Returns the number of refusals and the
/// time of arrival.
async fn subscribe_until_current(address: SocketAddr, node: u64) -> (usize, Instant) {
    let mut refused = 0;
    loop {
        match subscribe_once(address, node).await {
            Ok(()) => return (refused, Instant::now()),
            Err(delay) => {
                refused += 1;
                sleep(delay).await;
            }
        }
    }
}

async fn subscribe_once(address: SocketAddr, node: u64) -> Result<(), Duration> {
    let own = identity(node, PeerRole::Router);
    let connected = connect(address, &key(), &own).await;
    let mut connection = connected.map_err(|_| RECONNECT_DELAY)?;
    let request = Request::Subscribe { from: Revision(0) };
    let frame = Message::Request { call: 0, request };
    connection.writer.send(&frame).await.map_err(|_| RECONNECT_DELAY)?;
    loop {
        match connection.reader.receive().await.map_err(|_| RECONNECT_DELAY)? {
            Message::Push(Push::Snapshot { .. }) => return Ok(()),
            Message::Reply {
                reply: Reply::Refused(Refusal::Overloaded { retry_after_ms }),
                ..
            } => return Err(Duration::from_millis(retry_after_ms)),
            _ => {}
        }
    }
}

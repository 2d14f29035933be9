//! Time from sending a change to its arrival at all subscribers, commit included.
//!
//! Subscribers decode a push and report it as applied at once; a router also writes it to disk.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use juniper_protocol::{Message, PeerRole, Push, Request, connect};
use juniper_types::Revision;
use serde_json::json;
use tokio::sync::mpsc;

use crate::cluster::{Cluster, identity, key, wait_for};
use crate::report;

const CHANGES: u64 = 100;
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);

pub async fn measure(replicas: usize, subscribers: usize) {
    let cluster = Cluster::start(replicas).await;
    let (arrived, mut arrivals) = mpsc::unbounded_channel();
    for number in 0..subscribers {
        let address = cluster.replicas[number % replicas].internal;
        tokio::spawn(subscribe(address, 1_000 + number as u64, arrived.clone()));
    }
    wait_for(async || {
        let nodes = cluster.get(0, "/v1/nodes").await?;
        (nodes["nodes"].as_array()?.len() == subscribers).then_some(())
    })
    .await;
    let mut sent = HashMap::new();
    for base in 0..CHANGES {
        let node = json!({ "overrides": { "priority": base % 9 } });
        let edits = [json!({ "edit": "put", "path": "/zone-1", "node": node })];
        let change = json!({
            "base_revision": base, "change_id": format!("c{base}"), "edits": edits,
        });
        let at = base as usize % replicas;
        sent.insert(Revision(base + 1), Instant::now());
        let answer = cluster.post(at, "/v1/settings/changes", &change).await;
        assert!(answer.is_some(), "the change is accepted");
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    let (mut each, mut last): (Vec<Duration>, HashMap<Revision, Duration>) = Default::default();
    for _ in 0..CHANGES as usize * subscribers {
        let (revision, at): (Revision, Instant) = arrivals.recv().await.expect("every arrival");
        let delay = at.saturating_duration_since(sent[&revision]);
        each.push(delay);
        let slowest = last.entry(revision).or_default();
        *slowest = delay.max(*slowest);
    }
    report(&format!("sent to in force, {subscribers} subscribers, each"), each);
    report("sent to in force, the last subscriber", last.into_values().collect());
}

async fn subscribe(
    address: SocketAddr,
    node: u64,
    arrived: mpsc::UnboundedSender<(Revision, Instant)>,
) {
    let own = identity(node, PeerRole::Router);
    let mut connection = connect(address, &key(), &own).await.expect("a connection");
    let request = Request::Subscribe { from: Revision(0) };
    connection.writer.send(&Message::Request { call: 0, request }).await.expect("subscribed");
    let mut call = 0;
    while let Ok(message) = connection.reader.receive().await {
        let Message::Push(Push::Delta(delta)) = message else { continue };
        arrived.send((delta.revision, Instant::now())).expect("the measurement runs");
        call += 1;
        let request = Request::InForce { revision: delta.revision };
        connection.writer.send(&Message::Request { call, request }).await.expect("a report");
    }
}

//! Latency of single commits, and throughput of claims at full load.

use std::time::{Duration, Instant};

use juniper_protocol::PeerRole;
use serde_json::json;

use crate::client::{claim, run};
use crate::cluster::Cluster;
use crate::report;

const SAMPLES: u64 = 2_000;

/// Number of settings changes, below the burst allowed by the rate limit on settings writes.
const SETTINGS_SAMPLES: u64 = 200;

const CONNECTIONS: u64 = 8;
const WINDOW: usize = 64;
const LOAD: Duration = Duration::from_secs(5);

pub async fn one_at_a_time(replicas: usize) {
    let cluster = Cluster::start(replicas).await;
    let leader = cluster.leader().await;
    let address = cluster.replicas[leader].internal;
    let deadline = Instant::now() + Duration::from_secs(600);
    let requests = (0..SAMPLES).map(|number| claim(0, number));
    let outcome = run(address, PeerRole::Router, 900, 1, deadline, requests).await;
    assert_eq!(outcome.refused, 0, "no claim is refused");
    report(&format!("claim, one at a time, {replicas} replicas"), outcome.latencies);
    let mut latencies = Vec::new();
    for base in 0..SETTINGS_SAMPLES {
        let node = json!({ "overrides": { "priority": base % 9 } });
        let edits = [json!({ "edit": "put", "path": "/zone-1", "node": node })];
        let change = json!({
            "base_revision": base, "change_id": format!("c{base}"), "edits": edits,
        });
        let sent_at = Instant::now();
        let answer = cluster.post(leader, "/v1/settings/changes", &change).await;
        latencies.push(sent_at.elapsed());
        assert!(answer.is_some(), "the change is accepted");
    }
    report(&format!("settings change over HTTP, {replicas} replicas"), latencies);
}

pub async fn at_full_load(replicas: usize) {
    let cluster = Cluster::start(replicas).await;
    let leader = cluster.leader().await;
    let address = cluster.replicas[leader].internal;
    let begin = Instant::now();
    let worker = |worker: u64| {
        let requests = (0..).map(move |number| claim(worker, number));
        let deadline = begin + LOAD;
        tokio::spawn(run(address, PeerRole::Router, 900 + worker, WINDOW, deadline, requests))
    };
    let workers: Vec<_> = (0..CONNECTIONS).map(worker).collect();
    let (mut latencies, mut refused) = (Vec::new(), 0);
    for worker in workers {
        let outcome = worker.await.expect("a worker ends");
        latencies.extend(outcome.latencies);
        refused += outcome.refused;
    }
    let rate = latencies.len() as f64 / begin.elapsed().as_secs_f64();
    println!("claims, {replicas} replicas: {rate:.0} a second, {refused} refused");
    report("claim at full load", latencies);
}

//! Time from a kill of the leader to the next granted claim.

use std::time::{Duration, Instant};

use juniper_protocol::{ClaimAnswer, Message, PeerRole, Reply, connect};
use tokio::time::timeout;

use crate::client::claim;
use crate::cluster::{Cluster, identity, key};
use crate::report;

const ROUNDS: u64 = 10;
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);
const RETRY_DELAY: Duration = Duration::from_millis(5);

pub async fn measure(replicas: usize) {
    let mut cluster = Cluster::start(replicas).await;
    let mut gaps = Vec::new();
    for round in 0..ROUNDS {
        let leader = cluster.leader().await;
        let killed_at = Instant::now();
        cluster.replicas[leader].kill();
        let mut number = 0;
        while !grants(&cluster, leader, round, number).await {
            number += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
        gaps.push(killed_at.elapsed());
        cluster.replicas[leader].start();
        cluster.wait_until_all_vote().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    report(&format!("first claim after a kill of the leader, {replicas} replicas"), gaps);
}

/// Whether any replica other than `killed` grants a claim.
async fn grants(cluster: &Cluster, killed: usize, round: u64, number: u64) -> bool {
    for (at, replica) in cluster.replicas.iter().enumerate().filter(|(at, _)| *at != killed) {
        let request = claim(1_000 + round * 10 + at as u64, number);
        let exchange = async {
            let own = identity(900, PeerRole::Router);
            let mut connection = connect(replica.internal, &key(), &own).await.ok()?;
            connection.writer.send(&Message::Request { call: 1, request }).await.ok()?;
            connection.reader.receive().await.ok()
        };
        let reply = timeout(ATTEMPT_TIMEOUT, exchange).await;
        let granted = Reply::Claim(ClaimAnswer::Granted);
        if reply.ok().flatten() == Some(Message::Reply { call: 1, reply: granted }) {
            return true;
        }
    }
    false
}

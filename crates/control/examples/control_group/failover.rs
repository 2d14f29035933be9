//! Time from the death of the leader to the next granted claim.

use std::time::{Duration, Instant};

use juniper_protocol::{ClaimAnswer, Message, PeerRole, Reply, connect};
use tokio::time::timeout;

use crate::client::claim;
use crate::fleet::{Fleet, identity, key};
use crate::report;

const ROUNDS: u64 = 10;
const ATTEMPT: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(5);

pub async fn measure(replicas: usize) {
    let mut fleet = Fleet::start(replicas).await;
    let mut gaps = Vec::new();
    for round in 0..ROUNDS {
        let leader = fleet.leader().await;
        let killed = Instant::now();
        fleet.replicas[leader].kill();
        let mut number = 0;
        while !grants(&fleet, leader, round, number).await {
            number += 1;
            tokio::time::sleep(PAUSE).await;
        }
        gaps.push(killed.elapsed());
        fleet.replicas[leader].start();
        fleet.all_vote().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    report(&format!("accepts again after the leader's death, {replicas} replicas"), gaps);
}

/// Whether any of the others grants a claim now.
async fn grants(fleet: &Fleet, dead: usize, round: u64, number: u64) -> bool {
    for (at, replica) in fleet.replicas.iter().enumerate().filter(|(at, _)| *at != dead) {
        let request = claim(1_000 + round * 10 + at as u64, number);
        let exchange = async {
            let own = identity(900, PeerRole::Router);
            let mut connection = connect(replica.internal, &key(), &own).await.ok()?;
            connection.writer.send(&Message::Request { call: 1, request }).await.ok()?;
            connection.reader.receive().await.ok()
        };
        let reply = timeout(ATTEMPT, exchange).await;
        let granted = Reply::Claim(ClaimAnswer::Granted);
        if reply.ok().flatten() == Some(Message::Reply { call: 1, reply: granted }) {
            return true;
        }
    }
    false
}

//! Claims on a cluster of three replicas: granted once, whichever replica is asked or fails.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::support::cluster::Cluster;
use juniper_protocol::{ClaimAnswer, ClaimOutcome, Reply, Request};
use juniper_types::{BlockHash, ClaimKey, TenantName};

const KEYS: u64 = 24;

fn claim_key(number: u64) -> ClaimKey {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs();
    ClaimKey::new(now, format!("key-{number}")).unwrap()
}

fn tenant() -> TenantName {
    TenantName::new("acme").unwrap()
}

fn claim(key: &ClaimKey, attempt: u64) -> Request {
    let fingerprint = BlockHash([1; 16]);
    Request::Claim { tenant: tenant(), key: key.clone(), fingerprint, attempt }
}

fn settle(key: &ClaimKey, attempt: u64) -> Request {
    let (content_type, body) = ("text/plain".to_owned(), b"done".to_vec());
    let outcome = ClaimOutcome { status: 201, content_type, body, whole: true };
    Request::Settle { tenant: tenant(), key: key.clone(), attempt, outcome }
}

fn is_granted(reply: &Reply) -> bool {
    *reply == Reply::Claim(ClaimAnswer::Granted)
}

#[tokio::test]
async fn each_claim_is_granted_to_one_of_two_routers_over_a_leader_change() {
    let mut cluster = Cluster::start().await;
    let keys: Vec<ClaimKey> = (0..KEYS).map(claim_key).collect();
    let mut winners = Vec::new();
    for (number, key) in keys.iter().enumerate() {
        if number as u64 == KEYS / 2 {
            let leader = cluster.leader().await;
            cluster.stop(leader).await;
        }
        let (first, second) = (claim(key, 1), claim(key, 2));
        let (first, second) = tokio::join!(cluster.call(91, &first), cluster.call(92, &second));
        assert_ne!(is_granted(&first), is_granted(&second), "{first:?} and {second:?}");
        let winner = if is_granted(&first) { 1 } else { 2 };
        // A retry of the winner's claim, as after a lost reply, is granted again.
        assert!(is_granted(&cluster.call(91, &claim(key, winner)).await));
        winners.push(winner);
    }
    for (key, winner) in keys.iter().zip(&winners).take(KEYS as usize / 2) {
        assert_eq!(cluster.call(91, &settle(key, *winner)).await, Reply::Done);
    }
    for at in 0..3 {
        cluster.restart(at).await;
        cluster.leader().await;
    }
    for (number, key) in keys.iter().enumerate() {
        let reply = cluster.call(93, &claim(key, 3)).await;
        let settled = (number as u64) < KEYS / 2;
        match reply {
            Reply::Claim(ClaimAnswer::Settled(outcome)) if settled => {
                assert_eq!(outcome.status, 201)
            }
            Reply::Claim(ClaimAnswer::OutcomeUnknown) if !settled => {}
            other => panic!("settled={settled}: {other:?}"),
        }
    }
    cluster.stop_all().await;
}

#[tokio::test]
async fn no_claim_is_granted_without_a_quorum() {
    let mut cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    for at in (0..3).filter(|at| *at != leader) {
        cluster.stop(at).await;
    }
    let key = claim_key(0);
    let request = claim(&key, 1);
    let reply = tokio::time::timeout(Duration::from_secs(3), cluster.call(91, &request));
    assert!(reply.await.is_err(), "a claim was answered without a quorum");
    // The claim may be in the log of the remaining replica, so it is granted to this attempt or to
    // none.
    for at in (0..3).filter(|at| *at != leader) {
        cluster.restart(at).await;
    }
    assert!(is_granted(&cluster.call(91, &claim(&key, 1)).await));
    assert!(!is_granted(&cluster.call(92, &claim(&key, 2)).await));
    cluster.stop_all().await;
}

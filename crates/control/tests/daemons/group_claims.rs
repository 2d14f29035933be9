//! Claims through three replicas: granted once, whoever asks and whoever dies.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::support::group::Group;
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
async fn of_two_routers_one_is_granted_each_claim_while_the_leader_goes_away() {
    let mut group = Group::start().await;
    let keys: Vec<ClaimKey> = (0..KEYS).map(claim_key).collect();
    let mut winners = Vec::new();
    for (number, key) in keys.iter().enumerate() {
        if number as u64 == KEYS / 2 {
            let leader = group.leader().await;
            group.stop(leader).await;
        }
        let (first, second) = (claim(key, 1), claim(key, 2));
        let (first, second) = tokio::join!(group.call(91, &first), group.call(92, &second));
        assert_ne!(is_granted(&first), is_granted(&second), "{first:?} and {second:?}");
        let winner = if is_granted(&first) { 1 } else { 2 };
        // The winner's own claim, asked again after a lost answer, stands.
        assert!(is_granted(&group.call(91, &claim(key, winner)).await));
        winners.push(winner);
    }
    for (key, winner) in keys.iter().zip(&winners).take(KEYS as usize / 2) {
        assert_eq!(group.call(91, &settle(key, *winner)).await, Reply::Done);
    }
    for at in 0..3 {
        group.restart(at).await;
        group.leader().await;
    }
    for (number, key) in keys.iter().enumerate() {
        let reply = group.call(93, &claim(key, 3)).await;
        let settled = (number as u64) < KEYS / 2;
        match reply {
            Reply::Claim(ClaimAnswer::Settled(outcome)) if settled => {
                assert_eq!(outcome.status, 201)
            }
            Reply::Claim(ClaimAnswer::OutcomeUnknown) if !settled => {}
            other => panic!("settled={settled}: {other:?}"),
        }
    }
    group.stop_all().await;
}

#[tokio::test]
async fn without_a_quorum_no_claim_is_granted() {
    let mut group = Group::start().await;
    let leader = group.leader().await;
    for at in (0..3).filter(|at| *at != leader) {
        group.stop(at).await;
    }
    let key = claim_key(0);
    let wanted = claim(&key, 1);
    let asked = tokio::time::timeout(Duration::from_secs(3), group.call(91, &wanted));
    assert!(asked.await.is_err(), "a claim was answered without a quorum");
    // The claim may be in the log of the one replica that is left, so that it is
    // granted to this attempt or to none.
    for at in (0..3).filter(|at| *at != leader) {
        group.restart(at).await;
    }
    assert!(is_granted(&group.call(91, &claim(&key, 1)).await));
    assert!(!is_granted(&group.call(92, &claim(&key, 2)).await));
    group.stop_all().await;
}

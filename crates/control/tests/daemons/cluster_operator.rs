//! Operator API of a cluster of three replicas: any replica accepts any call.

use crate::support::cluster::Cluster;
use crate::support::{Daemon, TEST_TIMEOUT, key, put_zone, router_identity};
use juniper_protocol::message::QuarantineRequest;
use juniper_protocol::{Message, Push, Reply, Request, connect};
use juniper_registry::InstanceName;
use juniper_types::{RequestFingerprint, Revision};
use serde_json::json;
use tokio::time::timeout;

async fn add_engine(daemon: &Daemon) {
    let back_end = json!({ "id": 7, "kind": "engine", "address": "127.0.0.1:9000" });
    let change = json!({
        "base_revision": 0,
        "change_id": "engine",
        "edits": [{ "edit": "put", "path": "/hartford", "node": { "back_ends": [back_end] } }],
    });
    let (status, body) = daemon.post("/v1/settings/changes", &change).await;
    assert_eq!((status, &body["revision"]), (200, &1.into()), "{body}");
}

#[tokio::test]
async fn retried_drain_or_rollback_gets_its_first_answer_from_any_replica() {
    let cluster = Cluster::start().await;
    add_engine(cluster.daemon(0)).await;
    let drain = json!({ "change_id": "drain-7" });
    let rollback = json!({ "change_id": "back", "to": 1 });
    for at in [1, 2, 0] {
        let (status, body) = cluster.daemon(at).post("/v1/back-ends/7/drain", &drain).await;
        assert_eq!((status, &body["revision"]), (200, &2.into()), "{body}");
    }
    for at in [2, 0, 1] {
        let (status, body) = cluster.daemon(at).post("/v1/settings/rollbacks", &rollback).await;
        assert_eq!((status, &body["revision"]), (200, &3.into()), "{body}");
    }
    let other = json!({ "change_id": "back", "to": 2 });
    let (status, body) = cluster.daemon(1).post("/v1/settings/rollbacks", &other).await;
    assert_eq!((status, &body["error"]["code"]), (409, &"change_id_reused".into()), "{body}");
    let (status, body) = cluster.daemon(1).post("/v1/back-ends/8/drain", &drain).await;
    assert_eq!((status, &body["error"]["code"]), (404, &"no_back_end".into()), "{body}");

    let (_, diff) = cluster.daemon(2).get("/v1/settings/diff?from=1&to=3").await;
    assert_eq!(diff["changes"], json!([]));
    let (_, diff) = cluster.daemon(2).get("/v1/settings/diff?from=1&to=2").await;
    assert_eq!(diff["changes"][0]["after"]["back_ends"][0]["leaving"], true);
    let (_, history) = cluster.daemon(0).get("/v1/settings/history").await;
    assert_eq!(history["changes"][0]["rolled_back_to"], 1);
    cluster.stop_all().await;
}

#[tokio::test]
async fn every_replica_lists_all_nodes_and_the_leader() {
    let cluster = Cluster::start().await;
    add_engine(cluster.daemon(0)).await;
    let mut connections = Vec::new();
    for at in 0..3 {
        let own = router_identity(20 + at);
        let address = cluster.daemon(at as usize).internal;
        let mut connection = connect(address, &key(), &own).await.unwrap();
        let request = Request::Subscribe { from: Revision(0) };
        connection.writer.send(&Message::Request { call: 1, request }).await.unwrap();
        let delta = async {
            loop {
                let message = connection.reader.receive().await.unwrap();
                if matches!(message, Message::Push(Push::Delta(_))) {
                    return;
                }
            }
        };
        timeout(TEST_TIMEOUT, delta).await.expect("push of the change");
        let request = Request::InForce { revision: Revision(1) };
        connection.writer.send(&Message::Request { call: 2, request }).await.unwrap();
        connections.push(connection);
    }
    for at in 0..3 {
        let all_current = async || {
            let (_, body) = cluster.daemon(at).get("/v1/nodes").await;
            let nodes = body["nodes"].as_array().unwrap();
            nodes.len() == 3 && body["behind"] == 0 && body["silent_replicas"] == json!([])
        };
        cluster.wait_for("three up-to-date nodes", all_current).await;
    }
    let leader = cluster.leader().await;
    for at in 0..3 {
        let (_, status) = cluster.daemon(at).get("/v1/status").await;
        assert_eq!(status["leader"], cluster.settings[leader].common.node.0);
        assert_eq!(status["members"].as_array().unwrap().len(), 3);
        let metrics =
            crate::support::client().get(format!("http://{}/metrics", cluster.daemon(at).operator));
        let metrics = metrics.send().await.unwrap().text().await.unwrap();
        let leads = format!("juniper_control_leader {}", i32::from(at == leader));
        assert!(metrics.contains(&leads) && metrics.contains("juniper_control_voters 3"));
    }
    cluster.stop_all().await;
}

#[tokio::test]
async fn without_a_quorum_writes_fail_with_a_typed_error_and_stale_reads_succeed() {
    let mut cluster = Cluster::start().await;
    add_engine(cluster.daemon(0)).await;
    let all_applied = async || {
        let mut count = 0;
        for at in 0..3 {
            let (_, tree) = cluster.daemon(at).get("/v1/settings?stale=true").await;
            count += usize::from(tree["revision"] == 1);
        }
        count == 3
    };
    cluster.wait_for("the change on every replica", all_applied).await;
    let remaining = 2;
    cluster.stop(0).await;
    cluster.stop(1).await;
    let change = put_zone("portland", 3, 1, "late");
    let (status, body) = cluster.daemon(remaining).post("/v1/settings/changes", &change).await;
    assert!(status == 503 || status == 504, "{status} {body}");
    let code = body["error"]["code"].as_str().unwrap();
    assert!(["not_leader", "no_quorum", "outcome_unknown"].contains(&code), "{body}");
    assert_eq!(body["error"]["not_run"] == true, code != "outcome_unknown", "{body}");
    let (status, body) = cluster.daemon(remaining).get("/v1/settings").await;
    assert_eq!((status, &body["error"]["code"]), (503, &"no_quorum".into()), "{body}");
    let (status, tree) = cluster.daemon(remaining).get("/v1/settings?stale=true").await;
    assert_eq!((status, &tree["revision"]), (200, &1.into()));
    cluster.restart(0).await;
    let (status, body) = cluster.daemon(remaining).post("/v1/settings/changes", &change).await;
    assert_eq!((status, &body["revision"]), (200, &2.into()), "{body}");
    cluster.stop_all().await;
}

#[tokio::test]
async fn leader_transfers_leadership_before_a_planned_stop() {
    let mut cluster = Cluster::start().await;
    for _ in 0..3 {
        let leader = cluster.leader().await;
        cluster.stop(leader).await;
        // Without a transfer, there would be no leader until an election.
        assert!(cluster.leader_now().await.is_some_and(|next| next != leader));
        cluster.restart(leader).await;
        let has_rejoined = async || {
            let (_, status) = cluster.daemon(leader).get("/v1/status").await;
            status["leader"].is_u64()
        };
        cluster.wait_for("the stopped replica to follow", has_rejoined).await;
    }
    cluster.stop_all().await;
}

/// Two routers request the same quarantine on two replicas; an operator releases it on the third.
#[tokio::test]
async fn quarantined_request_is_listed_on_all_replicas_until_released() {
    let cluster = Cluster::start().await;
    let request = RequestFingerprint([0xab; 16]);
    let servers = ["i-1", "i-2", "i-3"].map(InstanceName::new).to_vec();
    let record = Request::Quarantine(QuarantineRequest { request, servers });
    for node in [1, 2] {
        assert_eq!(cluster.call(node, &record).await, Reply::Done);
    }
    for at in 0..3 {
        let (status, body) = cluster.daemon(at).get("/v1/quarantine").await;
        assert_eq!(status, 200);
        let listed = body["requests"].as_array().expect("a list");
        assert_eq!(listed.len(), 1, "{body}");
        assert_eq!(listed[0]["fingerprint"], request.to_string());
        assert_eq!(listed[0]["servers"], json!(["i-1", "i-2", "i-3"]));
    }
    let path = format!("/v1/quarantine/{request}");
    for at in [2, 0] {
        let (status, body) = cluster.daemon(at).delete(&path).await;
        assert_eq!((status, &body["released"]), (200, &json!(request.to_string())), "{body}");
    }
    let (_, body) = cluster.daemon(1).get("/v1/quarantine").await;
    assert_eq!(body["requests"], json!([]));
    let (status, body) = cluster.daemon(1).delete("/v1/quarantine/abc").await;
    assert_eq!((status, &body["error"]["code"]), (400, &json!("bad_fingerprint")), "{body}");
    cluster.stop_all().await;
}

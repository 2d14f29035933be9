//! The operator face of three replicas: any of them takes any call.

use crate::support::group::Group;
use crate::support::{Daemon, PATIENCE, key, put_zone, router_identity};
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
async fn a_resent_drain_or_rollback_gets_its_first_answer_from_any_replica() {
    let group = Group::start().await;
    add_engine(group.daemon(0)).await;
    let drain = json!({ "change_id": "drain-7" });
    let rollback = json!({ "change_id": "back", "to": 1 });
    for at in [1, 2, 0] {
        let (status, body) = group.daemon(at).post("/v1/back-ends/7/drain", &drain).await;
        assert_eq!((status, &body["revision"]), (200, &2.into()), "{body}");
    }
    for at in [2, 0, 1] {
        let (status, body) = group.daemon(at).post("/v1/settings/rollbacks", &rollback).await;
        assert_eq!((status, &body["revision"]), (200, &3.into()), "{body}");
    }
    let other = json!({ "change_id": "back", "to": 2 });
    let (status, body) = group.daemon(1).post("/v1/settings/rollbacks", &other).await;
    assert_eq!((status, &body["error"]["code"]), (409, &"change_id_reused".into()), "{body}");
    let (status, body) = group.daemon(1).post("/v1/back-ends/8/drain", &drain).await;
    assert_eq!((status, &body["error"]["code"]), (404, &"no_back_end".into()), "{body}");

    let (_, diff) = group.daemon(2).get("/v1/settings/diff?from=1&to=3").await;
    assert_eq!(diff["changes"], json!([]));
    let (_, diff) = group.daemon(2).get("/v1/settings/diff?from=1&to=2").await;
    assert_eq!(diff["changes"][0]["after"]["back_ends"][0]["leaving"], true);
    let (_, history) = group.daemon(0).get("/v1/settings/history").await;
    assert_eq!(history["changes"][0]["rolled_back_to"], 1);
    group.stop_all().await;
}

#[tokio::test]
async fn every_replica_lists_the_nodes_of_all_and_says_who_leads() {
    let group = Group::start().await;
    add_engine(group.daemon(0)).await;
    let mut connections = Vec::new();
    for at in 0..3 {
        let own = router_identity(20 + at);
        let address = group.daemon(at as usize).internal;
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
        timeout(PATIENCE, delta).await.expect("every replica pushes the change");
        let request = Request::InForce { revision: Revision(1) };
        connection.writer.send(&Message::Request { call: 2, request }).await.unwrap();
        connections.push(connection);
    }
    for at in 0..3 {
        let all_current = async || {
            let (_, body) = group.daemon(at).get("/v1/nodes").await;
            let nodes = body["nodes"].as_array().unwrap();
            nodes.len() == 3 && body["behind"] == 0 && body["silent_replicas"] == json!([])
        };
        group.wait_for("three nodes in force", all_current).await;
    }
    let leader = group.leader().await;
    for at in 0..3 {
        let (_, status) = group.daemon(at).get("/v1/status").await;
        assert_eq!(status["leader"], group.settings[leader].common.node.0);
        assert_eq!(status["members"].as_array().unwrap().len(), 3);
        let metrics =
            crate::support::client().get(format!("http://{}/metrics", group.daemon(at).operator));
        let metrics = metrics.send().await.unwrap().text().await.unwrap();
        let leads = format!("juniper_control_leader {}", i32::from(at == leader));
        assert!(metrics.contains(&leads) && metrics.contains("juniper_control_voters 3"));
    }
    group.stop_all().await;
}

#[tokio::test]
async fn without_a_quorum_a_write_is_refused_with_a_type_and_a_stale_read_served() {
    let mut group = Group::start().await;
    add_engine(group.daemon(0)).await;
    let all_have_it = async || {
        let mut count = 0;
        for at in 0..3 {
            let (_, tree) = group.daemon(at).get("/v1/settings?stale=true").await;
            count += usize::from(tree["revision"] == 1);
        }
        count == 3
    };
    group.wait_for("the change on every replica", all_have_it).await;
    let left = 2;
    group.stop(0).await;
    group.stop(1).await;
    let change = put_zone("portland", 3, 1, "late");
    let (status, body) = group.daemon(left).post("/v1/settings/changes", &change).await;
    assert!(status == 503 || status == 504, "{status} {body}");
    let code = body["error"]["code"].as_str().unwrap();
    assert!(["not_leader", "no_quorum", "outcome_unknown"].contains(&code), "{body}");
    assert_eq!(body["error"]["not_run"] == true, code != "outcome_unknown", "{body}");
    let (status, body) = group.daemon(left).get("/v1/settings").await;
    assert_eq!((status, &body["error"]["code"]), (503, &"no_quorum".into()), "{body}");
    let (status, tree) = group.daemon(left).get("/v1/settings?stale=true").await;
    assert_eq!((status, &tree["revision"]), (200, &1.into()));
    group.restart(0).await;
    let (status, body) = group.daemon(left).post("/v1/settings/changes", &change).await;
    assert_eq!((status, &body["revision"]), (200, &2.into()), "{body}");
    group.stop_all().await;
}

#[tokio::test]
async fn a_leader_that_stops_as_planned_has_handed_over() {
    let mut group = Group::start().await;
    for _ in 0..3 {
        let leader = group.leader().await;
        group.stop(leader).await;
        // Without a hand-over nobody would lead until an election.
        assert!(group.leader_now().await.is_some_and(|next| next != leader));
        group.restart(leader).await;
        let is_back = async || {
            let (_, status) = group.daemon(leader).get("/v1/status").await;
            status["leader"].is_u64()
        };
        group.wait_for("the stopped replica to follow", is_back).await;
    }
    group.stop_all().await;
}

/// Two routers ask for the same record, at two replicas; an operator releases it at the third.
#[tokio::test]
async fn a_request_in_quarantine_is_listed_everywhere_until_an_operator_releases_it() {
    let group = Group::start().await;
    let request = RequestFingerprint([0xab; 16]);
    let servers = ["i-1", "i-2", "i-3"].map(InstanceName::new).to_vec();
    let record = Request::Quarantine(QuarantineRequest { request, servers });
    for node in [1, 2] {
        assert_eq!(group.call(node, &record).await, Reply::Done);
    }
    for at in 0..3 {
        let (status, body) = group.daemon(at).get("/v1/quarantine").await;
        assert_eq!(status, 200);
        let listed = body["requests"].as_array().expect("a list");
        assert_eq!(listed.len(), 1, "{body}");
        assert_eq!(listed[0]["fingerprint"], request.to_string());
        assert_eq!(listed[0]["servers"], json!(["i-1", "i-2", "i-3"]));
    }
    let path = format!("/v1/quarantine/{request}");
    for at in [2, 0] {
        let (status, body) = group.daemon(at).delete(&path).await;
        assert_eq!((status, &body["released"]), (200, &json!(request.to_string())), "{body}");
    }
    let (_, body) = group.daemon(1).get("/v1/quarantine").await;
    assert_eq!(body["requests"], json!([]));
    let (status, body) = group.daemon(1).delete("/v1/quarantine/abc").await;
    assert_eq!((status, &body["error"]["code"]), (400, &json!("bad_fingerprint")), "{body}");
    group.stop_all().await;
}

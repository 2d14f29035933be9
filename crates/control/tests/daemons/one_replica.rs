//! A single replica: operator writes and a subscribed router.

use crate::support::{Daemon, TEST_TIMEOUT, key, put_zone, router_identity};
use juniper_protocol::{Message, Push, Reply, Request, connect};
use juniper_types::Revision;
use tokio::time::timeout;

async fn next_push(connection: &mut juniper_protocol::Connection) -> Push {
    let receive = async {
        loop {
            match connection.reader.receive().await.unwrap() {
                Message::Push(Push::Alive { .. }) => continue,
                Message::Push(push) => return push,
                other => panic!("expected a push, got {other:?}"),
            }
        }
    };
    timeout(TEST_TIMEOUT, receive).await.unwrap()
}

#[tokio::test]
async fn subscriber_gets_accepted_changes_and_operator_sees_its_report() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = Daemon::start(folder.path()).await;
    let (status, body) =
        daemon.post("/v1/settings/changes", &put_zone("hartford", 3, 0, "a")).await;
    assert_eq!((status, &body["revision"]), (200, &1.into()));

    let mut connection = connect(daemon.internal, &key(), &router_identity(9)).await.unwrap();
    let request = Request::Subscribe { from: Revision(0) };
    connection.writer.send(&Message::Request { call: 7, request }).await.unwrap();
    let reply = connection.reader.receive().await.unwrap();
    let subscribed = Reply::Subscribed { committed: Revision(1) };
    assert_eq!(reply, Message::Reply { call: 7, reply: subscribed });
    assert!(
        matches!(next_push(&mut connection).await, Push::Delta(d) if d.revision == Revision(1))
    );

    daemon.post("/v1/settings/changes", &put_zone("hartford", 4, 1, "b")).await;
    assert!(
        matches!(next_push(&mut connection).await, Push::Delta(d) if d.revision == Revision(2))
    );

    let request = Request::InForce { revision: Revision(2) };
    connection.writer.send(&Message::Request { call: 8, request }).await.unwrap();
    while !matches!(connection.reader.receive().await.unwrap(), Message::Reply { call: 8, .. }) {}
    let (_, nodes) = daemon.get("/v1/nodes").await;
    assert_eq!(nodes["nodes"][0]["in_force"], 2);
    daemon.stop().await;
}

#[tokio::test]
async fn operators_without_a_key_and_routers_with_a_wrong_key_are_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = Daemon::start(folder.path()).await;
    let url = format!("http://{}/v1/settings", daemon.operator);
    let response = crate::support::client().get(&url).send().await.unwrap();
    assert_eq!(response.status(), 401);
    let body: serde_json::Value = response.json().await.unwrap();
    assert_eq!(body["error"]["code"], "unauthorized");
    let wrong = juniper_protocol::ClusterKey::from_text("another cluster key").unwrap();
    assert!(connect(daemon.internal, &wrong, &router_identity(9)).await.is_err());
    daemon.stop().await;
}

#[tokio::test]
async fn outdated_change_gets_a_conflict_with_diff_and_invalid_tree_gets_all_faults() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = Daemon::start(folder.path()).await;
    daemon.post("/v1/settings/changes", &put_zone("hartford", 3, 0, "a")).await;
    let (status, body) =
        daemon.post("/v1/settings/changes", &put_zone("portland", 3, 0, "b")).await;
    assert_eq!((status, &body["error"]["code"]), (409, &"conflict".into()));
    assert_eq!(body["error"]["detail"]["current"], 1);
    assert_eq!(body["error"]["detail"]["diff"][0]["path"], "/hartford");
    assert_eq!(body["error"]["not_run"], true);

    let mut faulty = put_zone("hartford", 33, 1, "c");
    faulty["edits"][0]["node"]["overrides"]["burst"] = 0.into();
    let (status, body) = daemon.post("/v1/settings/changes", &faulty).await;
    assert_eq!((status, &body["error"]["code"]), (422, &"invalid_tree".into()));
    assert_eq!(body["error"]["detail"]["faults"].as_array().unwrap().len(), 2);
    let (_, tree) = daemon.get("/v1/settings").await;
    assert_eq!((&tree["revision"], tree["tree"].as_object().unwrap().len()), (&1.into(), 1));
    daemon.stop().await;
}

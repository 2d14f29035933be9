//! Data folders: founding of a cluster, restarts, and rejected folders.

use crate::support::{Daemon, listeners, put_zone, settings};
use juniper_control::{ControlDaemon, ControlError, found_cluster};
use juniper_settings::node_file::Peer;
use juniper_storage::{FormatError, OpenError};
use juniper_types::{NodeId, ZoneName};

#[tokio::test]
async fn single_replica_keeps_changes_over_a_restart_and_rejects_a_copied_folder() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = Daemon::start(folder.path()).await;
    daemon.post("/v1/settings/changes", &put_zone("hartford", 3, 0, "a")).await;
    daemon.stop().await;
    let daemon = Daemon::start(folder.path()).await;
    let (_, tree) = daemon.get("/v1/settings").await;
    assert_eq!(tree["revision"], 1);
    let (status, body) =
        daemon.post("/v1/settings/changes", &put_zone("hartford", 3, 0, "a")).await;
    assert_eq!((status, &body["revision"]), (200, &1.into()), "{body}");
    daemon.stop().await;

    let copy = tempfile::tempdir().unwrap();
    std::fs::create_dir(copy.path().join("replica")).unwrap();
    for file in std::fs::read_dir(folder.path().join("replica")).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), copy.path().join("replica").join(file.file_name())).unwrap();
    }
    let sockets = listeners().await;
    let (internal, operator) =
        (sockets.internal.local_addr().unwrap(), sockets.operator.local_addr().unwrap());
    let started = ControlDaemon::start(&settings(1, internal, operator, copy.path()), sockets);
    assert!(matches!(started.err(), Some(ControlError::Open(OpenError::Copied))));
}

#[tokio::test]
async fn blank_replica_with_peers_joins_and_does_not_found_a_cluster() {
    let folder = tempfile::tempdir().unwrap();
    let (sockets, absent) = (listeners().await, listeners().await);
    let (internal, operator) =
        (sockets.internal.local_addr().unwrap(), sockets.operator.local_addr().unwrap());
    let mut own = settings(1, internal, operator, folder.path());
    let address = absent.internal.local_addr().unwrap();
    own.peers = vec![Peer { id: NodeId(2), zone: ZoneName::new("hartford").unwrap(), address }];
    own.initial_voters = vec![NodeId(1)];
    let daemon = Daemon::start_on(&own, sockets);
    let (status, body) =
        daemon.post("/v1/settings/changes", &put_zone("hartford", 3, 0, "a")).await;
    assert_eq!((status, &body["error"]["code"]), (503, &"not_leader".into()), "{body}");
    assert_eq!(body["error"]["not_run"], true);
    let (_, status) = daemon.get("/v1/status").await;
    assert_eq!(
        (&status["role"], status["members"].as_array().unwrap().len()),
        (&"joining".into(), 0)
    );
    daemon.stop().await;
    // A folder formatted for joining can't be used to found a cluster.
    let result = found_cluster(&own);
    assert!(matches!(result, Err(ControlError::Format(FormatError::NotEmpty))));
}

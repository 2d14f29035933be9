//! A daemon whose writer has panicked ends with an error instead of answering on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use juniper_control::replica::ReplicaFailure;
use juniper_control::{ControlDaemon, ControlError};
use tokio::time::timeout;

use crate::support::stalling::StallingDisk;
use crate::support::{PATIENCE, listeners, settings};

#[tokio::test]
async fn a_daemon_ends_when_its_writer_has_panicked() {
    let folder = tempfile::tempdir().unwrap();
    let sockets = listeners().await;
    let internal = sockets.internal.local_addr().unwrap();
    let operator = sockets.operator.local_addr().unwrap();
    let own = settings(1, internal, operator, folder.path());
    let broken = Arc::new(AtomicBool::new(false));
    let disk =
        |folder| StallingDisk { folder, stalled: Arc::default(), broken: Arc::clone(&broken) };
    let daemon = ControlDaemon::start_on(&own, sockets, disk).unwrap();
    // The replica writes its first vote without being asked to.
    broken.store(true, Ordering::SeqCst);
    let served = timeout(PATIENCE, daemon.serve(std::future::pending())).await.unwrap();
    let failure = served.unwrap_err();
    assert!(matches!(failure, ControlError::Replica(ReplicaFailure::WriterGone)), "{failure}");
}

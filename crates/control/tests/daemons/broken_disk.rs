//! Panic of the writer thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use juniper_control::replica::ReplicaFailure;
use juniper_control::{ControlDaemon, ControlError};
use tokio::time::timeout;

use crate::support::faulty_disk::FaultyDisk;
use crate::support::{TEST_TIMEOUT, listeners, settings};

#[tokio::test]
async fn daemon_fails_after_a_panic_of_the_writer_thread() {
    let folder = tempfile::tempdir().unwrap();
    let sockets = listeners().await;
    let internal = sockets.internal.local_addr().unwrap();
    let operator = sockets.operator.local_addr().unwrap();
    let own = settings(1, internal, operator, folder.path());
    let panics = Arc::new(AtomicBool::new(false));
    let disk = |folder| FaultyDisk { folder, stalled: Arc::default(), panics: Arc::clone(&panics) };
    let daemon = ControlDaemon::start_with_disk(&own, sockets, disk).unwrap();
    // The replica's first write is its own vote.
    panics.store(true, Ordering::SeqCst);
    let result = timeout(TEST_TIMEOUT, daemon.serve(std::future::pending())).await.unwrap();
    let failure = result.unwrap_err();
    assert!(matches!(failure, ControlError::Replica(ReplicaFailure::WriterEnded)), "{failure}");
}

//! Thread that writes to storage, so that no other task waits for disk syncs.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use juniper_consensus::Write;
use juniper_storage::{Disk, Storage};
use kameo::actor::ActorRef;

use super::ReplicaActor;
use super::actor::{Persisted, WriteFailed, WriterEnded};

/// Time without writes after which the storage is sealed: the record of what has been synced is synced
/// itself.
const SEAL_IDLE_TIME: Duration = Duration::from_secs(1);

/// Guard that notifies the replica when the thread ends, including by a panic. Otherwise the replica
/// would wait forever for the write in progress.
struct WriterEndedGuard(ActorRef<ReplicaActor>);

impl Drop for WriterEndedGuard {
    fn drop(&mut self) {
        // Fails if the replica has ended already.
        let _ = self.0.tell(WriterEnded).blocking_send();
    }
}

/// Writes until the actor has ended or the disk fails. A failed write ends the replica: the content of
/// the disk is unknown then, so nothing more may be acknowledged.
pub(super) fn run_writer<D: Disk>(
    mut storage: Storage<D>,
    writes: Receiver<Write>,
    replica: ActorRef<ReplicaActor>,
) {
    let _guard = WriterEndedGuard(replica.clone());
    let mut sealed = true;
    loop {
        let result = match writes.recv_timeout(SEAL_IDLE_TIME) {
            Ok(write) => {
                sealed = false;
                let saved = storage.save(&write);
                saved.map(|()| replica.tell(Persisted(write.number)).blocking_send().is_ok())
            }
            Err(RecvTimeoutError::Timeout) if sealed => Ok(true),
            Err(RecvTimeoutError::Timeout) => {
                sealed = true;
                storage.sync_mark().map(|()| true)
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
        match result {
            Ok(true) => {}
            Ok(false) => return,
            Err(error) => {
                // Fails if the replica has ended already.
                let _ = replica.tell(WriteFailed(error)).blocking_send();
                return;
            }
        }
    }
}

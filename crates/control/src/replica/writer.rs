//! The thread that writes to the disk. It alone waits for syncs.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use juniper_consensus::Write;
use juniper_storage::{Disk, Storage};
use kameo::actor::ActorRef;

use super::ReplicaActor;
use super::actor::{Persisted, WriteFailed, WriterEnded};

/// Silence after which the mark of what is synced is synced itself.
const SEAL_AFTER: Duration = Duration::from_secs(1);

/// Tells the replica when the thread ends, also by a panic: the write in flight
/// would otherwise be waited for without end.
struct EndGuard(ActorRef<ReplicaActor>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        // A replica that has ended already need not know.
        let _ = self.0.tell(WriterEnded).blocking_send();
    }
}

/// Writes until the actor is gone or the disk fails. A failed write ends the
/// replica: what reached the disk is unknown, so nothing more may be acknowledged.
pub(super) fn write_for_ever<D: Disk>(
    mut storage: Storage<D>,
    writes: Receiver<Write>,
    replica: ActorRef<ReplicaActor>,
) {
    let _guard = EndGuard(replica.clone());
    let mut sealed = true;
    loop {
        let result = match writes.recv_timeout(SEAL_AFTER) {
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
                // The replica may have ended already; there is nobody else to tell.
                let _ = replica.tell(WriteFailed(error)).blocking_send();
                return;
            }
        }
    }
}

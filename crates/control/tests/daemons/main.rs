//! Tests of control daemons in the test process, with real sockets and disks.

mod broken_disk;
mod cluster_claims;
mod cluster_operator;
mod data_folder;
mod horizon;
mod one_replica;
mod relay;
mod seeded;
mod served_versions;
mod snapshots;
mod stalled_disk;
mod stream_records;
mod support;

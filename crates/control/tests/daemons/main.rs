//! Control daemons inside the test process, over their real sockets and disks.

mod broken_disk;
mod folders;
mod group_claims;
mod group_operator;
mod horizon;
mod one_replica;
mod relay;
mod seeded;
mod snapshots;
mod stalled_disk;
mod support;

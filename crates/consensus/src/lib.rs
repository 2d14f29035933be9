//! Replicated log as a pure state machine: elections, replication, snapshots, membership.

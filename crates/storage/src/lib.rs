//! Durable log, snapshots and disk identity of a control replica.

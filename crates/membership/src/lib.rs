//! Failure detection and peer views from heartbeats.

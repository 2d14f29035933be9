//! Deterministic simulated network, disk and clock.

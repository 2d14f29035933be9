//! Decides when refused callers should return. Performs no I/O and reads no clock.

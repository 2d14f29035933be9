//! The router daemon: serves callers and relays to back ends.

//! The control daemon: one replica of the durable state.

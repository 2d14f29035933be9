//! Which engine incarnation holds which prompt blocks.

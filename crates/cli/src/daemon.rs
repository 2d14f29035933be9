//! The daemons: `control`, `router`, and checks of their files.

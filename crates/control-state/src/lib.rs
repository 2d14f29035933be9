//! The replicated state machine: settings revisions, claims and fences.

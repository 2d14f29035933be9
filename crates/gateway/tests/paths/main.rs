//! Tests of a gateway between callers and servers over loopback.

mod admission;
mod answers;
mod backoffs;
mod brittle;
mod configuration_changes;
mod confirmations;
mod connections;
mod cut_off;
mod cut_off_soak;
mod departures;
mod endless_answers;
mod limits;
mod limits_soon;
mod overload;
mod own_link;
mod prompt_parts;
mod quarantine;
mod reachability;
mod retries;
mod server_limits;
mod silence;
mod slow_heads;
mod software_versions;
mod startup;
mod support;
mod weights;

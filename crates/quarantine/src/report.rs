//! Reports that routers send each other about crashes and completed requests.

use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::RequestFingerprint;

use crate::part_report::{PartCompletionReport, PartCrashReport};

/// Crash of a server while the request was in flight on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// Incarnation of the crashed server.
    pub instance: InstanceId,
    /// Time since the request was interrupted.
    pub age: Duration,
    /// Time from the dispatch of the request to its interruption.
    pub in_flight_for: Duration,
    /// Whether the reporting router has seen the same request complete before.
    pub completed_before: bool,
}

/// Clearance of a request that completed, and so didn't cause the earlier crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// Incarnations whose crashes no longer count against the request. Later crashes do.
    pub instances: Vec<InstanceId>,
}

/// Report to the other routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A server crashed.
    Crash(CrashReport),
    /// A request completed.
    Clear(Clearance),
    /// A server crashed under prompts.
    PartCrash(PartCrashReport),
    /// A prompt with a suspected part completed.
    PartCompletion(PartCompletionReport),
}

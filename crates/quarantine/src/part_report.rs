//! Reports that routers send each other about parts of prompts.

use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::RequestFingerprint;

/// Crash of a server while prompts were in flight on it, as observed by one router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartCrashReport {
    /// Incarnation of the crashed server.
    pub instance: InstanceId,
    /// Time since the crash.
    pub age: Duration,
    /// Shared parts of the prompts in flight, without those that have just completed elsewhere.
    pub parts: Vec<RequestFingerprint>,
    /// Part that was on trial at the server.
    pub trial: Option<RequestFingerprint>,
}

/// A prompt with a suspected part was answered completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartCompletionReport {
    /// Part of the prompt.
    pub part: RequestFingerprint,
    /// Time since the answer was complete.
    pub age: Duration,
}

//! What routers tell each other of requests under which servers ended.

use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::RequestFingerprint;

/// A server ended while the request was under way on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The life that ended.
    pub instance: InstanceId,
    /// Time since the request's connection broke.
    pub age: Duration,
    /// Time for which the request had been under way then.
    pub under_way: Duration,
    /// Whether the reporting router has seen the same request end well before.
    pub ended_well: bool,
}

/// A server answered the request whole, so the ends before were not its doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// The request.
    pub request: RequestFingerprint,
    /// The lives whose ends don't count any more. Ends that come later do.
    pub instances: Vec<InstanceId>,
}

/// One thing to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A server ended.
    Crash(CrashReport),
    /// A request ended well.
    Clear(Clearance),
}

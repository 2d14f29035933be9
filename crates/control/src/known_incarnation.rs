//! What a replica knows of a server's latest incarnation.

use std::net::SocketAddrV4;

use juniper_registry::{InstanceReport, StartTime};

/// Latest incarnation of a server, from its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownIncarnation {
    /// Start time; unknown if the server reports none.
    pub started: StartTime,
    /// Address for requests.
    pub address: SocketAddrV4,
}

impl KnownIncarnation {
    /// Incarnation that sent a heartbeat.
    pub fn of(report: &InstanceReport) -> Self {
        KnownIncarnation { started: report.started, address: report.address }
    }

    /// The one that started later.
    pub fn later_of(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        [one, other].into_iter().flatten().max_by_key(|known| known.started)
    }
}

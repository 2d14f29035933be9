//! Reports of servers that requested a backoff or announced their departure.

use std::time::Duration;

use juniper_registry::{InstanceId, InstanceName, StartTime};
use juniper_types::NodeId;
use minicbor::{Decode, Encode};

/// Backoff or departure that a server requested in an answer to the reporting router.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServerNoticeUpdate {
    /// Server that sent the answer.
    #[n(0)]
    pub instance: InstanceName,
    /// Start time of the server's incarnation.
    #[n(1)]
    pub started: StartTime,
    /// Requested backoff of the reporting router, in milliseconds; zero for none.
    #[n(2)]
    pub backoff_ms: u64,
    /// Whether the server is departing, which concerns all routers.
    #[n(3)]
    pub is_departing: bool,
    /// Router whose tunnel carried the answer, and which the server therefore meant; `None` if it was
    /// the reporting router.
    #[n(4)]
    #[cbor(default)]
    pub through: Option<NodeId>,
}

impl ServerNoticeUpdate {
    /// Incarnation that sent the answer.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }

    /// Requested backoff of the reporting router; zero for none.
    pub fn backoff(&self) -> Duration {
        Duration::from_millis(self.backoff_ms)
    }
}

//! What routers tell each other of servers that asked them for something.

use std::time::Duration;

use juniper_registry::{InstanceId, InstanceName, StartTime};
use minicbor::{Decode, Encode};

/// What an answer of a server asked of the router that tells it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServerNoticeNews {
    /// The server.
    #[n(0)]
    pub instance: InstanceName,
    /// When its incarnation started.
    #[n(1)]
    pub started: StartTime,
    /// Time for which it wants nothing from that router, in milliseconds; zero for no such wish.
    #[n(2)]
    pub pause_ms: u64,
    /// Whether it leaves, which holds for every router.
    #[n(3)]
    pub is_leaving: bool,
}

impl ServerNoticeNews {
    /// The incarnation that it is about.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }

    /// Time for which the server wants nothing from the router that tells it.
    pub fn pause(&self) -> Duration {
        Duration::from_millis(self.pause_ms)
    }
}

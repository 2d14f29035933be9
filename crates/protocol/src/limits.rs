//! What daemons tell each other of limits that hold over all routers.

use juniper_registry::{InstanceId, InstanceName, StartTime};
use minicbor::{Decode, Encode};

/// A request that is to be counted against a limit.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LimitCharge {
    /// Whose limit it is: a tenant's name, or [`server_account`].
    #[n(0)]
    pub account: String,
    /// Version of the limit; of a tenant's, that of the configuration that states it.
    #[n(1)]
    pub version: u64,
    /// The limit, in units a second.
    #[n(2)]
    pub per_second: f64,
    /// Units that may come at once beyond it.
    #[n(3)]
    pub burst: f64,
    /// Units that the request costs.
    #[n(4)]
    pub units: f64,
    /// The request runs whatever the answer is.
    #[n(5)]
    pub is_certain: bool,
    /// Units that are left to more urgent requests, if any are; a replica of an earlier version
    /// leaves none.
    #[n(6)]
    #[cbor(default)]
    pub reserve: Option<f64>,
}

/// Begins the account of a server, as no tenant's name does.
const SERVER_ACCOUNT: &str = "\0server\0";

/// The account of the limit that an incarnation of a server states. Replicas of earlier builds keep
/// it like that of a tenant.
pub fn server_account(instance: &InstanceId) -> String {
    format!("{SERVER_ACCOUNT}{}@{}", instance.name(), instance.started().unix_ms())
}

/// What a server is known to take from all routers together.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServerLimitNews {
    /// The server.
    #[n(0)]
    pub instance: InstanceName,
    /// When its incarnation started.
    #[n(1)]
    pub started: StartTime,
    /// Orders what is told of one server; the highest holds.
    #[n(2)]
    pub sequence: u64,
    /// Requests a second; the latest ones stated if it states none any more.
    #[n(3)]
    pub per_second: f64,
    /// Whether it states a limit no longer.
    #[n(4)]
    pub is_over: bool,
}

impl ServerLimitNews {
    /// The incarnation that it is about.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }
}

/// What a charge came to.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct ChargeAnswer {
    /// Time after which a request that is over its limit has a chance, in milliseconds; `None`
    /// for one that is within it.
    #[n(0)]
    pub refused_for_ms: Option<u64>,
    /// Units a second that were admitted of late over all routers.
    #[n(1)]
    pub fleet_per_second: f64,
}

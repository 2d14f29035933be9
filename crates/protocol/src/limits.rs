//! Messages for rate limits that apply to all routers together.

use juniper_registry::{InstanceId, InstanceName, StartTime};
use minicbor::{Decode, Encode};

/// Charge of one request against a limit.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LimitCharge {
    /// Account of the limit: the tenant's name, or the server's [`server_account`].
    #[n(0)]
    pub account: String,
    /// Version of the limit; for a tenant, the version of the configuration.
    #[n(1)]
    pub version: u64,
    /// Limit, in units per second.
    #[n(2)]
    pub per_second: f64,
    /// Burst size, in units.
    #[n(3)]
    pub burst: f64,
    /// Units to charge.
    #[n(4)]
    pub units: f64,
    /// Whether the request is executed whatever the answer is.
    #[n(5)]
    pub is_certain: bool,
    /// Units reserved for more urgent requests, if any; ignored by replicas of earlier versions.
    #[n(6)]
    #[cbor(default)]
    pub reserve: Option<f64>,
}

/// Prefix of servers' account names; never part of a tenant's name.
const SERVER_ACCOUNT_PREFIX: &str = "\0server\0";

/// Account name for the limit advertised by an incarnation of a server. Replicas of earlier builds
/// treat the account like a tenant's.
pub fn server_account(instance: &InstanceId) -> String {
    format!("{SERVER_ACCOUNT_PREFIX}{}@{}", instance.name(), instance.started().unix_ms())
}

/// Advertised limit of a server, which applies to all routers together.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServerLimitUpdate {
    /// Server that advertised the limit.
    #[n(0)]
    pub instance: InstanceName,
    /// Start time of the server's incarnation.
    #[n(1)]
    pub started: StartTime,
    /// Sequence number among the updates about one server; the highest takes precedence.
    #[n(2)]
    pub sequence: u64,
    /// Limit, in requests per second; the last advertised value if `is_withdrawn`.
    #[n(3)]
    pub per_second: f64,
    /// Whether the server no longer advertises a limit.
    #[n(4)]
    pub is_withdrawn: bool,
}

impl ServerLimitUpdate {
    /// Incarnation that advertised the limit.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }
}

/// Result of a charge.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct ChargeAnswer {
    /// Time after which a refused request may be retried, in milliseconds; `None` if the request is
    /// within the limit.
    #[n(0)]
    pub retry_after_ms: Option<u64>,
    /// Recently admitted units per second, over all routers.
    #[n(1)]
    pub fleet_per_second: f64,
}

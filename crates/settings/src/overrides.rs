//! The values one tree node may set, and the resolved values of a service.

use juniper_types::{AdapterName, ModelName, WeightsVersion};
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// What kind of back end serves the traffic and whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum TrafficKind {
    /// Chat completions by a model engine; may be repeated.
    #[n(0)]
    Chat,
    /// Application requests that run at most once and need a claim.
    #[n(1)]
    AtMostOnce,
    /// Application requests that may be repeated.
    #[n(2)]
    Repeatable,
    /// Byte streams that resume by range.
    #[n(3)]
    Preview,
}

/// What a router does with repeatable traffic while it can't reach the control replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum CutOffPolicy {
    /// Serve on the last accepted revision, up to `max_settings_age_seconds`.
    #[n(0)]
    Serve,
    /// Refuse at once.
    #[n(1)]
    Refuse,
}

macro_rules! settings_values {
    ($($(#[$doc:meta])* $index:literal $field:ident: $value:ty = $default:expr;)*) => {
        /// Values that one tree node sets; `None` inherits from the parent.
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
        #[serde(default, deny_unknown_fields)]
        #[cbor(map)]
        pub struct Overrides {
            $(
                $(#[$doc])*
                #[n($index)]
                #[serde(skip_serializing_if = "Option::is_none")]
                pub $field: Option<$value>,
            )*
        }

        impl Overrides {
            /// Replaces every value that `above` sets in `self`'s place where `self` sets none.
            pub fn inherit(&mut self, above: &Overrides) {
                $(if self.$field.is_none() {
                    self.$field = above.$field.clone();
                })*
            }
        }

        /// The values in force for one service, every one resolved.
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        pub struct EffectiveSettings {
            $(
                $(#[$doc])*
                pub $field: $value,
            )*
        }

        impl EffectiveSettings {
            /// Fills what `overrides` leaves open with the built-in defaults.
            pub fn resolve(overrides: &Overrides) -> Self {
                EffectiveSettings {
                    $($field: overrides.$field.clone().unwrap_or_else(|| $default),)*
                }
            }
        }
    };
}

/// Name of the model that is assumed where the tree names none.
pub const DEFAULT_MODEL: &str = "base";

settings_values! {
    /// Kind of traffic.
    0 traffic: TrafficKind = TrafficKind::Chat;
    /// Model that serves chat traffic.
    1 model: ModelName = ModelName::new(DEFAULT_MODEL).unwrap_or_else(|_| unreachable!("valid name"));
    /// Adapter loaded beside the model; the empty list means none.
    2 adapter: Vec<AdapterName> = Vec::new();
    /// Version of the model's weights.
    3 weights: WeightsVersion = WeightsVersion(1);
    /// Time a caller waits for a complete answer, in milliseconds.
    4 deadline_ms: u64 = 60_000;
    /// Time to first token above which a request is refused rather than queued, in milliseconds.
    5 first_token_deadline_ms: u64 = 10_000;
    /// Priority handed to engines, 0 (lowest) to 9.
    6 priority: u8 = 5;
    /// Requests accepted per second over the whole fleet.
    7 rate_per_second: f64 = 1_000.0;
    /// Requests accepted at once above the rate.
    8 burst: u32 = 200;
    /// Requests in flight over the whole fleet.
    9 concurrency: u32 = 1_000;
    /// Largest share of waiting work, in percent.
    10 queue_share_percent: u8 = 50;
    /// Weight in the fair sharing between tenants.
    11 share_weight: u32 = 100;
    /// Weight of recomputed tokens in the routing cost; 1.0 is neutral.
    12 waste_weight: f64 = 1.0;
    /// Weight of the time to first token in the routing cost; 1.0 is neutral.
    13 latency_weight: f64 = 1.0;
    /// What happens to repeatable traffic while cut off from the control replicas.
    14 cut_off: CutOffPolicy = CutOffPolicy::Serve;
    /// Oldest settings that traffic is served on while cut off, in seconds.
    15 max_settings_age_seconds: u64 = 7_200;
    /// Retries allowed per hundred requests.
    16 retry_budget_percent: u8 = 10;
    /// Largest accepted request body, in bytes.
    17 max_body_bytes: u64 = 4 << 20;
    /// Most tokens generated for one request.
    18 max_output_tokens: u32 = 4_096;
    /// Prompt texts whose blocks are kept warm.
    19 warm_prefixes: Vec<String> = Vec::new();
    /// Copies kept of each warm prefix.
    20 warm_copies: u32 = 1;
    /// Loads from the weight store at once over the whole fleet; read at the root.
    21 weight_loads_at_once: u32 = 2;
}

impl EffectiveSettings {
    /// The adapter in force, if any.
    pub fn adapter(&self) -> Option<&AdapterName> {
        self.adapter.first()
    }
}

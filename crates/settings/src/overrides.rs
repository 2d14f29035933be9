//! Values that a tree node can set, and the values in effect for a service.

use juniper_types::{AdapterName, ModelName, WeightsVersion};
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Kind of traffic, which determines the back ends and whether requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum TrafficKind {
    /// Chat completions by a model engine, which may be retried.
    #[n(0)]
    Chat,
    /// Application requests that run at most once and need a claim.
    #[n(1)]
    AtMostOnce,
    /// Application requests that may be retried.
    #[n(2)]
    Repeatable,
    /// Byte streams that resume with a range request.
    #[n(3)]
    Preview,
}

/// Policy of a router for retryable traffic while it can't reach the control replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum PartitionPolicy {
    /// Serve with the last accepted revision, up to an age of `max_settings_age_seconds`.
    #[n(0)]
    Serve,
    /// Reject immediately.
    #[n(1)]
    Refuse,
}

macro_rules! settings_values {
    ($($(#[$doc:meta])* $index:literal $field:ident: $value:ty = $default:expr;)*) => {
        /// Values that one tree node sets. `None` inherits from the parent.
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
            /// Takes over the values of `parent` that `self` doesn't set.
            pub fn inherit(&mut self, parent: &Overrides) {
                $(if self.$field.is_none() {
                    self.$field = parent.$field.clone();
                })*
            }
        }

        /// Values in effect for one service.
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        pub struct EffectiveSettings {
            $(
                $(#[$doc])*
                pub $field: $value,
            )*
        }

        impl EffectiveSettings {
            /// Resolves `overrides`, with the built-in default for each unset value.
            pub fn resolve(overrides: &Overrides) -> Self {
                EffectiveSettings {
                    $($field: overrides.$field.clone().unwrap_or_else(|| $default),)*
                }
            }
        }
    };
}

/// Model that is used if the tree sets none.
pub const DEFAULT_MODEL: &str = "base";

settings_values! {
    /// Kind of traffic.
    0 traffic: TrafficKind = TrafficKind::Chat;
    /// Model that serves chat traffic.
    1 model: ModelName = ModelName::new(DEFAULT_MODEL).unwrap_or_else(|_| unreachable!("valid name"));
    /// Adapter that is loaded with the model. An empty list means none.
    2 adapter: Vec<AdapterName> = Vec::new();
    /// Version of the model's weights.
    3 weights: WeightsVersion = WeightsVersion(1);
    /// Timeout for a complete answer, in milliseconds.
    4 deadline_ms: u64 = 60_000;
    /// Time to first token above which a request is rejected and not queued, in milliseconds.
    5 first_token_deadline_ms: u64 = 10_000;
    /// Priority passed to engines, 0 (lowest) to 9.
    6 priority: u8 = 5;
    /// Requests accepted per second by all routers together.
    7 rate_per_second: f64 = 1_000.0;
    /// Burst size of the rate limit, in requests.
    8 burst: u32 = 200;
    /// Maximum number of requests in flight at all routers together.
    9 concurrency: u32 = 1_000;
    /// Maximum share of the queued work, in percent.
    10 queue_share_percent: u8 = 50;
    /// Weight in fair sharing between tenants.
    11 share_weight: u32 = 100;
    /// Weight of recomputed tokens in the routing cost, 1.0 being neutral.
    12 waste_weight: f64 = 1.0;
    /// Weight of the time to first token in the routing cost, 1.0 being neutral.
    13 latency_weight: f64 = 1.0;
    /// Policy for retryable traffic while partitioned from the control replicas.
    14 cut_off: PartitionPolicy = PartitionPolicy::Serve;
    /// Maximum age of settings to serve traffic with while partitioned, in seconds.
    15 max_settings_age_seconds: u64 = 7_200;
    /// Retries allowed per hundred requests.
    16 retry_budget_percent: u8 = 10;
    /// Maximum size of a request body, in bytes.
    17 max_body_bytes: u64 = 4 << 20;
    /// Maximum number of tokens generated for one request.
    18 max_output_tokens: u32 = 4_096;
    /// Prompt prefixes to keep cached.
    19 warm_prefixes: Vec<String> = Vec::new();
    /// Number of cached copies of each warm prefix.
    20 warm_copies: u32 = 1;
    /// Maximum number of concurrent loads from the weight store by the whole fleet. Only
    /// the value of the root applies.
    21 weight_loads_at_once: u32 = 2;
}

impl EffectiveSettings {
    /// Adapter in effect, if any.
    pub fn adapter(&self) -> Option<&AdapterName> {
        self.adapter.first()
    }
}

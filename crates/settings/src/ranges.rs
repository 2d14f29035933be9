//! Validation of a single node: ranges of values, size and allowed content.

use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::fault::{MAX_NODE_BYTES, TreeFault};
use crate::overrides::Overrides;
use crate::path::SettingsPath;
use crate::tree::{ApiKeyHash, SettingsNode};

/// One hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Requests per second. Far above the 3,600 of the largest supported deployment.
const MAX_RATE_PER_SECOND: f64 = 1_000_000.0;
const MAX_COUNT: u32 = 1_000_000;
/// Number of accelerators of the largest supported deployment.
const MAX_WEIGHT_LOADS: u32 = 3_100;
/// Thirty days.
const MAX_SETTINGS_AGE_SECONDS: u64 = 2_592_000;
/// Bounded because a body is buffered in memory while it is forwarded.
const MAX_BODY_BYTES: u64 = 64 << 20;
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;
/// Range of a weight in the routing cost.
const COST_WEIGHT_RANGE: RangeInclusive<f64> = 0.01..=100.0;
const MAX_WARM_PREFIXES: usize = 64;
const MAX_WARM_PREFIX_BYTES: usize = 32 << 10;
const MAX_WARM_COPIES: u32 = 64;

/// Adds the faults of one node to `faults`, without checks across nodes.
pub(crate) fn check_node(
    path: &SettingsPath,
    node: &SettingsNode,
    bytes: usize,
    faults: &mut Vec<TreeFault>,
) {
    if bytes > MAX_NODE_BYTES {
        faults.push(TreeFault::NodeTooLarge { path: path.clone(), bytes: bytes as u64 });
    }
    if !node.back_ends.is_empty() && !matches!(path, SettingsPath::Zone(_)) {
        faults.push(TreeFault::BackEndsNotAllowed { path: path.clone() });
    }
    if !node.api_keys.is_empty() && !matches!(path, SettingsPath::Tenant(..)) {
        faults.push(TreeFault::ApiKeysNotAllowed { path: path.clone() });
    }
    if !node.api_keys.iter().all(ApiKeyHash::is_well_formed) {
        faults.push(TreeFault::ApiKeyMalformed { path: path.clone() });
    }
    check_overrides(&mut RangeCheck { path, faults }, &node.overrides);
}

fn check_overrides(check: &mut RangeCheck<'_>, values: &Overrides) {
    check.range("weights", values.weights.map(|version| version.0), 1..=u32::MAX);
    check.range("weight_loads_at_once", values.weight_loads_at_once, 1..=MAX_WEIGHT_LOADS);
    check.range("deadline_ms", values.deadline_ms, 1..=MAX_DEADLINE_MS);
    check.range("first_token_deadline_ms", values.first_token_deadline_ms, 1..=MAX_DEADLINE_MS);
    check.range("priority", values.priority, 0..=9);
    check.range("rate_per_second", values.rate_per_second, 0.0..=MAX_RATE_PER_SECOND);
    check.range("burst", values.burst, 1..=MAX_COUNT);
    check.range("concurrency", values.concurrency, 0..=MAX_COUNT);
    check.range("queue_share_percent", values.queue_share_percent, 0..=100);
    check.range("share_weight", values.share_weight, 1..=MAX_COUNT);
    check.range("waste_weight", values.waste_weight, COST_WEIGHT_RANGE);
    check.range("latency_weight", values.latency_weight, COST_WEIGHT_RANGE);
    check.range("max_settings_age_seconds", values.max_settings_age_seconds, {
        0..=MAX_SETTINGS_AGE_SECONDS
    });
    check.range("retry_budget_percent", values.retry_budget_percent, 0..=100);
    check.range("max_body_bytes", values.max_body_bytes, 1..=MAX_BODY_BYTES);
    check.range("max_output_tokens", values.max_output_tokens, 1..=MAX_OUTPUT_TOKENS);
    check.range("warm_copies", values.warm_copies, 0..=MAX_WARM_COPIES);
    check.range("adapter entries", values.adapter.as_ref().map(Vec::len), 0..=1);
    let prefixes = values.warm_prefixes.as_ref();
    check.range("warm_prefixes entries", prefixes.map(Vec::len), 0..=MAX_WARM_PREFIXES);
    for prefix in prefixes.into_iter().flatten() {
        check.range("warm_prefixes bytes", Some(prefix.len()), 1..=MAX_WARM_PREFIX_BYTES);
    }
}

/// Range checks of one node that collect faults.
struct RangeCheck<'a> {
    path: &'a SettingsPath,
    faults: &'a mut Vec<TreeFault>,
}

impl RangeCheck<'_> {
    /// Adds a fault if `value` is outside `allowed`. NaN is outside every range.
    fn range<T>(&mut self, field: &str, value: Option<T>, allowed: RangeInclusive<T>)
    where
        T: PartialOrd + Display,
    {
        let Some(value) = value else {
            return;
        };
        if allowed.contains(&value) {
            return;
        }
        self.faults.push(TreeFault::OutOfRange {
            path: self.path.clone(),
            field: field.to_owned(),
            value: value.to_string(),
            allowed: format!("{} to {}", allowed.start(), allowed.end()),
        });
    }
}

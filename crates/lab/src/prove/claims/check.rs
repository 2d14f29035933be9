//! Invariants of claims.

use std::collections::BTreeMap;

use juniper_types::ClaimKey;

use super::linear::is_key_linearizable;
use super::record::Record;

/// Violation of a guarantee to callers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimViolation {
    /// An at-most-once request was executed more than once.
    #[error("request {key} was executed {times} times")]
    ExecutedTwice {
        /// Key of the request.
        key: ClaimKey,
        /// Number of executions.
        times: usize,
    },
    /// An attempt was reported as not run although it was executed.
    #[error("attempt {attempt:x} of request {key} was reported as not run but was executed")]
    FalseRefusal {
        /// Key of the request.
        key: ClaimKey,
        /// Id of the attempt.
        attempt: u64,
    },
    /// The operations on a key are not linearizable.
    #[error("the operations on key {0} are not linearizable")]
    NotLinearizable(ClaimKey),
}

/// Returns all violations in the record.
pub fn check(record: &Record) -> Vec<ClaimViolation> {
    let mut times: BTreeMap<&ClaimKey, usize> = BTreeMap::new();
    record.executions.iter().for_each(|(key, _)| *times.entry(key).or_default() += 1);
    let repeated = times.into_iter().filter(|(_, times)| *times > 1);
    let repeated =
        repeated.map(|(key, times)| ClaimViolation::ExecutedTwice { key: key.clone(), times });
    let falsely_refused =
        record.refused.iter().filter(|refused| record.executions.contains(refused));
    let falsely_refused = falsely_refused
        .map(|(key, attempt)| ClaimViolation::FalseRefusal { key: key.clone(), attempt: *attempt });
    let not_linearizable = record.keys.iter().filter(|key| !is_key_linearizable(record, key));
    let not_linearizable = not_linearizable.map(|key| ClaimViolation::NotLinearizable(key.clone()));
    repeated.chain(falsely_refused).chain(not_linearizable).collect()
}

//! What must hold of claims.

use std::collections::BTreeMap;

use juniper_types::ClaimKey;

use super::linear::is_key_linearizable;
use super::record::Record;

/// A breach of what callers are promised.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimViolation {
    /// A request that runs at most once ran more often.
    #[error("the request {key} ran {times} times")]
    RanTwice {
        /// Its key.
        key: ClaimKey,
        /// How often it ran.
        times: usize,
    },
    /// A caller was told "not run" of an attempt that ran.
    #[error("the caller of {key} was told that attempt {attempt:x} did not run, and it ran")]
    UntrueRefusal {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: u64,
    },
    /// The answers about a key contradict each other.
    #[error("the answers about {0} are not linearizable")]
    NotLinearizable(ClaimKey),
}

/// Everything that is wrong with what routers saw and ran.
pub fn check(record: &Record) -> Vec<ClaimViolation> {
    let mut times: BTreeMap<&ClaimKey, usize> = BTreeMap::new();
    record.runs.iter().for_each(|(key, _)| *times.entry(key).or_default() += 1);
    let twice = times.into_iter().filter(|(_, times)| *times > 1);
    let twice = twice.map(|(key, times)| ClaimViolation::RanTwice { key: key.clone(), times });
    let untrue = record.refused.iter().filter(|refused| record.runs.contains(refused));
    let untrue = untrue.map(|(key, attempt)| ClaimViolation::UntrueRefusal {
        key: key.clone(),
        attempt: *attempt,
    });
    let tangled = record.keys.iter().filter(|key| !is_key_linearizable(record, key));
    let tangled = tangled.map(|key| ClaimViolation::NotLinearizable(key.clone()));
    twice.chain(untrue).chain(tangled).collect()
}

//! Parts of prompts that explain the crashes of servers.
//!
//! The part that crashes servers is in the prompts on every server that it crashed; a part beside it
//! is only in some. So the parts that explain the most crashes are found one after the other, and
//! crashes that a part explains don't count against the others. Parts with the very same crashes can't
//! be told apart by them; a trial tells.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use juniper_registry::InstanceId;
use juniper_types::RequestFingerprint;

use crate::part_suspect::{PartSuspect, contains};

/// Number of crashes after which a part is quarantined. One or two may coincide with a rare part by
/// chance.
pub const CRASHES_BEFORE_PART_QUARANTINE: usize = 3;

/// Evidence against a candidate among those that remain: the most convincing is the greatest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Weight {
    has_failed_trial: bool,
    crashes: usize,
    servers: usize,
}

/// A part that explains crashes.
#[derive(Clone, Debug)]
pub(crate) struct Explanation {
    /// Servers whose crashes it explains.
    pub(crate) servers: Vec<InstanceId>,
    /// Whether a trial has shown that it is this part.
    pub(crate) is_tried: bool,
}

type Candidates<'a> = BTreeMap<RequestFingerprint, &'a PartSuspect>;

/// Parts that explain crashes.
pub(crate) fn explain(
    suspects: &BTreeMap<RequestFingerprint, PartSuspect>,
) -> BTreeMap<RequestFingerprint, Explanation> {
    let mut candidates: Candidates<'_> = suspects
        .iter()
        .filter(|(_, suspect)| suspect.count(&[]) >= CRASHES_BEFORE_PART_QUARANTINE)
        .map(|(part, suspect)| (*part, suspect))
        .collect();
    let tried: Vec<RequestFingerprint> = candidates
        .iter()
        .filter(|(part, suspect)| has_failed_trial(part, suspect, &candidates))
        .map(|(part, _)| *part)
        .collect();
    let mut found = BTreeMap::new();
    let mut explained: Vec<InstanceId> = Vec::new();
    loop {
        let weigh = |part: &RequestFingerprint, suspect: &PartSuspect| Weight {
            has_failed_trial: tried.contains(part),
            crashes: suspect.count(&explained),
            servers: suspect.unexplained(&explained).len(),
        };
        let weighed = candidates
            .iter()
            .map(|(part, suspect)| (weigh(part, suspect), Reverse(*part)))
            .filter(|(weight, _)| weight.crashes >= CRASHES_BEFORE_PART_QUARANTINE);
        let Some((weight, Reverse(best))) = weighed.max() else { return found };
        let servers = candidates[&best].unexplained(&explained);
        let is_alike = |part: &RequestFingerprint, suspect: &PartSuspect| {
            weigh(part, suspect) == weight
                && is_same_set(&suspect.unexplained(&explained), &servers)
        };
        let alike: Vec<RequestFingerprint> = candidates
            .iter()
            .filter(|(part, suspect)| **part == best || is_alike(part, suspect))
            .map(|(part, _)| *part)
            .collect();
        for part in alike {
            candidates.remove(&part);
            let is_tried = weight.has_failed_trial;
            found.insert(part, Explanation { servers: servers.clone(), is_tried });
        }
        explained.extend(servers);
    }
}

/// Whether a server crashed while the part was on trial there, and no candidate against which about as
/// many crashes count was in flight on it: one report of it may be missing.
fn has_failed_trial(
    part: &RequestFingerprint,
    suspect: &PartSuspect,
    candidates: &Candidates<'_>,
) -> bool {
    let is_alone = |instance: &InstanceId| {
        !candidates.iter().any(|(other, beside)| {
            other != part && beside.crashed(instance) && beside.count(&[]) + 1 >= suspect.count(&[])
        })
    };
    suspect.failed_trials().iter().any(is_alone)
}

fn is_same_set(left: &[InstanceId], right: &[InstanceId]) -> bool {
    left.len() == right.len() && left.iter().all(|instance| contains(right, instance))
}

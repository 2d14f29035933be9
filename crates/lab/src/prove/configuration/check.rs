//! Invariants of the settings, checked against the final state.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use juniper_control_state::{ControlState, WriteAnswer};
use juniper_settings::{SettingsPath, SettingsTree};
use juniper_types::{ChangeId, Revision};

use super::linear::{AppliedWrites, is_key_linearizable, is_revision_linearizable};
use super::record::{Invocation, Operation, Record, Response, Values, values_of};
use super::router::AppliedRevisions;

/// Violation of a guarantee to writers or routers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationViolation {
    /// A write was accepted as a revision that holds another write.
    #[error("write {id:?} was accepted as revision {revision}, which holds {found:?}")]
    AcceptedWriteLost {
        /// Change id of the write.
        id: ChangeId,
        /// Revision named in the answer.
        revision: Revision,
        /// Change id that the revision holds, if any.
        found: Option<ChangeId>,
    },
    /// A write was refused although it was applied.
    #[error("write {id:?} was refused but applied as revision {revision}")]
    RefusedButApplied {
        /// Change id of the write.
        id: ChangeId,
        /// Revision made by the write.
        revision: Revision,
    },
    /// A write was applied as two revisions.
    #[error("write {0:?} was applied as two revisions")]
    AppliedTwice(ChangeId),
    /// A resent write was answered differently from the first attempt.
    #[error("the write that made revision {revision} was resent and answered with {answer}")]
    ResendAnswerDiffers {
        /// Revision made by the write.
        revision: Revision,
        /// Answer to the resent write.
        answer: String,
    },
    /// The operations on the revision are not linearizable.
    #[error("the operations on the revision are not linearizable")]
    RevisionsNotLinearizable,
    /// The operations on a key are not linearizable.
    #[error("the operations on key {0} are not linearizable")]
    KeyNotLinearizable(SettingsPath),
    /// A router put an older revision in force.
    #[error("router {router} put revision {after} in force after revision {before}")]
    RevisionDecreased {
        /// Index of the router.
        router: usize,
        /// Newer revision, which was in force first.
        before: Revision,
        /// Older revision.
        after: Revision,
    },
    /// The values that a router had in force differ from those of the revision.
    #[error("router {router} had values in force that differ from revision {revision}")]
    ValuesDiffer {
        /// Index of the router.
        router: usize,
        /// Revision that the router had in force.
        revision: Revision,
    },
    /// The replicas no longer hold the whole history, which makes checks impossible.
    #[error("the final history is truncated; it begins at revision {0}")]
    HistoryTruncated(Revision),
}

/// Change id and values of each revision.
struct Revisions {
    ids: BTreeMap<Revision, ChangeId>,
    values: BTreeMap<Revision, Values>,
}

impl Revisions {
    fn from_state(last: &ControlState) -> Self {
        let mut tree = SettingsTree::default();
        let mut ids = BTreeMap::new();
        let mut values = BTreeMap::from([(Revision::default(), Values::new())]);
        for entry in last.settings().history().entries() {
            for change in &entry.changes {
                match &change.after {
                    Some(node) => tree.nodes.insert(change.path.clone(), node.clone()),
                    None => tree.nodes.remove(&change.path),
                };
            }
            ids.insert(entry.revision, entry.change_id.clone());
            values.insert(entry.revision, values_of(&tree));
        }
        Revisions { ids, values }
    }

    /// New value of `key` for each revision that changed it.
    fn written(&self, key: &SettingsPath) -> BTreeMap<Revision, u32> {
        let mut before = 0;
        let mut written = BTreeMap::new();
        for (revision, values) in &self.values {
            let value = values.get(key).copied().unwrap_or_default();
            if value != before {
                written.insert(*revision, value);
            }
            before = value;
        }
        written
    }
}

/// Returns all violations in the record and in the routers' applied revisions.
pub fn check(
    record: &Record,
    applied_by_router: &[&AppliedRevisions],
    last: &Rc<ControlState>,
) -> Vec<ConfigurationViolation> {
    let oldest = last.settings().history().oldest(last.settings().revision());
    if oldest != Revision::default() {
        return vec![ConfigurationViolation::HistoryTruncated(oldest)];
    }
    let revisions = Revisions::from_state(last);
    let mut violations = check_writes(record, &revisions);
    violations.extend(check_order(record, &revisions));
    for (router, applied) in applied_by_router.iter().enumerate() {
        violations.extend(check_applied_revisions(router, applied, &revisions));
    }
    violations
}

fn check_writes(record: &Record, revisions: &Revisions) -> Vec<ConfigurationViolation> {
    let mut violations = Vec::new();
    let mut seen = BTreeSet::new();
    for id in revisions.ids.values() {
        if !seen.insert(id.clone()) {
            violations.push(ConfigurationViolation::AppliedTwice(id.clone()));
        }
    }
    violations.extend(
        record.operations().iter().filter_map(|operation| check_write(operation, revisions)),
    );
    violations
}

fn check_write(operation: &Operation, revisions: &Revisions) -> Option<ConfigurationViolation> {
    let Some(Response::Write(answer)) = &operation.response else { return None };
    match (&operation.invocation, answer) {
        (Invocation::Resend { revision }, WriteAnswer::Accepted { revision: answered })
            if revision == answered =>
        {
            None
        }
        (Invocation::Resend { revision }, answer) => {
            let answer = format!("{answer:?}");
            Some(ConfigurationViolation::ResendAnswerDiffers { revision: *revision, answer })
        }
        (Invocation::Write { id, .. }, WriteAnswer::Accepted { revision }) => {
            let found = revisions.ids.get(revision).cloned();
            let lost = found.as_ref() != Some(id);
            let (id, revision) = (id.clone(), *revision);
            lost.then_some(ConfigurationViolation::AcceptedWriteLost { id, revision, found })
        }
        (Invocation::Write { id, .. }, _) => {
            let revision = revision_of(id, revisions)?;
            Some(ConfigurationViolation::RefusedButApplied { id: id.clone(), revision })
        }
        (Invocation::Read, _) => None,
    }
}

/// Finds the revision made by a write.
fn revision_of(id: &ChangeId, revisions: &Revisions) -> Option<Revision> {
    revisions.ids.iter().find(|(_, made)| *made == id).map(|(revision, _)| *revision)
}

fn check_order(record: &Record, revisions: &Revisions) -> Vec<ConfigurationViolation> {
    let applied_write = |(index, operation): (usize, &Operation)| match &operation.invocation {
        Invocation::Write { id, .. } => Some((index, revision_of(id, revisions)?)),
        _ => None,
    };
    let applied_writes: AppliedWrites =
        record.operations().iter().enumerate().filter_map(applied_write).collect();
    let mut violations = Vec::new();
    if !is_revision_linearizable(record, &applied_writes) {
        violations.push(ConfigurationViolation::RevisionsNotLinearizable);
    }
    let keys: BTreeSet<&SettingsPath> = revisions.values.values().flat_map(|v| v.keys()).collect();
    for key in keys {
        if !is_key_linearizable(record, &applied_writes, key, &revisions.written(key)) {
            violations.push(ConfigurationViolation::KeyNotLinearizable(key.clone()));
        }
    }
    violations
}

fn check_applied_revisions(
    router: usize,
    applied: &AppliedRevisions,
    revisions: &Revisions,
) -> Vec<ConfigurationViolation> {
    let mut violations = Vec::new();
    for pair in applied.windows(2) {
        let (before, after) = (pair[0].0, pair[1].0);
        if after < before {
            violations.push(ConfigurationViolation::RevisionDecreased { router, before, after });
        }
    }
    for (revision, values) in applied {
        if revisions.values.get(revision) != Some(values) {
            let revision = *revision;
            violations.push(ConfigurationViolation::ValuesDiffer { router, revision });
        }
    }
    violations
}

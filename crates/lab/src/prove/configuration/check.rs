//! What must hold of the settings, checked against the state in the end.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use juniper_control_state::{ControlState, WriteAnswer};
use juniper_settings::{SettingsPath, SettingsTree};
use juniper_types::{ChangeId, Revision};

use super::linear::{Effects, is_key_linearizable, is_revision_linearizable};
use super::record::{Answered, Asked, Operation, Record, Values, values_of};
use super::router::Trail;

/// A breach of what writers and routers are promised.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationViolation {
    /// A writer was told that its write made a revision which holds another write.
    #[error("write {id:?} was accepted as revision {revision}, which holds {found:?}")]
    Lost {
        /// The write.
        id: ChangeId,
        /// The revision it was told.
        revision: Revision,
        /// What the revision holds.
        found: Option<ChangeId>,
    },
    /// A writer was told that a write was not accepted, and it was.
    #[error("write {id:?} was refused, yet it made revision {revision}")]
    RefusedButApplied {
        /// The write.
        id: ChangeId,
        /// The revision it made.
        revision: Revision,
    },
    /// One write made two revisions.
    #[error("write {0:?} made two revisions")]
    AppliedTwice(ChangeId),
    /// A resent write got another answer than the first.
    #[error("the write that made revision {revision} was sent again and got {answer}")]
    OtherAnswer {
        /// The revision it made.
        revision: Revision,
        /// The later answer.
        answer: String,
    },
    /// Revisions are not linearizable.
    #[error("the revisions that writers saw are not linearizable")]
    RevisionsNotLinearizable,
    /// A key is not linearizable.
    #[error("the values of {0} that writers saw are not linearizable")]
    KeyNotLinearizable(SettingsPath),
    /// A router went back.
    #[error("router {router} had revision {before} in force and {after} after it")]
    WentBack {
        /// The router.
        router: usize,
        /// The higher revision.
        before: Revision,
        /// The lower one.
        after: Revision,
    },
    /// A router had other values in force than the revision holds.
    #[error("router {router} had other values in force as revision {revision}")]
    OtherValues {
        /// The router.
        router: usize,
        /// The revision.
        revision: Revision,
    },
    /// The replicas no longer hold the whole history, so nothing can be said.
    #[error("the history in the end begins at revision {0}")]
    HistoryCut(Revision),
}

/// Each revision's change id and values.
struct Revisions {
    ids: BTreeMap<Revision, ChangeId>,
    values: BTreeMap<Revision, Values>,
}

impl Revisions {
    fn of(last: &ControlState) -> Self {
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

    /// What each revision that changed `key` set it to.
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

/// Everything that is wrong with what writers and routers saw.
pub fn check(
    record: &Record,
    trails: &[&Trail],
    last: &Rc<ControlState>,
) -> Vec<ConfigurationViolation> {
    let oldest = last.settings().history().oldest(last.settings().revision());
    if oldest != Revision::default() {
        return vec![ConfigurationViolation::HistoryCut(oldest)];
    }
    let revisions = Revisions::of(last);
    let mut violations = check_writes(record, &revisions);
    violations.extend(check_order(record, &revisions));
    for (router, trail) in trails.iter().enumerate() {
        violations.extend(check_trail(router, trail, &revisions));
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
    violations.extend(record.operations().iter().filter_map(|one| check_write(one, revisions)));
    violations
}

fn check_write(operation: &Operation, revisions: &Revisions) -> Option<ConfigurationViolation> {
    let Some(Answered::Write(answer)) = &operation.answered else { return None };
    match (&operation.asked, answer) {
        (Asked::Again { revision }, WriteAnswer::Accepted { revision: again })
            if revision == again =>
        {
            None
        }
        (Asked::Again { revision }, answer) => {
            let answer = format!("{answer:?}");
            Some(ConfigurationViolation::OtherAnswer { revision: *revision, answer })
        }
        (Asked::Write { id, .. }, WriteAnswer::Accepted { revision }) => {
            let found = revisions.ids.get(revision).cloned();
            let lost = found.as_ref() != Some(id);
            let (id, revision) = (id.clone(), *revision);
            lost.then_some(ConfigurationViolation::Lost { id, revision, found })
        }
        (Asked::Write { id, .. }, _) => {
            let revision = made(id, revisions)?;
            Some(ConfigurationViolation::RefusedButApplied { id: id.clone(), revision })
        }
        (Asked::Read, _) => None,
    }
}

/// The revision that a write made.
fn made(id: &ChangeId, revisions: &Revisions) -> Option<Revision> {
    revisions.ids.iter().find(|(_, made)| *made == id).map(|(revision, _)| *revision)
}

fn check_order(record: &Record, revisions: &Revisions) -> Vec<ConfigurationViolation> {
    let effect = |(place, operation): (usize, &Operation)| match &operation.asked {
        Asked::Write { id, .. } => Some((place, made(id, revisions)?)),
        _ => None,
    };
    let effects: Effects = record.operations().iter().enumerate().filter_map(effect).collect();
    let mut violations = Vec::new();
    if !is_revision_linearizable(record, &effects) {
        violations.push(ConfigurationViolation::RevisionsNotLinearizable);
    }
    let keys: BTreeSet<&SettingsPath> = revisions.values.values().flat_map(|v| v.keys()).collect();
    for key in keys {
        if !is_key_linearizable(record, &effects, key, &revisions.written(key)) {
            violations.push(ConfigurationViolation::KeyNotLinearizable(key.clone()));
        }
    }
    violations
}

fn check_trail(router: usize, trail: &Trail, revisions: &Revisions) -> Vec<ConfigurationViolation> {
    let mut violations = Vec::new();
    for pair in trail.windows(2) {
        let (before, after) = (pair[0].0, pair[1].0);
        if after < before {
            violations.push(ConfigurationViolation::WentBack { router, before, after });
        }
    }
    for (revision, values) in trail {
        if revisions.values.get(revision) != Some(values) {
            let revision = *revision;
            violations.push(ConfigurationViolation::OtherValues { router, revision });
        }
    }
    violations
}

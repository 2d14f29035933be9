//! Sequential specifications for the library's linearizability checker.

use std::collections::BTreeMap;

use juniper_control_state::WriteAnswer;
use juniper_settings::SettingsPath;
use juniper_types::Revision;
use todc_utils::specifications::Specification;
use todc_utils::specifications::register::{RegisterOperation, RegisterSpecification};
use todc_utils::{Action, History, WGLChecker};

use super::record::{Answered, Asked, End, Operation, Record, Values};

/// What a write or a read says about the revision.
#[derive(Clone, Debug)]
enum RevisionOperation {
    /// The write made this revision of the one before.
    Accept(u64),
    /// The write built on `base` while the revision was `current`.
    Conflict { base: u64, current: u64 },
    /// The revision was read.
    Read(u64),
}

/// The revision: a register that a write compares and raises by one.
struct RevisionSpecification;

impl Specification for RevisionSpecification {
    type State = u64;
    type Operation = RevisionOperation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &RevisionOperation, state: &u64) -> (bool, u64) {
        match *operation {
            RevisionOperation::Accept(revision) if revision == state + 1 => (true, revision),
            RevisionOperation::Accept(_) => (false, *state),
            RevisionOperation::Conflict { base, current } => {
                (current == *state && base != current, *state)
            }
            RevisionOperation::Read(revision) => (revision == *state, *state),
        }
    }
}

/// Accepted writes by place in the record, each with the revision it made;
/// those whose writer never learned it included.
pub type Effects = BTreeMap<usize, Revision>;

/// Whether the revisions seen fit one order of all operations.
pub fn is_revision_linearizable(record: &Record, effects: &Effects) -> bool {
    let operation = |place: usize, operation: &Operation| {
        if let Some(revision) = effects.get(&place) {
            return Some(RevisionOperation::Accept(revision.0));
        }
        match (&operation.asked, operation.answered.as_ref()?) {
            (Asked::Write { base, .. }, Answered::Write(WriteAnswer::Conflict { current, .. })) => {
                Some(RevisionOperation::Conflict { base: base.0, current: current.0 })
            }
            (Asked::Read, Answered::Read { revision, .. }) => {
                Some(RevisionOperation::Read(revision.0))
            }
            _ => None,
        }
    };
    is_linearizable::<RevisionSpecification>(record, operation)
}

/// Whether the values of one key seen fit one order of all operations.
/// `written` tells what a revision set the key to, if it changed it.
pub fn is_key_linearizable(
    record: &Record,
    effects: &Effects,
    key: &SettingsPath,
    written: impl Fn(Revision) -> Option<u32>,
) -> bool {
    let read = |values: &Values| values.get(key).copied().unwrap_or_default();
    let operation = |place: usize, operation: &Operation| {
        if let Some(revision) = effects.get(&place) {
            return written(*revision).map(RegisterOperation::Write);
        }
        match operation.answered.as_ref()? {
            Answered::Read { values, .. } => Some(RegisterOperation::Read(Some(read(values)))),
            Answered::Write(_) => None,
        }
    };
    is_linearizable::<RegisterSpecification<u32>>(record, operation)
}

/// Checks the operations that `translate` knows. An accepted write whose writer
/// was never told responds at the end of time.
fn is_linearizable<S: Specification>(
    record: &Record,
    translate: impl Fn(usize, &Operation) -> Option<S::Operation>,
) -> bool {
    let translated: BTreeMap<usize, S::Operation> = record
        .operations
        .iter()
        .enumerate()
        .filter_map(|(place, operation)| Some((place, translate(place, operation)?)))
        .collect();
    let mut actions = Vec::new();
    for end in &record.ends {
        let (place, is_call) = match end {
            End::Call(place) => (*place, true),
            End::Response(place) => (*place, false),
        };
        if let Some(operation) = translated.get(&place).cloned() {
            let call = Action::Call(operation.clone());
            actions.push((place, if is_call { call } else { Action::Response(operation) }));
        }
    }
    for (place, operation) in translated {
        if record.operations.get(place).is_some_and(|known| known.answered.is_none()) {
            actions.push((place, Action::Response(operation)));
        }
    }
    actions.is_empty() || WGLChecker::<S>::is_linearizable(History::from_actions(actions))
}

//! Sequential specifications for the linearizability checker.

use std::collections::BTreeMap;

use juniper_control_state::WriteAnswer;
use juniper_settings::SettingsPath;
use juniper_types::Revision;
use todc_utils::specifications::Specification;

use super::record::{Invocation, Operation, Record, Response, Values};
use crate::prove::history::Translated;

/// Effect of a write or read on the revision.
#[derive(Clone, Debug)]
enum RevisionOperation {
    /// A write made this revision from the previous one.
    Accept(u64),
    /// A write based on `base` was refused while the revision was `current`.
    Conflict { base: u64, current: u64 },
    /// A read returned this revision.
    Read(u64),
}

/// Specification of the revision: a register that a write compares and increments.
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

/// Effect of a write or read on one key.
#[derive(Clone, Debug)]
enum KeyOperation {
    /// A write changed the key, which was last changed by `previous`.
    Write { previous: Revision, revision: Revision, value: u32 },
    /// A read returned this value.
    Read(u32),
}

/// Specification of one key: a register with writes in the order of their revisions.
/// Unordered writes would make the check of an invalid history take exponential time.
struct KeySpecification;

impl Specification for KeySpecification {
    type State = (Revision, u32);
    type Operation = KeyOperation;

    fn init() -> (Revision, u32) {
        (Revision::default(), 0)
    }

    fn apply(operation: &KeyOperation, state: &(Revision, u32)) -> (bool, (Revision, u32)) {
        match *operation {
            KeyOperation::Write { previous, revision, value } if previous == state.0 => {
                (true, (revision, value))
            }
            KeyOperation::Write { .. } => (false, *state),
            KeyOperation::Read(value) => (value == state.1, *state),
        }
    }
}

/// Revision of each applied write by index in the record, including writes whose
/// writer received no answer.
pub type AppliedWrites = BTreeMap<usize, Revision>;

/// Whether the operations on the revision are linearizable.
pub fn is_revision_linearizable(record: &Record, applied: &AppliedWrites) -> bool {
    let translate = |index: usize, operation: &Operation| {
        if let Some(revision) = applied.get(&index) {
            return Some(RevisionOperation::Accept(revision.0));
        }
        match (&operation.invocation, operation.response.as_ref()?) {
            (
                Invocation::Write { base, .. },
                Response::Write(WriteAnswer::Conflict { current, .. }),
            ) => Some(RevisionOperation::Conflict { base: base.0, current: current.0 }),
            (Invocation::Read, Response::Read { revision, .. }) => {
                Some(RevisionOperation::Read(revision.0))
            }
            _ => None,
        }
    };
    record.is_linearizable::<RevisionSpecification>(|index, operation| {
        Some(Translated {
            operation: translate(index, operation)?,
            is_open: operation.response.is_none(),
        })
    })
}

/// Whether the operations on `key` are linearizable. `written` maps each revision
/// that changed the key to the new value.
pub fn is_key_linearizable(
    record: &Record,
    applied: &AppliedWrites,
    key: &SettingsPath,
    written: &BTreeMap<Revision, u32>,
) -> bool {
    let read = |values: &Values| values.get(key).copied().unwrap_or_default();
    let write = |revision: Revision| {
        let value = *written.get(&revision)?;
        let previous = written.range(..revision).next_back();
        let previous = previous.map_or(Revision::default(), |(revision, _)| *revision);
        Some(KeyOperation::Write { previous, revision, value })
    };
    let translate = |index: usize, operation: &Operation| {
        if let Some(revision) = applied.get(&index) {
            return write(*revision);
        }
        match operation.response.as_ref()? {
            Response::Read { values, .. } => Some(KeyOperation::Read(read(values))),
            Response::Write(_) => None,
        }
    };
    record.is_linearizable::<KeySpecification>(|index, operation| {
        Some(Translated {
            operation: translate(index, operation)?,
            is_open: operation.response.is_none(),
        })
    })
}

//! Sequential specifications for the library's linearizability checker.

use std::collections::BTreeMap;

use juniper_control_state::WriteAnswer;
use juniper_settings::SettingsPath;
use juniper_types::Revision;
use todc_utils::specifications::Specification;

use super::record::{Answered, Asked, Operation, Record, Values};
use crate::prove::history::Translated;

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

/// What a write or a read says about one key.
#[derive(Clone, Debug)]
enum KeyOperation {
    /// The write changed the key, which had last changed with `previous`.
    Write { previous: Revision, revision: Revision, value: u32 },
    /// The value was read.
    Read(u32),
}

/// One key: a register whose writes follow each other in the order of their
/// revisions. Blind writes in any order would let the search for an order of a
/// faulty history take exponential time.
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
    record.is_linearizable::<RevisionSpecification>(|place, known| {
        Some(Translated { operation: operation(place, known)?, is_open: known.answered.is_none() })
    })
}

/// Whether the values of one key seen fit one order of all operations.
/// `written` holds what each revision that changed the key set it to.
pub fn is_key_linearizable(
    record: &Record,
    effects: &Effects,
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
    let operation = |place: usize, operation: &Operation| {
        if let Some(revision) = effects.get(&place) {
            return write(*revision);
        }
        match operation.answered.as_ref()? {
            Answered::Read { values, .. } => Some(KeyOperation::Read(read(values))),
            Answered::Write(_) => None,
        }
    };
    record.is_linearizable::<KeySpecification>(|place, known| {
        Some(Translated { operation: operation(place, known)?, is_open: known.answered.is_none() })
    })
}

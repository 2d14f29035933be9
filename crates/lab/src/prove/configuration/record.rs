//! What the writers asked and were told, in the order of invocation and response.

use std::collections::BTreeMap;

use juniper_control_state::WriteAnswer;
use juniper_settings::{SettingsPath, SettingsTree};
use juniper_types::{ChangeId, Revision};

use crate::prove::history::History;

/// The value that each key has; a key that is not there has none.
pub type Values = BTreeMap<SettingsPath, u32>;

/// The values in a tree.
pub fn values_of(tree: &SettingsTree) -> Values {
    let value = |(path, node): (&SettingsPath, &juniper_settings::SettingsNode)| {
        node.overrides.concurrency.map(|value| (path.clone(), value))
    };
    tree.nodes.iter().filter_map(value).collect()
}

/// What was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// A write upon a revision, under an id.
    Write {
        /// The id.
        id: ChangeId,
        /// The revision it builds on.
        base: Revision,
    },
    /// A write sent once more, long after it was accepted as `revision`.
    Again {
        /// The revision that it made.
        revision: Revision,
    },
    /// A linearizable read.
    Read,
}

/// What was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answered {
    /// The answer to a write.
    Write(WriteAnswer),
    /// What was read.
    Read {
        /// The revision.
        revision: Revision,
        /// The values.
        values: Values,
    },
}

/// One operation of one writer.
pub type Operation = crate::prove::history::Operation<Asked, Answered>;

/// Everything the writers did.
pub type Record = History<Asked, Answered>;

/// The highest revision that a writer knows as accepted.
pub fn highest_accepted(record: &Record) -> Revision {
    let accepted = record.operations().iter().filter_map(|operation| match &operation.answered {
        Some(Answered::Write(WriteAnswer::Accepted { revision })) => Some(*revision),
        _ => None,
    });
    accepted.max().unwrap_or_default()
}

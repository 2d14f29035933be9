//! Record of the writers' operations in the order of invocations and responses.

use std::collections::BTreeMap;

use juniper_control_state::WriteAnswer;
use juniper_settings::{SettingsPath, SettingsTree};
use juniper_types::{ChangeId, Revision};

use crate::prove::history::History;

/// Value of each key that is set.
pub type Values = BTreeMap<SettingsPath, u32>;

/// Extracts the values from a settings tree.
pub fn values_of(tree: &SettingsTree) -> Values {
    let value = |(path, node): (&SettingsPath, &juniper_settings::SettingsNode)| {
        node.overrides.concurrency.map(|value| (path.clone(), value))
    };
    tree.nodes.iter().filter_map(value).collect()
}

/// Arguments of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// Conditional write.
    Write {
        /// Change id of the write.
        id: ChangeId,
        /// Revision on which the write is based.
        base: Revision,
    },
    /// Write that is resent after it was accepted as `revision`.
    Resend {
        /// Revision made by the write.
        revision: Revision,
    },
    /// A linearizable read.
    Read,
}

/// Result of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Answer to a write.
    Write(WriteAnswer),
    /// Result of a read.
    Read {
        /// Current revision.
        revision: Revision,
        /// Values at that revision.
        values: Values,
    },
}

/// Operation of one writer.
pub type Operation = crate::prove::history::Operation<Invocation, Response>;

/// Operations of all writers.
pub type Record = History<Invocation, Response>;

/// Highest revision that was returned to a writer as accepted.
pub fn highest_accepted(record: &Record) -> Revision {
    let accepted = record.operations().iter().filter_map(|operation| match &operation.response {
        Some(Response::Write(WriteAnswer::Accepted { revision })) => Some(*revision),
        _ => None,
    });
    accepted.max().unwrap_or_default()
}

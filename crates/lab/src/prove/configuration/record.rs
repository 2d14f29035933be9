//! What the writers asked and were told, in the order of invocation and response.

use std::collections::BTreeMap;

use juniper_control_state::WriteAnswer;
use juniper_settings::{SettingsPath, SettingsTree};
use juniper_types::{ChangeId, Revision};

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
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// What was asked.
    pub asked: Asked,
    /// The answer; `None` while it isn't known.
    pub answered: Option<Answered>,
}

/// One end of an operation, by its place among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The first sending.
    Call(usize),
    /// The answer.
    Response(usize),
}

/// Everything the writers did.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The operations.
    pub operations: Vec<Operation>,
    /// Their ends in order of time.
    pub ends: Vec<End>,
}

impl Record {
    /// An operation begins; returns its place.
    pub fn call(&mut self, asked: Asked) -> usize {
        self.operations.push(Operation { asked, answered: None });
        let place = self.operations.len() - 1;
        self.ends.push(End::Call(place));
        place
    }

    /// An operation has its answer.
    pub fn response(&mut self, place: usize, answered: Answered) {
        self.ends.push(End::Response(place));
        if let Some(operation) = self.operations.get_mut(place) {
            operation.answered = Some(answered);
        }
    }

    /// The highest revision that a writer knows as accepted.
    pub fn highest_accepted(&self) -> Revision {
        let accepted = self.operations.iter().filter_map(|operation| match &operation.answered {
            Some(Answered::Write(WriteAnswer::Accepted { revision })) => Some(*revision),
            _ => None,
        });
        accepted.max().unwrap_or_default()
    }
}

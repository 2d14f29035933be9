//! Histories of operations with the order of their invocations and responses,
//! and the library's check that they are linearizable.

use todc_utils::specifications::Specification;
use todc_utils::{Action, History as LibraryHistory, WGLChecker};

/// One operation of one client.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation<Asked, Answered> {
    /// What was asked.
    pub asked: Asked,
    /// The answer; `None` while it isn't known.
    pub answered: Option<Answered>,
}

/// One end of an operation, by its place among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The first sending.
    Call(usize),
    /// The answer.
    Response(usize),
}

/// Everything that clients asked and were told.
#[derive(Clone, Debug)]
pub struct History<Asked, Answered> {
    operations: Vec<Operation<Asked, Answered>>,
    ends: Vec<End>,
}

/// An operation in the terms of a specification.
#[derive(Clone, Debug)]
pub struct Translated<SpecificationOperation> {
    /// The operation with its answer.
    pub operation: SpecificationOperation,
    /// Whether the client doesn't know the answer. Such an operation may take
    /// effect at any time from its call on.
    pub is_open: bool,
}

impl<Asked, Answered> Default for History<Asked, Answered> {
    fn default() -> Self {
        History { operations: Vec::new(), ends: Vec::new() }
    }
}

impl<Asked, Answered> History<Asked, Answered> {
    /// The operations, in the order of their calls.
    pub fn operations(&self) -> &[Operation<Asked, Answered>] {
        &self.operations
    }

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

    /// Whether the operations that `translate` knows fit one order that keeps to
    /// the specification and to real time.
    pub fn is_linearizable<S: Specification>(
        &self,
        translate: impl Fn(usize, &Operation<Asked, Answered>) -> Option<Translated<S::Operation>>,
    ) -> bool {
        let translated: Vec<Option<Translated<S::Operation>>> = self
            .operations
            .iter()
            .enumerate()
            .map(|(place, operation)| translate(place, operation))
            .collect();
        let known = |place: usize| translated.get(place).and_then(Option::as_ref);
        let mut actions = Vec::new();
        for end in &self.ends {
            match *end {
                End::Call(place) => {
                    let call = known(place).map(|found| Action::Call(found.operation.clone()));
                    actions.extend(call.map(|call| (place, call)));
                }
                End::Response(place) => {
                    let answered = known(place).filter(|found| !found.is_open);
                    let answer = answered.map(|found| Action::Response(found.operation.clone()));
                    actions.extend(answer.map(|answer| (place, answer)));
                }
            }
        }
        for (place, found) in translated.into_iter().enumerate() {
            let open = found.filter(|found| found.is_open);
            actions.extend(open.map(|found| (place, Action::Response(found.operation))));
        }
        actions.is_empty()
            || WGLChecker::<S>::is_linearizable(LibraryHistory::from_actions(actions))
    }
}

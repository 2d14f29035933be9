//! Operation histories in the order of invocations and responses, and their
//! linearizability check.

use todc_utils::specifications::Specification;
use todc_utils::{Action, History as LibraryHistory, WGLChecker};

/// Operation of one client.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation<Invocation, Response> {
    /// Arguments of the operation.
    pub invocation: Invocation,
    /// Response; `None` while the client hasn't received one.
    pub response: Option<Response>,
}

/// Invocation or response of an operation, by index of the operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Call(usize),
    Response(usize),
}

/// Operations of all clients, with the order of invocations and responses.
#[derive(Clone, Debug)]
pub struct History<Invocation, Response> {
    operations: Vec<Operation<Invocation, Response>>,
    events: Vec<Event>,
}

/// Operation translated for a sequential specification.
#[derive(Clone, Debug)]
pub struct Translated<SpecificationOperation> {
    /// Operation of the specification, with its response.
    pub operation: SpecificationOperation,
    /// Whether the response is unknown. Such an operation may take effect at any
    /// time after its invocation.
    pub is_open: bool,
}

impl<Invocation, Response> Default for History<Invocation, Response> {
    fn default() -> Self {
        History { operations: Vec::new(), events: Vec::new() }
    }
}

impl<Invocation, Response> History<Invocation, Response> {
    /// Operations in the order of their invocations.
    pub fn operations(&self) -> &[Operation<Invocation, Response>] {
        &self.operations
    }

    /// Records the invocation of an operation and returns the operation's index.
    pub fn record_invocation(&mut self, invocation: Invocation) -> usize {
        self.operations.push(Operation { invocation, response: None });
        let index = self.operations.len() - 1;
        self.events.push(Event::Call(index));
        index
    }

    /// Records the response to the operation at `index`.
    pub fn record_response(&mut self, index: usize, response: Response) {
        self.events.push(Event::Response(index));
        if let Some(operation) = self.operations.get_mut(index) {
            operation.response = Some(response);
        }
    }

    /// Whether the operations that `translate` returns are linearizable under the
    /// specification `S`.
    pub fn is_linearizable<S: Specification>(
        &self,
        translate: impl Fn(usize, &Operation<Invocation, Response>) -> Option<Translated<S::Operation>>,
    ) -> bool {
        let translated: Vec<Option<Translated<S::Operation>>> = self
            .operations
            .iter()
            .enumerate()
            .map(|(index, operation)| translate(index, operation))
            .collect();
        let translation = |index: usize| translated.get(index).and_then(Option::as_ref);
        let mut actions = Vec::new();
        for event in &self.events {
            match *event {
                Event::Call(index) => {
                    let invocation = translation(index)
                        .map(|translation| Action::Call(translation.operation.clone()));
                    actions.extend(invocation.map(|invocation| (index, invocation)));
                }
                Event::Response(index) => {
                    let completed = translation(index).filter(|translation| !translation.is_open);
                    let response = completed
                        .map(|translation| Action::Response(translation.operation.clone()));
                    actions.extend(response.map(|response| (index, response)));
                }
            }
        }
        for (index, translation) in translated.into_iter().enumerate() {
            let open = translation.filter(|translation| translation.is_open);
            actions
                .extend(open.map(|translation| (index, Action::Response(translation.operation))));
        }
        actions.is_empty()
            || WGLChecker::<S>::is_linearizable(LibraryHistory::from_actions(actions))
    }
}

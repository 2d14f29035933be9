//! Calls that wait for a commit or for the confirmation of a quorum.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use juniper_consensus::{Index, Proposal, Term};
use juniper_control_state::{Answer, ControlState};
use juniper_protocol::Refusal;
use juniper_types::NodeId;
use tokio::sync::oneshot;

/// Sender for the answer to a proposal.
pub(super) type AnswerSender = oneshot::Sender<Result<Answer, Refusal>>;

/// Function that a confirmed read calls with the state.
pub(super) type ReadCall = Box<dyn FnOnce(Result<&ControlState, Refusal>) + Send>;

struct PendingProposal {
    term: Term,
    proposed_at: Instant,
    answer: AnswerSender,
}

/// Pending proposals by log index.
#[derive(Default)]
pub(super) struct PendingProposals(BTreeMap<Index, PendingProposal>);

impl PendingProposals {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn add(&mut self, proposal: Proposal, answer: AnswerSender) {
        let pending = PendingProposal { term: proposal.term, proposed_at: Instant::now(), answer };
        self.0.insert(proposal.index, pending);
    }

    /// Answers the proposal of the committed entry at `index`. Returns the time of the proposal, if it
    /// was made on this replica.
    pub fn complete(&mut self, index: Index, term: Term, answer: Answer) -> Option<Instant> {
        let pending = self.0.remove(&index)?;
        if pending.term == term {
            let _ = pending.answer.send(Ok(answer));
            return Some(pending.proposed_at);
        }
        // An entry of another leader was committed at this index, so the proposal never will be.
        let _ = pending.answer.send(Err(Refusal::NotLeader { leader: None }));
        None
    }

    /// Fails all pending proposals with an unknown outcome, after this replica lost leadership.
    pub fn fail_all(&mut self) {
        for (_, pending) in std::mem::take(&mut self.0) {
            let _ = pending.answer.send(Err(Refusal::Unknown));
        }
    }
}

/// Pending reads by the context that the consensus protocol returns.
#[derive(Default)]
pub(super) struct PendingReads {
    last_context: u64,
    calls: HashMap<u64, ReadCall>,
}

impl PendingReads {
    /// Adds a read and returns its context.
    pub fn add(&mut self, call: ReadCall) -> u64 {
        self.last_context += 1;
        self.calls.insert(self.last_context, call);
        self.last_context
    }

    pub fn take(&mut self, context: u64) -> Option<ReadCall> {
        self.calls.remove(&context)
    }
}

/// Refusal of a read that can't be confirmed on this replica.
pub(super) fn refusal_without_confirmation(leader: Option<NodeId>) -> Refusal {
    match leader {
        Some(_) => Refusal::NotLeader { leader },
        None => Refusal::NoQuorum,
    }
}

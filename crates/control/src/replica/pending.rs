//! Calls that wait for a commit or for a quorum's confirmation.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use juniper_consensus::{Index, Proposal, Term};
use juniper_control_state::{Answer, ControlState};
use juniper_protocol::Refusal;
use juniper_types::NodeId;
use tokio::sync::oneshot;

/// Where the answer to a proposal goes.
pub(super) type AnswerSender = oneshot::Sender<Result<Answer, Refusal>>;

/// What a confirmed read runs.
pub(super) type ReadCall = Box<dyn FnOnce(Result<&ControlState, Refusal>) + Send>;

struct PendingProposal {
    term: Term,
    asked: Instant,
    answer: AnswerSender,
}

/// Proposals by their place in the log.
#[derive(Default)]
pub(super) struct PendingProposals(BTreeMap<Index, PendingProposal>);

impl PendingProposals {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn add(&mut self, proposal: Proposal, answer: AnswerSender) {
        let pending = PendingProposal { term: proposal.term, asked: Instant::now(), answer };
        self.0.insert(proposal.index, pending);
    }

    /// The entry at `index` is committed. Returns when its proposal was made, if
    /// it was made here.
    pub fn committed(&mut self, index: Index, term: Term, answer: Answer) -> Option<Instant> {
        let pending = self.0.remove(&index)?;
        if pending.term == term {
            let _ = pending.answer.send(Ok(answer));
            return Some(pending.asked);
        }
        // Another leader's entry stands in its place: it will never be committed.
        let _ = pending.answer.send(Err(Refusal::NotLeader { leader: None }));
        None
    }

    /// This replica doesn't lead any more: whether the rest gets committed is open.
    pub fn lose_all(&mut self) {
        for (_, pending) in std::mem::take(&mut self.0) {
            let _ = pending.answer.send(Err(Refusal::Unknown));
        }
    }
}

/// Reads by the context that the agreement hands back.
#[derive(Default)]
pub(super) struct PendingReads {
    last_context: u64,
    calls: HashMap<u64, ReadCall>,
}

impl PendingReads {
    /// Keeps a read and returns its context.
    pub fn add(&mut self, call: ReadCall) -> u64 {
        self.last_context += 1;
        self.calls.insert(self.last_context, call);
        self.last_context
    }

    pub fn take(&mut self, context: u64) -> Option<ReadCall> {
        self.calls.remove(&context)
    }
}

/// What a caller hears whose read can't be confirmed here.
pub(super) fn unconfirmed(leader: Option<NodeId>) -> Refusal {
    match leader {
        Some(_) => Refusal::NotLeader { leader },
        None => Refusal::NoQuorum,
    }
}

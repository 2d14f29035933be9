//! Sequential specification of one key, for the linearizability checker.

use juniper_control_state::{Answer, SettleAnswer};
use juniper_types::{ClaimAnswer, ClaimKey};
use todc_utils::specifications::Specification;

use super::record::{Invocation, Operation, Record};
use crate::prove::history::Translated;

/// Effect of an operation on one key; `answer` is `None` while unknown.
#[derive(Clone, Debug)]
enum KeyOperation {
    Claim { made_at: u64, attempt: u64, answer: Option<ClaimAnswer> },
    Settle { attempt: u64, answer: Option<SettleAnswer> },
    Advance { made_at: u64, to: u64, answer: Option<u64> },
}

/// Horizon, and the attempt that holds the claim with whether it is settled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct KeyState {
    horizon: u64,
    holder: Option<(u64, bool)>,
}

/// Specification of one key: at most one attempt is granted before the horizon
/// passes the key.
struct KeySpecification;

impl Specification for KeySpecification {
    type State = KeyState;
    type Operation = KeyOperation;

    fn init() -> KeyState {
        KeyState::default()
    }

    fn apply(operation: &KeyOperation, state: &KeyState) -> (bool, KeyState) {
        match operation {
            KeyOperation::Claim { made_at, attempt, answer } => {
                let (expected, next) = claim(*made_at, *attempt, state);
                let valid = answer.as_ref().is_none_or(|answer| *answer == expected);
                (valid, if valid { next } else { *state })
            }
            KeyOperation::Settle { attempt, answer } => {
                let held = state.holder.is_some_and(|(holder, _)| holder == *attempt);
                let expected = if held { SettleAnswer::Recorded } else { SettleAnswer::NotHeld };
                let valid = answer.is_none_or(|answer| answer == expected);
                let holder = if held { Some((*attempt, true)) } else { state.holder };
                (valid, if valid { KeyState { holder, ..*state } } else { *state })
            }
            KeyOperation::Advance { made_at, to, answer } => {
                let horizon = state.horizon.max(*to);
                let valid = answer.is_none_or(|answer| answer == horizon);
                let holder = state.holder.filter(|_| *made_at >= horizon);
                (valid, if valid { KeyState { horizon, holder } } else { *state })
            }
        }
    }
}

/// Returns the expected answer to a claim and the resulting state.
fn claim(made_at: u64, attempt: u64, state: &KeyState) -> (ClaimAnswer, KeyState) {
    if made_at < state.horizon {
        return (ClaimAnswer::Expired { horizon: state.horizon }, *state);
    }
    match state.holder {
        None => {
            let holder = Some((attempt, false));
            (ClaimAnswer::Granted, KeyState { holder, ..*state })
        }
        Some((holder, true)) => (ClaimAnswer::Settled(super::router::outcome_of(holder)), *state),
        Some((holder, false)) if holder == attempt => (ClaimAnswer::Granted, *state),
        Some(_) => (ClaimAnswer::OutcomeUnknown, *state),
    }
}

/// Translates an operation to its effect on `key`; `None` if it has none.
///
/// A claim that was answered "too early" counts as unanswered: a resent claim may
/// have reached a replica whose clock is ahead. A settlement that was answered
/// "expired" counts as unanswered too: an earlier attempt to send it may have been
/// applied before the horizon moved.
fn operation_on_key(key: &ClaimKey, operation: &Operation) -> Option<KeyOperation> {
    let made_at = key.made_at();
    match (&operation.invocation, &operation.response) {
        (Invocation::Claim { key: claimed, attempt }, response) if claimed == key => {
            let answer = match response {
                Some(Answer::Claim(ClaimAnswer::TooEarly)) | None => None,
                Some(Answer::Claim(answer)) => Some(answer.clone()),
                Some(_) => Some(ClaimAnswer::KeyReused),
            };
            Some(KeyOperation::Claim { made_at, attempt: *attempt, answer })
        }
        (Invocation::Settle { key: claimed, attempt }, response) if claimed == key => {
            let answer = match response {
                Some(Answer::Settle(SettleAnswer::Expired { .. })) => None,
                Some(Answer::Settle(answer)) => Some(*answer),
                _ => None,
            };
            Some(KeyOperation::Settle { attempt: *attempt, answer })
        }
        (Invocation::Advance { to }, response) => {
            let answer = match response {
                Some(Answer::Horizon(horizon)) => Some(*horizon),
                _ => None,
            };
            Some(KeyOperation::Advance { made_at, to: *to, answer })
        }
        _ => None,
    }
}

fn is_open(operation: &KeyOperation) -> bool {
    match operation {
        KeyOperation::Claim { answer, .. } => answer.is_none(),
        KeyOperation::Settle { answer, .. } => answer.is_none(),
        KeyOperation::Advance { answer, .. } => answer.is_none(),
    }
}

/// Whether the operations on `key` are linearizable.
pub fn is_key_linearizable(record: &Record, key: &ClaimKey) -> bool {
    record.history.is_linearizable::<KeySpecification>(|_, operation| {
        let key_operation = operation_on_key(key, operation)?;
        Some(Translated { is_open: is_open(&key_operation), operation: key_operation })
    })
}

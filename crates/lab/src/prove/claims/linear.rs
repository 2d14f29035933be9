//! The sequential specification of one key, for the library's linearizability checker.

use juniper_control_state::{Answer, SettleAnswer};
use juniper_types::{ClaimAnswer, ClaimKey};
use todc_utils::specifications::Specification;

use super::record::{Asked, Operation, Record};
use crate::prove::history::Translated;

/// One operation as it concerns one key; no answer means that it isn't known.
#[derive(Clone, Debug)]
enum KeyOperation {
    Claim { made_at: u64, attempt: u64, answer: Option<ClaimAnswer> },
    Settle { attempt: u64, answer: Option<SettleAnswer> },
    Advance { made_at: u64, to: u64, answer: Option<u64> },
}

/// Who holds the claim, and whether it is settled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct KeyState {
    horizon: u64,
    holder: Option<(u64, bool)>,
}

/// One key: granted to one attempt at most, until the horizon has passed it.
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

/// The right answer to a claim, and the state after it.
fn claim(made_at: u64, attempt: u64, state: &KeyState) -> (ClaimAnswer, KeyState) {
    if made_at < state.horizon {
        return (ClaimAnswer::Expired { horizon: state.horizon }, *state);
    }
    match state.holder {
        None => {
            let holder = Some((attempt, false));
            (ClaimAnswer::Granted, KeyState { holder, ..*state })
        }
        Some((holder, true)) => (ClaimAnswer::Settled(super::caller::outcome_of(holder)), *state),
        Some((holder, false)) if holder == attempt => (ClaimAnswer::Granted, *state),
        Some(_) => (ClaimAnswer::OutcomeUnknown, *state),
    }
}

/// The operation as it concerns `key`, if it does.
///
/// An answer of "too early" counts as none: another sending of the same question
/// may have met a replica with a better clock later. So does a settlement that is
/// told "expired": an earlier sending may have been kept before the horizon moved.
fn concerning(key: &ClaimKey, operation: &Operation) -> Option<KeyOperation> {
    let made_at = key.made_at();
    match (&operation.asked, &operation.answered) {
        (Asked::Claim { key: asked, attempt }, answered) if asked == key => {
            let answer = match answered {
                Some(Answer::Claim(ClaimAnswer::TooEarly)) | None => None,
                Some(Answer::Claim(answer)) => Some(answer.clone()),
                Some(_) => Some(ClaimAnswer::KeyReused),
            };
            Some(KeyOperation::Claim { made_at, attempt: *attempt, answer })
        }
        (Asked::Settle { key: asked, attempt }, answered) if asked == key => {
            let answer = match answered {
                Some(Answer::Settle(SettleAnswer::Expired { .. })) => None,
                Some(Answer::Settle(answer)) => Some(*answer),
                _ => None,
            };
            Some(KeyOperation::Settle { attempt: *attempt, answer })
        }
        (Asked::Advance { to }, answered) => {
            let answer = match answered {
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

/// Whether everything that was said about `key` fits one order of all operations.
pub fn is_key_linearizable(record: &Record, key: &ClaimKey) -> bool {
    record.history.is_linearizable::<KeySpecification>(|_, known| {
        let operation = concerning(key, known)?;
        Some(Translated { is_open: is_open(&operation), operation })
    })
}

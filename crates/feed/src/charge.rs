//! Charges against fleet-wide limits, sent to the replicas that own them.

use juniper_protocol::message::{ChargeAnswer, LimitCharge};
use juniper_protocol::{Refusal, Reply};
use tokio::sync::oneshot;

/// Reason why a charge got no answer. The owner may have counted the charge nevertheless.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChargeError {
    /// No connected replica has the requested rank.
    #[error("no replica is connected")]
    NoReplica,
    /// The replica doesn't own limits at the moment.
    #[error("replica refused the charge: {0}")]
    NotOwner(#[from] Refusal),
    /// The connection ended before the answer arrived.
    #[error("connection to the replica closed before the answer")]
    Disconnected,
    /// The reply was of another kind than the answer to a charge.
    #[error("replica sent an unexpected reply to a charge")]
    UnexpectedReply,
}

/// Sender for the result of a charge.
pub(crate) type ChargeSender = oneshot::Sender<Result<ChargeAnswer, ChargeError>>;

/// Charge together with the sender for its result.
pub(crate) struct PendingCharge {
    pub charge: LimitCharge,
    pub answer: ChargeSender,
}

/// Converts a replica's reply to the result of a charge.
pub(crate) fn charge_result(reply: Reply) -> Result<ChargeAnswer, ChargeError> {
    match reply {
        Reply::Charged(answer) => Ok(answer),
        Reply::Refused(refusal) => Err(ChargeError::NotOwner(refusal)),
        _ => Err(ChargeError::UnexpectedReply),
    }
}

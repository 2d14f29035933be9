//! Charges against limits that hold over all routers, on their way to the replicas that own them.

use juniper_protocol::message::{ChargeAnswer, LimitCharge};
use juniper_protocol::{Refusal, Reply};
use tokio::sync::oneshot;

/// Why a charge was not answered. Whether it was counted isn't known then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChargeError {
    /// No replica of this rank is connected.
    #[error("no replica is connected")]
    NoReplica,
    /// The replica owns nothing at the moment.
    #[error("the replica owns no limits: {0}")]
    NotOwner(#[from] Refusal),
    /// The connection ended before the answer.
    #[error("the connection to the replica has ended")]
    Disconnected,
    /// The replica answered to something else.
    #[error("the replica's answer is none to a charge")]
    NoAnswer,
}

/// Where the answer to a charge goes.
pub(crate) type ChargeSender = oneshot::Sender<Result<ChargeAnswer, ChargeError>>;

/// A charge that waits for its answer.
pub(crate) struct PendingCharge {
    pub charge: LimitCharge,
    pub answer: ChargeSender,
}

/// What a replica's reply to a charge means.
pub(crate) fn read_reply(reply: Reply) -> Result<ChargeAnswer, ChargeError> {
    match reply {
        Reply::Charged(answer) => Ok(answer),
        Reply::Refused(refusal) => Err(ChargeError::NotOwner(refusal)),
        _ => Err(ChargeError::NoAnswer),
    }
}

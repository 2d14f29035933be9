//! Messages to the actor that it forwards as calls to one replica.

use juniper_protocol::message::QuarantineRequest;
use juniper_types::RequestFingerprint;
use kameo::message::{Context, Message};

use crate::actor::FeedActor;
use crate::charge::{ChargeError, PendingCharge};
use crate::link::LinkCommand;

/// Charges a request to its account at the connected replica of the given `rank` in the account's
/// owner order.
pub(crate) struct ChargeLimit {
    pub(crate) pending: PendingCharge,
    pub(crate) rank: usize,
}

impl Message<ChargeLimit> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: ChargeLimit, _context: &mut Context<Self, ()>) {
        let ChargeLimit { pending, rank } = message;
        match self.owner_at(&pending.charge.account, rank) {
            Some(owner) => self.call_replica(owner, LinkCommand::Charge(pending)),
            None => {
                // The caller may have stopped waiting.
                let _ = pending.answer.send(Err(ChargeError::NoReplica));
            }
        }
    }
}

/// Refunds units that were charged for a request which no server executed.
pub(crate) struct RefundCharge {
    pub(crate) account: String,
    pub(crate) units: f64,
}

impl Message<RefundCharge> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: RefundCharge, _context: &mut Context<Self, ()>) {
        let RefundCharge { account, units } = message;
        if let Some(owner) = self.owner_at(&account, 0) {
            self.call_replica(owner, LinkCommand::Refund { account, units });
        }
    }
}

/// Records a request as quarantined at the replica of the given `rank` in the request's owner
/// order.
pub(crate) struct RecordQuarantine {
    pub(crate) call: QuarantineRequest,
    pub(crate) rank: usize,
}

impl Message<RecordQuarantine> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: RecordQuarantine, _context: &mut Context<Self, ()>) {
        let RecordQuarantine { call, rank } = message;
        let replicas = self.zones.len().max(1);
        if let Some(replica) = self.owner_at(&call.request.to_string(), rank % replicas) {
            self.call_replica(replica, LinkCommand::Quarantine(call));
        }
    }
}

/// Records the release of a request from quarantine.
pub(crate) struct RecordRelease(pub(crate) RequestFingerprint);

impl Message<RecordRelease> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: RecordRelease, _context: &mut Context<Self, ()>) {
        if let Some(replica) = self.owner_at(&message.0.to_string(), 0) {
            self.call_replica(replica, LinkCommand::Release(message.0));
        }
    }
}

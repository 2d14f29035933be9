//! Calls of this node to one of the replicas, which the actor hands to the link of that replica.

use juniper_protocol::message::QuarantineRequest;
use juniper_types::RequestFingerprint;
use kameo::message::{Context, Message};

use crate::actor::FeedActor;
use crate::charge::{ChargeError, PendingCharge};
use crate::link::LinkCommand;

/// Have a request counted by the connected replica that comes at `rank` for its account.
pub(crate) struct ChargeLimit {
    pub(crate) pending: PendingCharge,
    pub(crate) rank: usize,
}

impl Message<ChargeLimit> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: ChargeLimit, _context: &mut Context<Self, ()>) {
        let ChargeLimit { pending, rank } = message;
        match self.owner(&pending.charge.account, rank) {
            Some(owner) => self.call(owner, LinkCommand::Charge(pending)),
            None => {
                // The request may have been given up.
                let _ = pending.answer.send(Err(ChargeError::NoReplica));
            }
        }
    }
}

/// Tell the owner of an account that no server has run what was counted.
pub(crate) struct GiveBack {
    pub(crate) account: String,
    pub(crate) units: f64,
}

impl Message<GiveBack> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: GiveBack, _context: &mut Context<Self, ()>) {
        let GiveBack { account, units } = message;
        if let Some(owner) = self.owner(&account, 0) {
            self.call(owner, LinkCommand::GiveBack { account, units });
        }
    }
}

/// Have a request recorded as one that is sent to no server any more, by the connected replica
/// that comes at `rank` in the request's order.
pub(crate) struct RecordQuarantine {
    pub(crate) call: QuarantineRequest,
    pub(crate) rank: usize,
}

impl Message<RecordQuarantine> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: RecordQuarantine, _context: &mut Context<Self, ()>) {
        let RecordQuarantine { call, rank } = message;
        let replicas = self.zones.len().max(1);
        if let Some(replica) = self.owner(&call.request.to_string(), rank % replicas) {
            self.call(replica, LinkCommand::Quarantine(call));
        }
    }
}

/// Have it recorded that a request may be sent again.
pub(crate) struct RecordRelease(pub(crate) RequestFingerprint);

impl Message<RecordRelease> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: RecordRelease, _context: &mut Context<Self, ()>) {
        if let Some(replica) = self.owner(&message.0.to_string(), 0) {
            self.call(replica, LinkCommand::Release(message.0));
        }
    }
}

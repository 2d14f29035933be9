//! Commands of the replicated log.
//!
//! A command includes all inputs of its effect, such as the proposer's clock, so that
//! every replica computes the same state.

use juniper_registry::{InstanceName, StartTime};
use juniper_settings::ChangeSet;
use juniper_types::{
    BlockHash, ChangeId, ClaimKey, ClaimOutcome, EngineId, Incarnation, NodeId, RequestFingerprint,
    Revision, TenantName,
};
use minicbor::{Decode, Encode};

use crate::fleet::AcceptedCatalog;
use crate::orders::{EndProof, OrderAction};
use crate::quarantine::QuarantinedRequest;

/// Maximum length of an author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Maximum size of an encoded command, in bytes. Bounds the size of a log entry.
pub const MAX_COMMAND_BYTES: usize = 4 << 20;

/// Author, base revision and time of a settings write.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct WriteHeader {
    /// Revision on which the write is based.
    #[n(0)]
    pub base: Revision,
    /// Identifier chosen by the writer, the same for retries.
    #[n(1)]
    pub change_id: ChangeId,
    /// Author, recorded in the history.
    #[n(2)]
    pub author: String,
    /// Wall clock of the proposer, in milliseconds since the Unix epoch.
    #[n(3)]
    pub at_ms: u64,
}

/// Command of the replicated log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Command {
    /// Edits the settings tree.
    #[n(0)]
    ChangeSettings {
        /// Author, base revision and time of the write.
        #[n(0)]
        header: WriteHeader,
        /// Edits of the tree.
        #[n(1)]
        change: ChangeSet,
    },
    /// Creates a new revision with the tree of an earlier one.
    #[n(1)]
    Rollback {
        /// Author, base revision and time of the write.
        #[n(0)]
        header: WriteHeader,
        /// Revision to restore.
        #[n(1)]
        to: Revision,
    },
    /// Claims the execution of an at-most-once request.
    #[n(2)]
    Claim {
        /// Tenant that sent the request.
        #[n(0)]
        tenant: TenantName,
        /// Idempotency key of the caller.
        #[n(1)]
        key: ClaimKey,
        /// Hash of the request.
        #[n(2)]
        fingerprint: BlockHash,
        /// Random number drawn by the router for this attempt.
        #[n(3)]
        attempt: u64,
        /// Wall clock of the proposer, in seconds since the Unix epoch.
        #[n(4)]
        now: u64,
    },
    /// Records the outcome of a claimed request.
    #[n(3)]
    Settle {
        /// Tenant that sent the request.
        #[n(0)]
        tenant: TenantName,
        /// Idempotency key of the claim.
        #[n(1)]
        key: ClaimKey,
        /// Attempt that executed the request.
        #[n(2)]
        attempt: u64,
        /// Outcome of the request.
        #[n(3)]
        outcome: ClaimOutcome,
    },
    /// Removes claims with keys older than the horizon and rejects such keys permanently.
    #[n(4)]
    AdvanceHorizon {
        /// New horizon, in seconds since the Unix epoch. Has no effect if lower than the current.
        #[n(0)]
        to: u64,
    },
    /// Draws the next fencing token for orders to an engine.
    #[n(5)]
    NextFence {
        /// Engine that receives the orders.
        #[n(0)]
        engine: EngineId,
    },
    /// Records an order to an engine before it is sent.
    #[n(6)]
    BeginOrder {
        /// Engine that receives the order.
        #[n(0)]
        engine: EngineId,
        /// Incarnation of the engine for which the order is valid.
        #[n(1)]
        incarnation: Incarnation,
        /// Ordered action.
        #[n(2)]
        action: OrderAction,
    },
    /// Records that an order is no longer in flight.
    #[n(7)]
    EndOrder {
        /// Engine that received the order.
        #[n(0)]
        engine: EngineId,
        /// Fencing token of the order.
        #[n(1)]
        token: u64,
        /// Proof that the order has ended.
        #[n(2)]
        proof: EndProof,
    },
    /// Puts a validated configuration of generic services in force, if its version is the highest.
    #[n(8)]
    PutCatalog {
        /// Validated configuration.
        #[n(0)]
        catalog: AcceptedCatalog,
    },
    /// Sets the target version of a model's weights.
    #[n(9)]
    SetTargetWeights {
        /// Name of the model.
        #[n(0)]
        model: String,
        /// Target version.
        #[n(1)]
        version: u64,
    },
    /// Records that a server is departing or has departed.
    #[n(10)]
    RecordDeparture {
        /// Name under which the server announces itself.
        #[n(0)]
        instance: InstanceName,
        /// Latest start time of the departed incarnations. Unknown in records of earlier
        /// builds, which stand for all incarnations.
        #[n(1)]
        #[cbor(default)]
        through: StartTime,
        /// Wall clock of the proposer, in seconds since the Unix epoch; 0 in records of
        /// earlier builds.
        #[n(2)]
        #[cbor(default)]
        at: u64,
    },
    /// Makes a control node the order dispatcher.
    #[n(11)]
    TakeOrderLease {
        /// New holder of the lease.
        #[n(0)]
        node: NodeId,
    },
    /// Puts a request in quarantine, so that no server receives it.
    #[n(12)]
    Quarantine {
        /// Request with the reason for the quarantine.
        #[n(0)]
        request: QuarantinedRequest,
    },
    /// Releases a request from quarantine.
    #[n(13)]
    Release {
        /// Fingerprint of the request.
        #[n(0)]
        request: RequestFingerprint,
    },
}

//! Messages exchanged by daemons after the handshake.

use std::net::SocketAddr;

use juniper_prefix_index::coarse::{CheckpointHolders, KeyList};
use juniper_registry::{InstanceName, StartTime};
use juniper_sharing::ShareMessage;
use juniper_stream_origins::{ServedVersions, StreamOrigin};
use juniper_types::{
    BlockHash, ClaimAnswer, ClaimKey, ClaimOutcome, EngineId, Incarnation, NodeId,
    RequestFingerprint, Revision, StreamKey, TenantName, ZoneName,
};
use minicbor::decode::Error as DecodeError;
use minicbor::{Decode, Decoder, Encode};

pub use crate::fleet::{
    BrittleServiceUpdate, CatalogBody, Crash, CrashClearance, CrashUpdate, DispatchReport,
    FleetUpdate, PartCompletion, PartCrash, PartUpdate, QuarantineRequest, QuarantineUpdate,
    Reachability, RelayedUpdate, RouterUpdate,
};
pub use crate::limits::{ChargeAnswer, LimitCharge, ServerLimitUpdate, server_account};
pub use crate::notices::ServerNoticeUpdate;
pub use crate::push::{Push, SettingsDelta};
pub use crate::refusal::{Refusal, TunnelRefusal};
pub use crate::weights::{KnownVersion, RenewalUpdate, WeightsAge};

/// Encodes `value` as CBOR.
pub fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = minicbor::encode(value, &mut bytes) {
        unreachable!("encoding into a vector failed: {error}");
    }
    bytes
}

/// Payload of one frame.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// Consensus message between control replicas.
    #[n(0)]
    Consensus {
        /// Message as encoded by the consensus crate.
        #[cbor(n(0), with = "minicbor::bytes")]
        payload: Vec<u8>,
    },
    /// Call, answered by one [`Message::Reply`] with the same call number.
    #[n(1)]
    Request {
        /// Call number, assigned by the caller and unique on the connection.
        #[n(0)]
        call: u64,
        /// Operation and its arguments.
        #[n(1)]
        request: Request,
    },
    /// Answer to a [`Message::Request`].
    #[n(2)]
    Reply {
        /// Call number of the request.
        #[n(0)]
        call: u64,
        /// Result of the call.
        #[n(1)]
        reply: Reply,
    },
    /// Message from a control replica to a subscriber.
    #[n(3)]
    Push(#[n(0)] Push),
    /// Router to control: update for the other routers.
    #[n(5)]
    RouterUpdate(#[n(0)] RouterUpdate),
    /// Control to control, and control to subscribed routers: updates from several routers.
    #[n(6)]
    RelayedUpdate(#[n(0)] Vec<RelayedUpdate>),
    /// Message of a kind that only later builds know; decoded, but never sent. Receivers ignore
    /// the message, or refuse the call if it is one. Index 255 stays reserved for this variant.
    #[n(255)]
    Unknown {
        /// Call number, if the message is a call.
        #[n(0)]
        call: Option<u64>,
    },
}

/// Variant index of [`Message::Request`] on the wire.
const REQUEST_INDEX: u32 = 1;

/// Decodes a message. A well-formed message of an unknown kind becomes [`Message::Unknown`],
/// because earlier and later builds talk to each other during a rolling upgrade.
///
/// # Errors
/// Fails if the payload isn't a well-formed message.
pub fn decode_message(payload: &[u8]) -> Result<Message, DecodeError> {
    match minicbor::decode(payload) {
        Ok(message) => Ok(message),
        Err(error) => decode_unknown(payload).map_err(|_| error),
    }
}

/// Decodes the parts common to all messages: the variant index and, for a call, its number.
/// Fields must be well formed.
fn decode_unknown(payload: &[u8]) -> Result<Message, DecodeError> {
    let mut skipping = Decoder::new(payload);
    skipping.skip()?;
    let mut decoder = Decoder::new(payload);
    let is_message = decoder.array()? == Some(2) && skipping.position() == payload.len();
    let index = decoder.u32()?;
    let fields = decoder.array()?;
    if !is_message {
        return Err(DecodeError::message("payload is not a message"));
    }
    let is_call = index == REQUEST_INDEX && fields.is_some_and(|fields| fields > 0);
    let call = if is_call { Some(decoder.u64()?) } else { None };
    Ok(Message::Unknown { call })
}

impl Message {
    /// Whether the message is a prefix lookup for a caller's prompt, or the reply to one.
    pub fn is_lookup(&self) -> bool {
        matches!(
            self,
            Message::Request { request: Request::Lookup { .. }, .. }
                | Message::Reply { reply: Reply::Holders { .. }, .. }
        )
    }
}

/// Calls between daemons.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Request {
    /// Router to control: subscribe this connection to settings changes after `from`.
    /// The reply is [`Reply::Subscribed`]; pushes follow.
    #[n(0)]
    Subscribe {
        /// Revision in force on the router; zero if none.
        #[n(0)]
        from: Revision,
    },
    /// Router to control: get the latest revision, confirmed by a quorum during the call.
    #[n(1)]
    ConfirmedRevision,
    /// Router to control: report the revision that the sender has applied.
    #[n(2)]
    InForce {
        /// Applied revision.
        #[n(0)]
        revision: Revision,
    },
    /// Router to control: claim the right to execute an at-most-once request.
    #[n(3)]
    Claim {
        /// Tenant that sent the request.
        #[n(0)]
        tenant: TenantName,
        /// Idempotency key from the caller.
        #[n(1)]
        key: ClaimKey,
        /// Hash of the request, to detect a key reused for another request.
        #[n(2)]
        fingerprint: BlockHash,
        /// Random identifier of the attempt; the same when a claim is resent after a lost reply.
        #[n(3)]
        attempt: u64,
    },
    /// Router to control: record the outcome of a claimed request.
    #[n(4)]
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
        /// Outcome of the attempt.
        #[n(3)]
        outcome: ClaimOutcome,
    },
    /// Router to router: look up the engines that have these prompt checkpoints cached.
    #[n(6)]
    Lookup {
        /// Checkpoint keys owned by the receiver.
        #[n(0)]
        keys: KeyList,
    },
    /// Router to router: cache updates of the engines that the sender follows.
    #[n(7)]
    Share {
        /// Incarnation of the sending router; update sequences restart with each.
        #[n(0)]
        incarnation: Incarnation,
        /// Updates by engine.
        #[n(1)]
        updates: ShareMessage,
    },
    /// Router to control: list the nodes and the leader.
    #[n(8)]
    Members,
    /// Control to control: propose a command on behalf of the sender.
    #[n(9)]
    Propose {
        /// Command as encoded by the control-state crate.
        #[cbor(n(0), with = "minicbor::bytes")]
        command: Vec<u8>,
    },
    /// To control: subscribe to the replicated fleet state of generic services and to the servers
    /// that this replica observes. The reply is [`Reply::Done`]; pushes follow.
    #[n(10)]
    Follow,
    /// To control: get the configuration of generic services if its version is above `above`.
    #[n(11)]
    Catalog {
        /// Version that the sender has.
        #[n(0)]
        above: u64,
    },
    /// To control: get the age of the replica's last quorum confirmation. The sender measures the
    /// age from when it sent the request, so a delayed reply can't make the state look fresher.
    #[n(12)]
    Confirm,
    /// Router to control: start or stop relaying updates of other routers on this connection. A
    /// router subscribes to one replica only, to avoid duplicates.
    #[n(13)]
    RelayRouterUpdates {
        /// Whether to relay updates from now on.
        #[n(0)]
        enabled: bool,
    },
    /// Router to control: charge a request against a limit. The reply is [`Reply::Charged`]; a
    /// replica without a recent quorum confirmation refuses.
    #[n(14)]
    Charge(#[n(0)] LimitCharge),
    /// Router to control: refund the units of a charged request that no server executed.
    #[n(15)]
    Refund {
        /// Account of the charge.
        #[n(0)]
        account: String,
        /// Units to refund.
        #[n(1)]
        units: f64,
    },
    /// Router to control: quarantine a request, so that no router dispatches it.
    #[n(16)]
    Quarantine(#[n(0)] QuarantineRequest),
    /// Router to control: release a quarantined request that has completed normally.
    #[n(17)]
    Release(#[n(0)] RequestFingerprint),
    /// To control: subscribe to the replicated fleet state of generic services and to the servers
    /// observed by any replica, as far as known to this one. Replaces [`Request::Follow`] on the
    /// connection. The reply is [`Reply::Done`]; pushes follow.
    #[n(18)]
    FollowFleet {
        /// Whether to push servers; a subscriber of several replicas asks only one of them.
        #[n(0)]
        servers: bool,
    },
    /// Router to router: connect to a server. After the reply [`Reply::Done`] the connection carries
    /// the bytes of the connection to the server, unframed.
    #[n(19)]
    OpenTunnel {
        /// Server to connect to.
        #[n(0)]
        instance: InstanceName,
        /// Start time of the server's incarnation.
        #[n(1)]
        started: StartTime,
    },
    /// Router to control: find where a stream began. The reply is [`Reply::StreamOrigin`].
    #[n(20)]
    FindStreamOrigin {
        /// Stream that a caller resumes.
        #[n(0)]
        stream: StreamKey,
    },
    /// Router to control: which software versions have served a service. The reply is
    /// [`Reply::ServedVersions`].
    #[n(21)]
    FindServedVersions {
        /// Name of the service.
        #[n(0)]
        service: String,
    },
}

/// Answers to [`Request`]s.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Reply {
    /// The call succeeded and has no result.
    #[n(0)]
    Done,
    /// The call was refused.
    #[n(1)]
    Refused(#[n(0)] Refusal),
    /// The subscription is active.
    #[n(2)]
    Subscribed {
        /// Latest revision committed on the replica.
        #[n(0)]
        committed: Revision,
    },
    /// Latest revision, confirmed by a quorum.
    #[n(3)]
    ConfirmedRevision {
        /// Confirmed revision.
        #[n(0)]
        revision: Revision,
    },
    /// Result of a claim.
    #[n(4)]
    Claim(#[n(0)] ClaimAnswer),
    /// Engines that have each checkpoint cached, in the order of the keys.
    #[n(5)]
    Holders {
        /// Engines by checkpoint.
        #[n(0)]
        checkpoints: Vec<CheckpointHolders>,
    },
    /// Nodes known to the replica.
    #[n(6)]
    Members {
        /// Current leader, if known.
        #[n(0)]
        leader: Option<NodeId>,
        /// Nodes that contacted the replica recently.
        #[n(1)]
        members: Vec<Member>,
    },
    /// Result of a proposed command.
    #[n(7)]
    Applied {
        /// Result as encoded by the control-state crate.
        #[cbor(n(0), with = "minicbor::bytes")]
        answer: Vec<u8>,
    },
    /// Configuration of generic services; `None` if no version is above the requested one.
    #[n(9)]
    Catalog(#[n(0)] Option<CatalogBody>),
    /// Freshness of the replica's state.
    #[n(10)]
    Confirmed {
        /// Time since a quorum last confirmed that the replica was current, in milliseconds.
        #[n(0)]
        age_ms: u64,
        /// Log position of the latest fleet change that the replica has applied.
        #[n(1)]
        revision: u64,
        /// Number of routers subscribed to the replica.
        #[n(2)]
        routers: u32,
        /// Versions of weights that were named recently, if there are any. Unlike a push, a reply
        /// can't have waited for longer than its request.
        #[n(3)]
        #[cbor(default)]
        weights: Option<Vec<WeightsAge>>,
    },
    /// Result of a charge.
    #[n(11)]
    Charged(#[n(0)] ChargeAnswer),
    /// The tunnel was not opened.
    #[n(12)]
    TunnelRefused(#[n(0)] TunnelRefusal),
    /// Origin of a stream; `None` if the replica has no record of it.
    #[n(13)]
    StreamOrigin(#[n(0)] Option<StreamOrigin>),
    /// Software versions that have served the service, as known to the replica.
    #[n(14)]
    ServedVersions(#[n(0)] ServedVersions),
    /// Cache updates were applied.
    #[n(8)]
    Shared {
        /// Engines with a gap in their updates, for which the sender must send a full state.
        #[n(0)]
        engines_with_gaps: Vec<EngineId>,
    },
}

/// Node as known to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Member {
    /// Node identifier.
    #[n(0)]
    pub node: NodeId,
    /// Zone of the node.
    #[n(1)]
    pub zone: ZoneName,
    /// Address of the node's internal API.
    #[cbor(n(2), with = "juniper_settings::address")]
    pub internal: SocketAddr,
    /// Revision that the node last reported as applied.
    #[n(3)]
    pub in_force: Revision,
    /// Time since the node last contacted the replica, in milliseconds.
    #[n(4)]
    pub silent_ms: u64,
}

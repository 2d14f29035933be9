//! Messages that daemons exchange after the handshake.

use std::net::SocketAddr;

use juniper_prefix_index::coarse::{CheckpointHolders, KeyList};
use juniper_sharing::ShareMessage;
use juniper_types::{
    BlockHash, ClaimAnswer, ClaimKey, ClaimOutcome, EngineId, Incarnation, NodeId,
    RequestFingerprint, Revision, TenantName, ZoneName,
};
use minicbor::decode::Error as DecodeError;
use minicbor::{Decode, Decoder, Encode};

pub use crate::fleet::{
    CatalogBody, Cleared, Crash, CrashNews, FleetNews, KnownVersion, QuarantineCall,
    QuarantineNews, Reachability, RelayedNews, RenewalNews, RouterNews, Sighting,
};
pub use crate::limits::{ChargeAnswer, LimitCharge, ServerLimitNews, server_account};
pub use crate::notices::ServerNoticeNews;
pub use crate::push::{Push, SettingsDelta};

/// Encodes a message; encoding into memory can't fail.
pub fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = minicbor::encode(value, &mut bytes) {
        unreachable!("a vector takes every byte: {error}");
    }
    bytes
}

/// Everything that travels in one frame.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// A message of the agreement protocol, between control replicas only.
    #[n(0)]
    Consensus {
        /// Encoded by the consensus crate.
        #[cbor(n(0), with = "minicbor::bytes")]
        payload: Vec<u8>,
    },
    /// A call that expects one [`Message::Reply`] with the same number.
    #[n(1)]
    Request {
        /// Chosen by the caller, unique on its connection.
        #[n(0)]
        call: u64,
        /// What is asked.
        #[n(1)]
        request: Request,
    },
    /// The answer to a request.
    #[n(2)]
    Reply {
        /// Number of the request.
        #[n(0)]
        call: u64,
        /// The answer.
        #[n(1)]
        reply: Reply,
    },
    /// Sent without being asked, on a connection that subscribed.
    #[n(3)]
    Push(#[n(0)] Push),
    /// Router to control: what the other routers should know.
    #[n(5)]
    RouterNews(#[n(0)] RouterNews),
    /// Control to control, and to the routers that asked for it: what several routers told.
    #[n(6)]
    RelayedNews(#[n(0)] Vec<RelayedNews>),
    /// A message of a kind that this build doesn't know, from a later one. It is passed over; a
    /// call is refused. It is never sent, and its number never used.
    #[n(255)]
    Unknown {
        /// The number of the call, if it is one.
        #[n(0)]
        call: Option<u64>,
    },
}

/// Number of [`Message::Request`] on the wire.
const REQUEST_NUMBER: u32 = 1;

/// Reads a message. One that is whole but of a kind that this build doesn't know is
/// [`Message::Unknown`]: while daemons are replaced one after the other, earlier and later builds
/// talk to each other.
///
/// # Errors
/// Fails when the bytes are no whole message of any kind.
pub fn read_message(payload: &[u8]) -> Result<Message, DecodeError> {
    match minicbor::decode(payload) {
        Ok(message) => Ok(message),
        Err(error) => read_unknown(payload).map_err(|_| error),
    }
}

/// Reads what every message has: its number and its fields, all of them well formed.
fn read_unknown(payload: &[u8]) -> Result<Message, DecodeError> {
    let mut whole = Decoder::new(payload);
    whole.skip()?;
    let mut decoder = Decoder::new(payload);
    let is_message = decoder.array()? == Some(2) && whole.position() == payload.len();
    let number = decoder.u32()?;
    let fields = decoder.array()?;
    if !is_message {
        return Err(DecodeError::message("no message"));
    }
    let is_call = number == REQUEST_NUMBER && fields.is_some_and(|fields| fields > 0);
    let call = if is_call { Some(decoder.u64()?) } else { None };
    Ok(Message::Unknown { call })
}

impl Message {
    /// Whether the message is part of looking up one caller's prompt.
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
    /// Router to control: push every settings change after `from` on this connection.
    /// The reply is [`Reply::Subscribed`], then pushes follow.
    #[n(0)]
    Subscribe {
        /// The revision the router has in force, or zero.
        #[n(0)]
        from: Revision,
    },
    /// Router to control: the latest revision, confirmed by a quorum at the time of the call.
    #[n(1)]
    ConfirmedRevision,
    /// Router to control: `revision` is in force on the sender now.
    #[n(2)]
    InForce {
        /// The revision.
        #[n(0)]
        revision: Revision,
    },
    /// Router to control: claim the right to run a request once.
    #[n(3)]
    Claim {
        /// Whose request it is.
        #[n(0)]
        tenant: TenantName,
        /// The caller's idempotency key.
        #[n(1)]
        key: ClaimKey,
        /// Hash of the request, so that a key reused for another request is noticed.
        #[n(2)]
        fingerprint: BlockHash,
        /// Drawn by the router for this attempt; a claim resent after a lost answer keeps it.
        #[n(3)]
        attempt: u64,
    },
    /// Router to control: keep the outcome of a claimed request.
    #[n(4)]
    Settle {
        /// Whose request it is.
        #[n(0)]
        tenant: TenantName,
        /// The key it was claimed under.
        #[n(1)]
        key: ClaimKey,
        /// The attempt that ran it.
        #[n(2)]
        attempt: u64,
        /// What came of it.
        #[n(3)]
        outcome: ClaimOutcome,
    },
    /// Router to router: which engines hold these checkpoints of a prompt.
    #[n(6)]
    Lookup {
        /// Keys that the receiver owns.
        #[n(0)]
        keys: KeyList,
    },
    /// Router to router: news of the engines that the sender follows.
    #[n(7)]
    Share {
        /// The sender's life, which its streams of updates belong to.
        #[n(0)]
        life: Incarnation,
        /// The news.
        #[n(1)]
        news: ShareMessage,
    },
    /// Router to control: which nodes exist, and who leads.
    #[n(8)]
    Members,
    /// Control to control: propose a command in the sender's name.
    #[n(9)]
    Propose {
        /// Encoded by the control-state crate.
        #[cbor(n(0), with = "minicbor::bytes")]
        command: Vec<u8>,
    },
    /// To control: push what the fleet of generic services agrees on, and the
    /// servers that the replica hears of. The reply is [`Reply::Done`], then
    /// pushes follow.
    #[n(10)]
    Follow,
    /// To control: the configuration of generic services, if its version is above `above`.
    #[n(11)]
    Catalog {
        /// The version that the sender has.
        #[n(0)]
        above: u64,
    },
    /// To control: how current the replica is. The sender counts from when it
    /// asked, so an answer that was held up on its way vouches for no more than
    /// it should.
    #[n(12)]
    Confirm,
    /// Router to control: pass on to this connection what other routers tell, or no
    /// longer. A router asks one replica for it, so that nothing comes twice.
    #[n(13)]
    ListenToRouters {
        /// Whether it is wanted from now on.
        #[n(0)]
        wanted: bool,
    },
    /// Router to control: count a request against a limit. The reply is
    /// [`Reply::Charged`], or a refusal of a replica that no quorum has lately confirmed.
    #[n(14)]
    Charge(#[n(0)] LimitCharge),
    /// Router to control: no server has run a request that was counted.
    #[n(15)]
    GiveBack {
        /// Whose limit it is, as in the charge.
        #[n(0)]
        account: String,
        /// Units that were counted.
        #[n(1)]
        units: f64,
    },
    /// Router to control: record that a request is sent to no server any more.
    #[n(16)]
    Quarantine(#[n(0)] QuarantineCall),
    /// Router to control: a request in quarantine has ended well and may be sent again.
    #[n(17)]
    Release(#[n(0)] RequestFingerprint),
    /// To control: push what the fleet of generic services agrees on, and what all replicas
    /// together know of servers, as far as this one has heard. It takes the place of
    /// [`Request::Follow`] on its connection. The reply is [`Reply::Done`], then pushes follow.
    #[n(18)]
    FollowFleet {
        /// Whether servers are wanted: who follows several replicas hears of servers from one.
        #[n(0)]
        servers: bool,
    },
}

/// Answers to [`Request`]s.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Reply {
    /// Done; nothing to tell.
    #[n(0)]
    Done,
    /// The call was not carried out.
    #[n(1)]
    Refused(#[n(0)] Refusal),
    /// The subscription stands.
    #[n(2)]
    Subscribed {
        /// Latest revision the replica has committed.
        #[n(0)]
        committed: Revision,
    },
    /// A revision confirmed by a quorum.
    #[n(3)]
    ConfirmedRevision {
        /// The revision.
        #[n(0)]
        revision: Revision,
    },
    /// What a claim came to.
    #[n(4)]
    Claim(#[n(0)] ClaimAnswer),
    /// The holders of each checkpoint asked for, in the order of the keys.
    #[n(5)]
    Holders {
        /// Holders by checkpoint.
        #[n(0)]
        checkpoints: Vec<CheckpointHolders>,
    },
    /// The nodes that the replica knows.
    #[n(6)]
    Members {
        /// The leader, if the replica knows one.
        #[n(0)]
        leader: Option<NodeId>,
        /// Every node heard from lately.
        #[n(1)]
        members: Vec<Member>,
    },
    /// What a proposed command came to.
    #[n(7)]
    Applied {
        /// Encoded by the control-state crate.
        #[cbor(n(0), with = "minicbor::bytes")]
        answer: Vec<u8>,
    },
    /// The configuration of generic services; `None` if there is none above the
    /// version asked for.
    #[n(9)]
    Catalog(#[n(0)] Option<CatalogBody>),
    /// How current the replica is.
    #[n(10)]
    Confirmed {
        /// Milliseconds since a quorum last confirmed that the replica was current.
        #[n(0)]
        age_ms: u64,
        /// Log position of the latest change of the fleet that it has applied.
        #[n(1)]
        revision: u64,
        /// Routers that follow it.
        #[n(2)]
        routers: u32,
    },
    /// What a charge came to.
    #[n(11)]
    Charged(#[n(0)] ChargeAnswer),
    /// News were taken in.
    #[n(8)]
    Shared {
        /// Engines whose updates have a gap; the sender has to send everything.
        #[n(0)]
        in_doubt: Vec<EngineId>,
    },
}

/// A node as the control replicas see it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Member {
    /// The node.
    #[n(0)]
    pub node: NodeId,
    /// Its zone.
    #[n(1)]
    pub zone: ZoneName,
    /// Where other daemons reach it.
    #[cbor(n(2), with = "juniper_settings::address")]
    pub internal: SocketAddr,
    /// The revision it said it has in force.
    #[n(3)]
    pub in_force: Revision,
    /// Milliseconds since the replica last heard from it.
    #[n(4)]
    pub silent_ms: u64,
}

/// Why a call was not carried out. Unless it says otherwise, nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, thiserror::Error)]
pub enum Refusal {
    /// The replica doesn't lead; the caller should ask `leader`.
    #[n(0)]
    #[error("this replica does not lead")]
    NotLeader {
        /// The leader, if known.
        #[n(0)]
        leader: Option<NodeId>,
    },
    /// No quorum answered in time; nothing is known to have been recorded.
    #[n(1)]
    #[error("no quorum")]
    NoQuorum,
    /// Whether the call took effect is unknown; asking again with the same ids is safe.
    #[n(2)]
    #[error("the outcome is unknown")]
    Unknown,
    /// Too many calls at once; come back after the given time.
    #[n(3)]
    #[error("overloaded, retry after {retry_after_ms} ms")]
    Overloaded {
        /// When to come back, in milliseconds.
        #[n(0)]
        retry_after_ms: u64,
    },
    /// The peer's role may not make this call.
    #[n(4)]
    #[error("not allowed for this role")]
    NotAllowed,
}

//! Mutual authentication by the cluster key, before any message is accepted.
//!
//! Each side sends a greeting (random nonce, identity), then a keyed hash over its direction and
//! both greetings. A proof can be neither replayed on another connection nor reflected to its
//! sender.

use std::time::Duration;

use juniper_types::{FingerprintKey, NodeId, ZoneName};
use minicbor::{Decode, Encode};
use rand::RngExt;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::frame::{FrameError, read_frame, write_frame};

/// Timeout of the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum length of the cluster key's text, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

const KEY_CONTEXT: &str = "juniperhollow cluster key v1";
const FINGERPRINT_CONTEXT: &str = "juniperhollow request fingerprint v1";
const CONNECTOR: u8 = 0;
const ACCEPTOR: u8 = 1;
const DATAGRAM: u8 = 2;

/// Error for a cluster key whose text is too short.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cluster key is shorter than {MIN_KEY_BYTES} bytes")]
pub struct ClusterKeyError;

/// Secret shared by the daemons of one deployment.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl ClusterKey {
    /// Derives the key from its configured text.
    pub fn from_text(text: &str) -> Result<Self, ClusterKeyError> {
        if text.len() < MIN_KEY_BYTES {
            return Err(ClusterKeyError);
        }
        Ok(ClusterKey(blake3::derive_key(KEY_CONTEXT, text.as_bytes())))
    }

    /// Derives the key for request fingerprints, the same on all daemons and unknown to callers.
    pub fn fingerprint_key(&self) -> FingerprintKey {
        FingerprintKey::new(blake3::derive_key(FINGERPRINT_CONTEXT, &self.0))
    }

    /// Computes the keyed hash of a datagram's payload. The prefix separates it from handshake
    /// proofs.
    pub(crate) fn keyed_hash(&self, payload: &[u8]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[DATAGRAM]);
        hasher.update(payload);
        *hasher.finalize().as_bytes()
    }

    fn proof(&self, direction: u8, connector: &[u8], acceptor: &[u8]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[direction]);
        hasher.update(&(connector.len() as u64).to_be_bytes());
        hasher.update(connector);
        hasher.update(acceptor);
        *hasher.finalize().as_bytes()
    }
}

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerRole {
    /// Replica of the durable state.
    #[n(0)]
    Control,
    /// Router of callers' requests.
    #[n(1)]
    Router,
}

/// Identity that a daemon claims; trusted only after the daemon has proved the cluster key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct PeerIdentity {
    /// Node identifier.
    #[n(0)]
    pub node: NodeId,
    /// Role of the daemon.
    #[n(1)]
    pub role: PeerRole,
    /// Zone of the daemon.
    #[n(2)]
    pub zone: ZoneName,
    /// Random number of the process, so that a restarted one differs; `None` if not stated.
    #[n(3)]
    pub incarnation: Option<u64>,
}

/// Peer that has proved the cluster key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthenticatedPeer {
    /// Identity of the peer.
    pub identity: PeerIdentity,
    /// Build level of the peer.
    pub level: BuildLevel,
}

/// Level of the messages that a daemon understands, exchanged in the handshake. Messages of a later
/// level must not be sent to the daemon. Builds that don't send a level are of level zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(transparent)]
pub struct BuildLevel(#[n(0)] pub u16);

impl BuildLevel {
    /// Ignores messages of unknown kinds, refuses calls of unknown kinds, and understands
    /// `Request::FollowFleet`.
    pub const FOLLOWS_FLEET: BuildLevel = BuildLevel(1);

    /// Level of this build.
    pub const CURRENT: BuildLevel = BuildLevel::FOLLOWS_FLEET;
}

#[derive(Encode, Decode)]
#[cbor(map)]
struct Greeting {
    #[n(0)]
    identity: PeerIdentity,
    #[cbor(n(1), with = "minicbor::bytes")]
    nonce: [u8; 32],
    /// Level of the sender; absent from builds of level zero.
    #[n(2)]
    #[cbor(default)]
    level: BuildLevel,
}

/// Error in a handshake.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The connection failed, or a greeting was malformed.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer does not hold the cluster key.
    #[error("peer does not hold the cluster key")]
    WrongKey,
    /// The handshake took longer than [`HANDSHAKE_TIMEOUT`].
    #[error("handshake timed out")]
    TimedOut,
}

/// Runs the handshake on the connecting side.
pub async fn as_connector<S>(
    stream: &mut S,
    key: &ClusterKey,
    own: &PeerIdentity,
) -> Result<AuthenticatedPeer, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let exchange = exchange(stream, key, own, CONNECTOR);
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await.map_err(|_| HandshakeError::TimedOut)?
}

/// Runs the handshake on the accepting side.
pub async fn as_acceptor<S>(
    stream: &mut S,
    key: &ClusterKey,
    own: &PeerIdentity,
) -> Result<AuthenticatedPeer, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let exchange = exchange(stream, key, own, ACCEPTOR);
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await.map_err(|_| HandshakeError::TimedOut)?
}

async fn exchange<S>(
    stream: &mut S,
    key: &ClusterKey,
    own: &PeerIdentity,
    direction: u8,
) -> Result<AuthenticatedPeer, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let (identity, level) = (own.clone(), BuildLevel::CURRENT);
    let greeting = Greeting { identity, nonce: rand::rng().random(), level };
    let own_bytes = crate::message::encode(&greeting);
    write_frame(stream, &own_bytes).await?;
    let peer_bytes = read_frame(stream).await?;
    let peer: Greeting = minicbor::decode(&peer_bytes).map_err(FrameError::from)?;
    let (connector, acceptor) = match direction {
        CONNECTOR => (&own_bytes, &peer_bytes),
        _ => (&peer_bytes, &own_bytes),
    };
    write_frame(stream, &key.proof(direction, connector, acceptor)).await?;
    let expected = key.proof(1 - direction, connector, acceptor);
    let received = read_frame(stream).await?;
    if bool::from(expected.as_slice().ct_eq(&received)) {
        Ok(AuthenticatedPeer { identity: peer.identity, level: peer.level })
    } else {
        Err(HandshakeError::WrongKey)
    }
}
